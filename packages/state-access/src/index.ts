/**
 * Interface through which packages use the state service: linearizable reads, compare-and-swap over several keys,
 * leases and watches. The program passes in its own client; packages open no connections themselves.
 */
export { type Parsed, parseRecord } from './parsed.js';

/** Holds if the key has exactly this version. Version 0 means that the key does not exist. */
export interface Precondition {
  key: string;
  version: number;
}

/** One write or removal of a key. A key attached to a lease is removed when the lease ends. */
export type Mutation = { put: string; value: unknown; lease?: number } | { remove: string };

/** A key as it is stored. Its version changes with each write. */
export interface KeyValue {
  key: string;
  value: unknown;
  version: number;
}

/**
 * The result of a linearizable read. `absent`: the key did not exist as of `revision`. `unavailable`: there was no
 * response, so nothing is known about the key.
 */
export type ReadResult =
  | { kind: 'found'; entry: KeyValue }
  | { kind: 'absent'; revision: number }
  | { kind: 'unavailable' };

/** All keys under a prefix. A watch that starts after `revision` misses no later change. */
export interface Snapshot {
  pairs: KeyValue[];
  revision: number;
}

/**
 * The result of a compare-and-swap.
 *
 * - `committed`: all mutations were applied, at `revision`.
 * - `conflict`: nothing was applied, because the preconditions on the keys `failed` did not hold.
 * - `invalid`: nothing was applied, and the request will never be accepted unchanged, for example because a value is
 *   too large.
 * - `rejected`: guaranteed not to be executed, for example because of a rate limit; it may be repeated unchanged.
 * - `indeterminate`: there was no response, so the request may have been executed, or may still be executed.
 */
export type CompareAndSwapResult =
  | { kind: 'committed'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'invalid' }
  | { kind: 'rejected' }
  | { kind: 'indeterminate' };

/** The latest change of a key. `deleted`: the key was removed. */
export interface WatchEvent {
  key: string;
  value: unknown;
  version: number;
  deleted: boolean;
}

/**
 * The result of a watch. `events`: all changes up to `revision`, possibly none; the next watch continues from there.
 * `compacted`: the service no longer has the history since the requested revision, so all keys must be loaded again.
 * `unavailable`: there was no response; the same watch may be repeated.
 */
export type WatchResult =
  | { kind: 'events'; revision: number; events: WatchEvent[] }
  | { kind: 'compacted' }
  | { kind: 'unavailable' };

/**
 * The result of a lease renewal. `expired`: the lease has ended permanently. `indeterminate`: there was no response,
 * so the lease may have been renewed.
 */
export type LeaseRenewal = 'renewed' | 'expired' | 'indeterminate';

/** A client of the state service. Its methods never throw: failures are part of their results. */
export interface StateAccess {
  get(key: string): Promise<ReadResult>;
  /** Reads all keys under the prefix. Returns null if the service did not respond. */
  scan(prefix: string): Promise<Snapshot | null>;
  /** Applies all mutations atomically if all preconditions hold, and none otherwise. */
  compareAndSwap(
    preconditions: Precondition[],
    mutations: Mutation[],
  ): Promise<CompareAndSwapResult>;
  /**
   * Grants a lease that expires after `ttlMs` milliseconds unless it is renewed. Returns its id, or null if no lease
   * is known to have been granted.
   */
  grantLease(ttlMs: number): Promise<number | null>;
  renewLease(lease: number, ttlMs: number, timeoutMs: number): Promise<LeaseRenewal>;
  /** Revokes a lease and removes the keys attached to it. Returns true if the lease is guaranteed to have ended. */
  revokeLease(lease: number): Promise<boolean>;
  /**
   * Returns the changes under the prefix after the revision `after`. Waits at most `waitMs` milliseconds for the first
   * one.
   */
  watch(prefix: string, after: number, waitMs: number): Promise<WatchResult>;
}

/** Clock, randomness and log, supplied by the caller so that tests can run whole clusters in virtual time. */
export interface Environment {
  clock: {
    /** Time of a monotonic clock in milliseconds. */
    now(): number;
    /** Calls `callback` after `ms` milliseconds, unless the returned function is called before. */
    after(ms: number, callback: () => void): () => void;
  };
  /** Time of day in milliseconds. Only waiting times depend on it, no safety property. */
  wallMs(): number;
  /** Uniformly distributed random number in [0, 1). */
  random(): number;
  log: { info(fields: object, text: string): void; error(fields: object, text: string): void };
}

/** Resolves after `ms` milliseconds of the environment's clock. */
export function sleep(environment: Environment, ms: number): Promise<void> {
  return new Promise((resolve) => environment.clock.after(ms, resolve));
}
