/** Requests to the state service and its responses. */
import type {
  KeyValue,
  Mutation,
  Precondition,
  Snapshot,
  WatchEvent,
} from '@millring/state-access';
import { type Body, isMap, toNumber, toWireInteger } from './cbor.js';
import { isText } from './validators.js';

/*
 * Terms of the protocol: `entry_mark` is the version of a key, `ledger_mark` the revision of the whole store, `tenancy`
 * a lease and `life_ms` its time to live, `news` the events of a watch.
 */

const versionOf = (body: Body): number => toNumber(body.entry_mark) ?? 0;

/** Returns the revision of the store that a response reports, or 0 if it reports none. */
export function readRevision(body: Body): number {
  return toNumber(body.ledger_mark) ?? 0;
}

/** Returns a key with its value and version, or null if the body is not such a pair. */
export function readKeyValue(body: unknown): KeyValue | null {
  if (!isMap(body) || typeof body.k !== 'string') return null;
  return { key: body.k, value: body.data, version: versionOf(body) };
}

/** One page of a scan. `more` is whether the scan continues after the last key of this page. */
export interface ScanPage extends Snapshot {
  more: boolean;
}

/** Returns null if the body is not a page of a scan. Skips pairs that can't be read. */
export function readScanPage(body: Body): ScanPage | null {
  if (!Array.isArray(body.pairs)) return null;
  const pairs = body.pairs.map(readKeyValue).filter((pair): pair is KeyValue => pair !== null);
  return { pairs, more: body.truncated === true, revision: readRevision(body) };
}

/** Returns the body of a request that applies all mutations if all preconditions hold. */
export function compareAndSwapBody(preconditions: Precondition[], mutations: Mutation[]): Body {
  return {
    guards: preconditions.map(({ key, version }) => ({
      k: key,
      entry_mark: toWireInteger(version),
    })),
    then: mutations.map(mutationBody),
  };
}

function mutationBody(mutation: Mutation): Body {
  if ('remove' in mutation) return { remove: mutation.remove };
  const { put, value, lease } = mutation;
  return lease === undefined ? { put, data: value } : { put, data: value, tenancy: lease };
}

/** Returns the keys whose preconditions did not hold. */
export function readFailedKeys(body: Body): string[] {
  return Array.isArray(body.failed) ? body.failed.filter(isText) : [];
}

/** Returns events and the revision up to which they are complete, or null if the body contains no list of events. */
export function readWatchEvents(body: Body): { revision: number; events: WatchEvent[] } | null {
  if (!Array.isArray(body.news)) return null;
  const events: WatchEvent[] = [];
  for (const event of body.news) {
    if (!isMap(event)) continue;
    const deleted = typeof event.remove === 'string';
    const key = deleted ? event.remove : event.put;
    if (typeof key === 'string')
      events.push({ key, value: event.data, version: versionOf(event), deleted });
  }
  return { revision: readRevision(body), events };
}

/** Returns the body of a request to grant or renew a lease that expires after `ttlMs` milliseconds. */
export function leaseBody(ttlMs: number): Body {
  return { life_ms: ttlMs };
}

/** Returns the id of the granted lease, or undefined if the body does not contain it. */
export function readLeaseId(body: Body): number | undefined {
  return toNumber(body.tenancy);
}

const KEYS_PER_SCAN_PAGE = 1000;

/** Paths of the state service's API. */
export const statePaths = {
  key: (key: string) => `/kv/${key}`,
  scan: (prefix: string, after: string) =>
    `/kv?starts=${prefix}&limit=${KEYS_PER_SCAN_PAGE}${after ? `&since=${after}` : ''}`,
  compareAndSwap: '/txn',
  leases: '/leases',
  renewLease: (lease: number) => `/leases/${lease}/extend`,
  lease: (lease: number) => `/leases/${lease}`,
  watch: (prefix: string, after: number, waitMs: number) =>
    `/watch?starts=${prefix}&since=${after}&block_ms=${waitMs}`,
};
