/**
 * What packages need of the state service: linearizable reads, guarded atomic writes, leases and watches. The
 * program's own client is passed in; packages open no connection themselves.
 */
export { type Parsed, parseRecord } from './parsed.js';

/** The transaction is applied only if the key has this version; 0: the key does not exist. */
export interface Precondition {
  key: string;
  version: number;
}

/** A key put under a lease is removed with it. */
export type Mutation = { put: string; value: unknown; lease?: number } | { remove: string };

export interface KeyValue {
  key: string;
  value: unknown;
  version: number;
}

/** `refused`: not executed. */
export type ReadResult =
  | { kind: 'found'; entry: KeyValue }
  | { kind: 'absent'; revision: number }
  | { kind: 'unavailable' };

/** `unknown`: no answer came, so the transaction may have been applied, or may still be. */
export type CompareAndSwapResult =
  | { kind: 'committed'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'invalid' }
  | { kind: 'rejected' }
  | { kind: 'indeterminate' };

export interface WatchEvent {
  key: string;
  value: unknown;
  version: number;
  deleted: boolean;
}

export type WatchResult =
  | { kind: 'events'; revision: number; events: WatchEvent[] }
  | { kind: 'compacted' }
  | { kind: 'unavailable' };

/** A client of the state service. */
export interface StateAccess {
  get(key: string): Promise<ReadResult>;
  scan(prefix: string): Promise<{ pairs: KeyValue[]; revision: number } | null>;
  compareAndSwap(guards: Precondition[], changes: Mutation[]): Promise<CompareAndSwapResult>;
  grantLease(ttlMs: number): Promise<number | null>;
  renewLease(
    lease: number,
    ttlMs: number,
    timeoutMs: number,
  ): Promise<'renewed' | 'expired' | 'indeterminate'>;
  revokeLease(lease: number): Promise<boolean>;
  watch(prefix: string, after: number, waitMs: number): Promise<WatchResult>;
}

/** Time, randomness and log lines come from the caller, so that tests can run whole clusters in virtual time. */
export interface Environment {
  clock: {
    /** Steady milliseconds. */
    now(): number;
    after(ms: number, callback: () => void): () => void;
  };
  /** Time of day in milliseconds. Only waiting times rest on it, no safety property. */
  wallMs(): number;
  /** Uniform in [0, 1). */
  random(): number;
  log: { info(fields: object, text: string): void; error(fields: object, text: string): void };
}

export function sleep(environment: Environment, ms: number): Promise<void> {
  return new Promise((done) => environment.clock.after(ms, done));
}
