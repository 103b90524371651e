/** The state service's requests and responses. */
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
 * The protocol's own words: `entry_mark` is the version of a key, `ledger_mark` the revision of the whole store, `tenancy`
 * a lease and `life_ms` its time to live, `news` the events of a watch.
 */

const versionOf = (body: Body): number => toNumber(body.entry_mark) ?? 0;

/** The store's revision as a response tells it; 0 if it doesn't. */
export function readRevision(body: Body): number {
  return toNumber(body.ledger_mark) ?? 0;
}

/** One key with its value and version; null if the body is no such pair. */
export function readKeyValue(body: unknown): KeyValue | null {
  if (!isMap(body) || typeof body.k !== 'string') return null;
  return { key: body.k, value: body.data, version: versionOf(body) };
}

/** One page of a scan; `more`: further keys follow after its last one. */
export interface ScanPage extends Snapshot {
  more: boolean;
}

/** Null if the body is no page. Pairs in it that can't be read are left out. */
export function readScanPage(body: Body): ScanPage | null {
  if (!Array.isArray(body.pairs)) return null;
  const pairs = body.pairs.map(readKeyValue).filter((pair): pair is KeyValue => pair !== null);
  return { pairs, more: body.truncated === true, revision: readRevision(body) };
}

/** The request that applies all mutations if all preconditions hold. */
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

/** The keys whose preconditions did not hold. */
export function readFailedKeys(body: Body): string[] {
  return Array.isArray(body.failed) ? body.failed.filter(isText) : [];
}

/** Events and the revision up to which they are complete; null if the body holds no events. */
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

/** The request for a lease, or for its renewal, that ends after `ttlMs` milliseconds. */
export function leaseBody(ttlMs: number): Body {
  return { life_ms: ttlMs };
}

/** The id of the lease that was granted. */
export function readLeaseId(body: Body): number | undefined {
  return toNumber(body.tenancy);
}

const KEYS_PER_SCAN_PAGE = 1000;

/** Paths of the state service. */
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
