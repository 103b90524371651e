/**
 * The record that names the leader. It is attached to a lease of the state service. Its revision is the epoch of the
 * leadership term: it increases from leader to leader, and fencing tokens are derived from it.
 */
import type { Precondition } from '@millring/state-access';
import type { StateStore } from '../state-store/client.js';
import { isMap } from '../wire/cbor.js';

/** Key of the record. */
export const LEADER_KEY = 'leader';
/** Number of tokens per epoch: enough to advance the token of a single machine without reaching the next epoch. */
export const TOKENS_PER_EPOCH = 2 ** 20;
/** No key ever has this version, so a write with this version as a precondition changes nothing. */
const UNATTAINABLE_VERSION = Number.MAX_SAFE_INTEGER;
/** Version that a precondition states for a key that does not exist. */
const ABSENT = 0;

/** Identifies a term that began when this node won the election; `LeaderTerm` does the term's work. */
export interface ElectedTerm {
  /** Revision of the leader record: it increases from leader to leader. */
  epoch: number;
  /** Id of the lease that the record is attached to. */
  leaseId: number;
}

/** The record as it was read; a field that is missing or malformed is null. */
export interface LeaderRecord {
  node: string | null;
  leaseId: number | null;
}

/** Result of a campaign. */
export type CampaignResult =
  | { kind: 'won'; term: ElectedTerm }
  /** The state service granted no lease. */
  | { kind: 'no-lease' }
  /** The record was not written, or may not have been. The lease is no longer needed. */
  | {
      kind: 'lost';
      outcome: 'conflict' | 'rejected' | 'indeterminate' | 'invalid';
      leaseId: number;
    };

/** Reads the value of the leader record; accepts any value. */
export function readLeaderRecord(value: unknown): LeaderRecord {
  if (!isMap(value)) return { node: null, leaseId: null };
  return {
    node: typeof value.node === 'string' ? value.node : null,
    leaseId: typeof value.lease === 'number' ? value.lease : null,
  };
}

/** Precondition that holds while the term's record exists. Without a term it never holds, so nothing is written. */
export function leaderRecordPrecondition(term: ElectedTerm | null): Precondition {
  return { key: LEADER_KEY, version: term?.epoch ?? UNATTAINABLE_VERSION };
}

/** The epoch of the term in which a worker's token was issued. */
export function epochOfToken(token: number): number {
  return Math.floor(token / TOKENS_PER_EPOCH);
}

/** Writes the leader record, attached to the lease, if no such record exists. */
export async function createLeaderRecord(
  store: StateStore,
  node: string,
  leaseId: number,
): Promise<CampaignResult> {
  const result = await store.compareAndSwap(
    [{ key: LEADER_KEY, version: ABSENT }],
    [{ put: LEADER_KEY, value: { node, lease: leaseId }, lease: leaseId }],
    true,
  );
  if (result.kind === 'committed')
    return { kind: 'won', term: { epoch: result.revision, leaseId } };
  if (result.kind === 'indeterminate') {
    // The record may have been written although no response arrived: its lease id shows whether this node wrote it.
    const read = await store.get(LEADER_KEY);
    if (read.kind === 'found' && readLeaderRecord(read.entry.value).leaseId === leaseId)
      return { kind: 'won', term: { epoch: read.entry.version, leaseId } };
  }
  return { kind: 'lost', outcome: result.kind, leaseId };
}
