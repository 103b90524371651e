/** The runtime of a simulated process, which may end, or stand still while its clock runs on. */
import type { Clock, Log, HttpResponse, Runtime } from '../../src/runtime.js';
import type { VirtualClock } from './clock.js';
import type { Network } from './network.js';
import type { SeededRandom } from './random.js';

/** Whether a simulated process runs. */
export interface SimulatedProcess {
  alive: boolean;
  /** Stands still until then. */
  frozenUntil: number;
}

/** What a simulated process shares with others, and its own clock and log. */
export interface SimulatedEnvironment {
  clock: VirtualClock;
  network: Network;
  random: SeededRandom;
  /** The process's own clock. */
  processClock: Clock;
  log: Log;
  /** What the process makes of an answer; else the answer itself. */
  alterResponse?: ((path: string, reply: HttpResponse) => HttpResponse) | undefined;
}

/** Runs the callback once the process goes on, unless it has ended by then. */
function whenResumed(process: SimulatedProcess, clock: VirtualClock, callback: () => void): void {
  const left = process.frozenUntil - clock.time;
  if (left > 0)
    clock.after(left, () => {
      whenResumed(process, clock, callback);
    });
  else if (process.alive) callback();
}

/** Callbacks and answers reach the process only while it runs; those of an ended process are dropped. */
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
