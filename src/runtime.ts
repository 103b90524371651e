/** What the outside world is to decision code: injected, so that tests can simulate whole clusters. */
import type { Environment } from '@millring/state-access';
import type { Body } from './wire/cbor.js';

export interface Clock {
  /** Steady milliseconds. */
  now(): number;
  after(ms: number, fn: () => void): () => void;
}

/** `status` 0: no answer came, so the request may have been executed, or may still be. */
export interface Reply {
  status: number;
  body: Body;
}

export interface Http {
  send(
    to: string,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: Body | null,
    timeoutMs: number,
  ): Promise<Reply>;
}

export interface Log {
  info(fields: object, text: string): void;
  debug(fields: object, text: string): void;
  error(fields: object, text: string): void;
}

export interface Runtime {
  clock: Clock;
  http: Http;
  log: Log;
  /** Uniform in [0, 1). */
  random(): number;
}

/** Steady clocks of different machines drift apart by at most this factor. */
export const DRIFT = 1.001;

export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((done) => clock.after(ms, done));
}

/** The world as the packages see it. */
export function packageEnvironment(source: { runtime: Runtime; wallMs(): number }): Environment {
  const { runtime } = source;
  return {
    clock: runtime.clock,
    log: runtime.log,
    wallMs: () => source.wallMs(),
    random: () => runtime.random(),
  };
}
