/**
 * What packages need of the state service: linearizable reads, compare-and-swap over several keys, leases and
 * watches. The program's own client is passed in; packages open no connection themselves.
 */
export { type Parsed, parseRecord } from './parsed.js';

/** Holds if the key has exactly this version; 0: the key does not exist. */
export interface Precondition {
  key: string;
  version: number;
}

/** One write or removal of a key. A key put under a lease is removed when the lease ends. */
export type Mutation = { put: string; value: unknown; lease?: number } | { remove: string };

/** A key as it is stored. Its version changes with each write. */
export interface KeyValue {
  key: string;
  value: unknown;
  version: number;
}

/**
 * The result of a linearizable read. `absent`: there was no such key as of `revision`. `unavailable`: not answered,
 * so nothing is known of the key.
 */
export type ReadResult =
  | { kind: 'found'; entry: KeyValue }
  | { kind: 'absent'; revision: number }
  | { kind: 'unavailable' };

/** All keys under a prefix. A watch after `revision` misses nothing that changed since. */
export interface Snapshot {
  pairs: KeyValue[];
  revision: number;
}

/**
 * What became of a compare-and-swap.
 *
 * - `committed`: all mutations were applied, at `revision`.
 * - `conflict`: nothing was applied, because the preconditions on the keys `failed` did not hold.
 * - `invalid`: nothing was applied, and the request will never be accepted as it stands, for example because a value
 *   is too large.
 * - `rejected`: surely not executed, for example over a rate limit; it may be sent again as it stands.
 * - `indeterminate`: no answer came, so it may have been executed, or may still be.
 */
export type CompareAndSwapResult =
  | { kind: 'committed'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'invalid' }
  | { kind: 'rejected' }
  | { kind: 'indeterminate' };

/** One change of a key, the latest if there were several. `deleted`: the key was removed. */
export interface WatchEvent {
  key: string;
  value: unknown;
  version: number;
  deleted: boolean;
}

/**
 * The result of a watch. `events`: all changes up to `revision`, from which the next watch goes on; there may be
 * none. `compacted`: the service no longer has the history since the revision asked for, so that all keys must be
 * loaded again. `unavailable`: not answered; the same watch may be repeated.
 */
export type WatchResult =
  | { kind: 'events'; revision: number; events: WatchEvent[] }
  | { kind: 'compacted' }
  | { kind: 'unavailable' };

/** `expired`: the lease has ended for good. `indeterminate`: not answered, so it may have been renewed. */
export type LeaseRenewal = 'renewed' | 'expired' | 'indeterminate';

/** A client of the state service. Its methods never throw: what went wrong is part of their results. */
export interface StateAccess {
  get(key: string): Promise<ReadResult>;
  /** All keys under the prefix; null if the service did not answer. */
  scan(prefix: string): Promise<Snapshot | null>;
  /** Applies all mutations at once if all preconditions hold, and otherwise none. */
  compareAndSwap(
    preconditions: Precondition[],
    mutations: Mutation[],
  ): Promise<CompareAndSwapResult>;
  /** The id of a new lease that ends after `ttlMs` unless it is renewed; null if none is known to be granted. */
  grantLease(ttlMs: number): Promise<number | null>;
  renewLease(lease: number, ttlMs: number, timeoutMs: number): Promise<LeaseRenewal>;
  /** Ends a lease, and removes its keys. True once it has surely ended. */
  revokeLease(lease: number): Promise<boolean>;
  /** Changes under the prefix after a revision; waits up to `waitMs` for the first of them. */
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

/** Resolves after `ms` of the environment's clock. */
export function sleep(environment: Environment, ms: number): Promise<void> {
  return new Promise((resolve) => environment.clock.after(ms, resolve));
}
