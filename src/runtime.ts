/** Interfaces to time, network, log and randomness: injected, so that tests can simulate whole clusters. */
import type { Environment } from '@millring/state-access';
import type { Body } from './wire/cbor.js';

/** Time that never goes back, and has nothing in common with that of other processes. */
export interface Clock {
  /** Milliseconds. */
  now(): number;
  /** Calls `callback` after so many milliseconds. Returns a function that cancels the call. */
  after(ms: number, callback: () => void): () => void;
}

/** The answer to a request. `status` 0: none came, so the request may have been executed, or may still be. */
export interface HttpResponse {
  status: number;
  body: Body;
}

/** Of the requests that controllers make. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** Sends requests with CBOR bodies. */
export interface Http {
  /** `to`: `host:port`. Never rejects; without a reply in time it resolves to status 0. */
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

/** Everything that a process needs of its surroundings. */
export interface Runtime {
  clock: Clock;
  http: Http;
  log: Log;
  /** Uniform in [0, 1). */
  random(): number;
}

/** Clocks of different machines drift apart by at most this factor. */
export const MAX_CLOCK_DRIFT = 1.001;

/** Resolves after so many milliseconds of the clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}

/** The runtime as the packages see it. */
export function packageEnvironment(source: { runtime: Runtime; wallMs(): number }): Environment {
  const { runtime } = source;
  return {
    clock: runtime.clock,
    log: runtime.log,
    wallMs: () => source.wallMs(),
    random: () => runtime.random(),
  };
}
