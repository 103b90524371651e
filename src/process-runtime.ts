/** The runtime of a real process: its clock, random numbers, HTTP client and log. */
import { performance } from 'node:perf_hooks';
import pino from 'pino';
import { HttpClient } from './http/http-client.js';
import type { Clock, Log, Runtime } from './runtime.js';
import type { PlatformSettings } from './settings/platform.js';
import { allocateSockets } from './http/socket-allocation.js';

const STDERR_FD = 2;

const MONOTONIC_CLOCK: Clock = {
  now: () => performance.now(),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => {
      clearTimeout(timer);
    };
  },
};

/** Creates a runtime whose HTTP client keeps connections to the state service and the cloud open. */
export function createProcessRuntime(settings: PlatformSettings, log: Log): Runtime {
  return {
    clock: MONOTONIC_CLOCK,
    http: new HttpClient({
      services: [settings.stateAddress, settings.cloudAddress],
      maxConnectionsToWorkers: allocateSockets(settings.maxSockets).maxConnectionsToWorkers,
    }),
    log,
    random: () => Math.random(),
  };
}

/** Creates a log of JSON lines with the node's name on standard error. `level`: a level of pino, or `silent`. */
export function createLog(level: string, node: string): Log {
  return pino({ level, base: { node } }, pino.destination({ dest: STDERR_FD, sync: true }));
}
