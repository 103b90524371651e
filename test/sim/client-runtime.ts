/** The runtime of programs other than controllers, such as operators' commands. */
import type { Runtime } from '../../src/runtime.js';
import type { VirtualClock } from './clock.js';
import type { Network } from './network.js';
import { quietLog } from './quiet-log.js';

/** Returns a runtime that sends requests from a host on which no controller runs. */
export function clientRuntime({
  clock,
  network,
}: {
  clock: VirtualClock;
  network: Network;
}): Runtime {
  return {
    clock: clock.processClock(1, () => true),
    http: {
      send: (to, method, path, body, timeoutMs) =>
        network.send('n9:80', to, method, path, body, timeoutMs),
    },
    log: quietLog,
    random: () => 0.5,
  };
}
