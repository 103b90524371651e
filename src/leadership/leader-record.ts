/**
 * The record that names the leader. It is attached to a lease of the state service, and its revision is the epoch of
 * the leadership term: it grows from leader to leader and gives the fencing tokens.
 */
import type { Precondition } from '@millring/state-access';
import type { StateStore } from '../state-store/client.js';
import { isMap } from '../wire/cbor.js';

/** Key of the record. */
export const LEADER_KEY = 'leader';
/** Tokens of an epoch: they leave room below the next epoch for advancing the token of a single machine. */
export const TOKENS_PER_EPOCH = 2 ** 20;
/** No key ever has this version, so that a write with it as precondition changes nothing. */
const UNATTAINABLE_VERSION = Number.MAX_SAFE_INTEGER;
/** Version of a key that does not exist. */
const ABSENT = 0;

/** A leadership that this node has won. */
export interface LeadershipTerm {
  /** Revision of the leader record: it grows from leader to leader. */
  epoch: number;
  /** The lease that the record is attached to. */
  leaseId: number;
}

/** The record as it was read; what is missing or malformed is null. */
export interface LeaderRecord {
  node: string | null;
  leaseId: number | null;
}

/** How a campaign ended. */
export type CampaignResult =
  | { kind: 'won'; term: LeadershipTerm }
  /** The state service granted no lease. */
  | { kind: 'no-lease' }
  /** The record was not written. The lease is of no use any more. */
  | {
      kind: 'lost';
      outcome: 'conflict' | 'rejected' | 'indeterminate' | 'invalid';
      leaseId: number;
    };

/** Reads the value of the leader record, whatever it is. */
export function readLeaderRecord(value: unknown): LeaderRecord {
  if (!isMap(value)) return { node: null, leaseId: null };
  return {
    node: typeof value.node === 'string' ? value.node : null,
    leaseId: typeof value.lease === 'number' ? value.lease : null,
  };
}

/** Holds while the term's record stands. Without a term it never holds: nothing may be written then. */
export function leaderRecordPrecondition(term: LeadershipTerm | null): Precondition {
  return { key: LEADER_KEY, version: term?.epoch ?? UNATTAINABLE_VERSION };
}

/** The epoch of the term under whose leader a worker's token was issued. */
export function epochOfToken(token: number): number {
  return Math.floor(token / TOKENS_PER_EPOCH);
}

/** Writes the leader record under the lease, provided that there is none. */
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
    // The record may have been written although no response came: its lease shows whether it is ours.
    const read = await store.get(LEADER_KEY);
    if (read.kind === 'found' && readLeaderRecord(read.entry.value).leaseId === leaseId)
      return { kind: 'won', term: { epoch: read.entry.version, leaseId } };
  }
  return { kind: 'lost', outcome: result.kind, leaseId };
}
