/** The state service's requests and answers. */
import type { Mutation, Precondition, KeyValue, WatchEvent } from '@millring/state-access';
import { type Body, isMap, narrow, wide } from './cbor.js';
import { text } from './validators.js';

export function readPair(v: unknown): KeyValue | null {
  if (!isMap(v) || typeof v.k !== 'string') return null;
  return { key: v.k, value: v.data, version: narrow(v.entry_mark) ?? 0 };
}

export function readPairs(b: Body): { pairs: KeyValue[]; more: boolean; revision: number } | null {
  if (!Array.isArray(b.pairs)) return null;
  const pairs = b.pairs.map(readPair).filter((p): p is KeyValue => p !== null);
  return { pairs, more: b.truncated === true, revision: narrow(b.ledger_mark) ?? 0 };
}

export function txnBody(guards: Precondition[], changes: Mutation[]): Body {
  return {
    guards: guards.map((g) => ({ k: g.key, entry_mark: wide(g.version) })),
    then: changes.map((c) =>
      'remove' in c
        ? { remove: c.remove }
        : c.lease === undefined
          ? { put: c.put, data: c.value }
          : { put: c.put, data: c.value, tenancy: c.lease },
    ),
  };
}

export function readRevision(b: Body): number {
  return narrow(b.ledger_mark) ?? 0;
}

export function readFailed(b: Body): string[] {
  return Array.isArray(b.failed) ? b.failed.filter(text) : [];
}

export function readWatchEvents(b: Body): { revision: number; events: WatchEvent[] } | null {
  if (!Array.isArray(b.news)) return null;
  const events: WatchEvent[] = [];
  for (const v of b.news) {
    if (!isMap(v)) continue;
    const deleted = typeof v.remove === 'string';
    const key = deleted ? v.remove : v.put;
    if (typeof key === 'string')
      events.push({ key, value: v.data, version: narrow(v.entry_mark) ?? 0, deleted });
  }
  return { revision: readRevision(b), events };
}

export function leaseBody(ttlMs: number): Body {
  return { life_ms: ttlMs };
}

export function readLease(b: Body): number | undefined {
  return narrow(b.tenancy);
}

export const statePaths = {
  key: (key: string) => `/kv/${key}`,
  scan: (prefix: string, after: string) =>
    `/kv?starts=${prefix}&limit=1000${after ? `&since=${after}` : ''}`,
  txn: '/txn',
  leases: '/leases',
  renew: (lease: number) => `/leases/${lease}/extend`,
  lease: (lease: number) => `/leases/${lease}`,
  watch: (prefix: string, after: number, waitMs: number) =>
    `/watch?starts=${prefix}&since=${after}&block_ms=${waitMs}`,
};
