/** The runtime of a simulated process, which may end, or be suspended while its clock continues. */
import type { Clock, Log, HttpResponse, Runtime } from '../../src/runtime.js';
import type { VirtualClock } from './clock.js';
import type { Network } from './network.js';
import type { SeededRandom } from './random.js';

/** State of a simulated process. */
export interface SimulatedProcess {
  alive: boolean;
  /** Virtual time until which the process is suspended. */
  frozenUntil: number;
}

/** The simulated services that processes share, and the process's own clock and log. */
export interface SimulatedEnvironment {
  clock: VirtualClock;
  network: Network;
  random: SeededRandom;
  processClock: Clock;
  log: Log;
  /** Returns the response that the process gets in place of the actual one. */
  alterResponse?: ((path: string, response: HttpResponse) => HttpResponse) | undefined;
}

/** Runs the callback once the process is no longer suspended, unless it has ended by then. */
function whenResumed(process: SimulatedProcess, clock: VirtualClock, callback: () => void): void {
  const left = process.frozenUntil - clock.time;
  if (left > 0)
    clock.after(left, () => {
      whenResumed(process, clock, callback);
    });
  else if (process.alive) callback();
}

/** Returns a runtime that delays callbacks and responses while the process is suspended, and drops them if it ended. */
export function simulatedRuntime(
  host: string,
  process: SimulatedProcess,
  environment: SimulatedEnvironment,
): Runtime {
  const { clock, network, processClock, alterResponse } = environment;
  const whenThisResumes = (callback: () => void): void => {
    whenResumed(process, clock, callback);
  };
  return {
    clock: {
      now: () => processClock.now(),
      after: (ms, callback) =>
        processClock.after(ms, () => {
          whenThisResumes(callback);
        }),
    },
    http: {
      send: (to, method, path, body, timeoutMs) =>
        new Promise((done) => {
          void network.send(host, to, method, path, body, timeoutMs).then((response) => {
            whenThisResumes(() => {
              done(alterResponse ? alterResponse(path, response) : response);
            });
          });
        }),
    },
    log: environment.log,
    random: () => environment.random.unit(),
  };
}
