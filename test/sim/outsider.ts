import type { Runtime } from '../../src/runtime.js';
import type { Cluster } from './cluster.js';
import { quietLog } from './quiet-log.js';

/** The world of a client beside the controllers. */
export function outsider(cluster: Cluster): Runtime {
  return {
    clock: cluster.clock.host(1, () => true),
    http: {
      send: (to, method, path, body, timeoutMs) =>
        cluster.net.send('n9:80', to, method, path, body, timeoutMs),
    },
    log: quietLog,
    random: () => 0.5,
  };
}
