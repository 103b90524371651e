/**
 * The messages between controllers. The names of their fields are those that older builds send and read, so they stay:
 * the comments give the terms that the code uses elsewhere. No safety property needs any message to arrive.
 */
import { isMap } from '../wire/cbor.js';

/** From the leader: progress counts of live jobs, for display. */
interface ProgressMessage {
  t: 'progress';
  from: string;
  /** By job. */
  jobs: [string, { done: number; running: number }][];
}

/** From a follower to the leader: may it extend worker leases? */
export interface LeaseExtensionRequestMessage {
  t: 'ask';
  from: string;
  /** When it was sent, by the sender's clock: the grant repeats it. */
  at: number;
}

/** Does the state service serve the sender? */
interface AvailabilityMessage {
  t: 'served';
  from: string;
  served: boolean;
}

/** From the leader, in reply to a request for lease extension. */
export interface LeaseExtensionGrantMessage {
  t: 'grant';
  from: string;
  /** The follower that asked. */
  to: string;
  /** The request's `at`. */
  at: number;
  /** Epoch of the leader's term. */
  revision: number;
  /** May the follower extend leases? */
  keep: boolean;
}

/** A user is about to be told that the job is cancelled. */
interface CancellationMessage {
  t: 'cancelled';
  from: string;
  id: string;
}

/** The build that the sender runs. */
interface BuildMessage {
  t: 'build';
  from: string;
  process: string;
  version: string;
  /** The lowest and the highest feature level that it reads. */
  reads: [number, number];
  /** The highest feature level that it writes. */
  writes: number;
}

/** What the sender vouches for: see `attestations.ts`. */
export interface AttestationMessage {
  t: 'attest';
  from: string;
  /** The sender's process: another one remembers nothing of what an earlier one confirmed. */
  life: string;
  /** Milliseconds since that process started. */
  upMs: number;
  /** When it was sent, by the sender's clock. */
  at: number;
  /** By node: process and send time, by that node's clock, of the last message that the sender had from it. */
  heard: Record<string, { life: string; at: number }>;
  /** The highest epoch that the sender has seen, its own included. */
  claim: number;
  /** The sender campaigns: it may have been elected without knowing it. */
  claiming: boolean;
  /** Jobs whose cancellation the sender confirmed to users of late. */
  cancelled: string[];
}

/** Any message between controllers, told apart by `t`. */
export type PeerMessage =
  | ProgressMessage
  | LeaseExtensionRequestMessage
  | AvailabilityMessage
  | LeaseExtensionGrantMessage
  | CancellationMessage
  | BuildMessage
  | AttestationMessage;

type Validator = (value: unknown) => boolean;

/** The fields beside `t` and `from` that a message must have. */
const REQUIRED_FIELDS: Record<PeerMessage['t'], Record<string, Validator>> = {
  progress: { jobs: Array.isArray },
  ask: { at: isFiniteNumber },
  served: { served: isBoolean },
  grant: { to: isString, at: isFiniteNumber, revision: isFiniteNumber, keep: isBoolean },
  cancelled: { id: isString },
  build: { process: isString, version: isString, reads: isRange, writes: isFiniteNumber },
  attest: {
    life: isString,
    upMs: isFiniteNumber,
    at: isFiniteNumber,
    heard: isMap,
    claim: isFiniteNumber,
    claiming: isBoolean,
    cancelled: Array.isArray,
  },
};

function isFiniteNumber(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value);
}

function isString(value: unknown): boolean {
  return typeof value === 'string';
}

function isRange(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && value.every(isFiniteNumber);
}

function isBoolean(value: unknown): boolean {
  return typeof value === 'boolean';
}

/** Null for a kind that this build doesn't know, and for a message that lacks a field: both are skipped. */
export function readPeerMessage(value: unknown): PeerMessage | null {
  if (!isMap(value) || typeof value.from !== 'string' || typeof value.t !== 'string') return null;
  const kind = value.t;
  if (!Object.hasOwn(REQUIRED_FIELDS, kind)) return null;
  const fields = Object.entries(REQUIRED_FIELDS[kind as PeerMessage['t']]);
  if (!fields.every(([name, isValid]) => isValid(value[name]))) return null;
  return value as unknown as PeerMessage;
}
