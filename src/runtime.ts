/** Interfaces to time, network, log and random numbers, injected so that tests can simulate whole clusters. */
import type { Environment } from '@millring/state-access';
import type { Body } from './wire/cbor.js';

/** Monotonic clock. Its times are not comparable with those of other processes. */
export interface Clock {
  /** Returns the time in milliseconds. */
  now(): number;
  /** Calls `callback` after `ms` milliseconds. Returns a function that cancels the call. */
  after(ms: number, callback: () => void): () => void;
}

/** The response to a request. `status` 0: no response arrived, so the request may have been executed, or may yet be. */
export interface HttpResponse {
  status: number;
  body: Body;
}

/** Methods of the requests that controllers send. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** Sends requests with CBOR bodies. */
export interface Http {
  /** `to`: `host:port`. Never rejects; resolves to status 0 if no response arrives within `timeoutMs`. */
  send(
    to: string,
    method: HttpMethod,
    path: string,
    body: Body | null,
    timeoutMs: number,
  ): Promise<HttpResponse>;
}

/** A structured log. */
export interface Log {
  info(fields: object, text: string): void;
  debug(fields: object, text: string): void;
  error(fields: object, text: string): void;
}

/** Everything that a process needs from its environment. */
export interface Runtime {
  clock: Clock;
  http: Http;
  log: Log;
  /** Returns a random number, uniformly distributed in [0, 1). */
  random(): number;
}

/** Maximum factor by which the clocks of different machines drift apart. */
export const MAX_CLOCK_DRIFT = 1.001;

/** Resolves after `ms` milliseconds of the clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}

/** Converts the runtime to the environment that the packages use. */
export function packageEnvironment(source: { runtime: Runtime; wallMs(): number }): Environment {
  const { runtime } = source;
  return {
    clock: runtime.clock,
    log: runtime.log,
    wallMs: () => source.wallMs(),
    random: () => runtime.random(),
  };
}
