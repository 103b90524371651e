/**
 * The messages between controllers. Their field names can't change because older builds send and read them; the
 * comments give the terms that the code uses elsewhere. No safety property depends on the arrival of a message.
 */
import { isMap } from '../wire/cbor.js';

/** Sent by the leader: what it knows of its live jobs. Builds up to 6 December 2026 send `jobs` alone. */
export interface ProgressMessage {
  t: 'progress';
  from: string;
  /** Pairs of a job id and its numbers of finished and running tasks. */
  jobs: [string, { done: number; running: number }][];
  /** Epoch of the leader's term. */
  epoch?: number;
  /** As in an attestation, when the message was composed: the receivers tell its age by it. */
  heard?: AttestationMessage['heard'];
  /**
   * Pairs of the id of a job of which the leader does not know whether a task runs, and the endpoint of a machine to
   * ask, or null.
   */
  uncertain?: [string, string | null][];
}

/** Sent by a follower to ask the leader whether it may extend worker leases. */
export interface LeaseExtensionRequestMessage {
  t: 'ask';
  from: string;
  /** Send time by the sender's clock, the same as that of the attestation sent just before. */
  at: number;
}

/** Reports whether the state service is available to the sender. */
interface AvailabilityMessage {
  t: 'served';
  from: string;
  served: boolean;
}

/** Sent by the leader in response to a request for lease extension. */
export interface LeaseExtensionGrantMessage {
  t: 'grant';
  from: string;
  /** The follower that sent the request. */
  to: string;
  /**
   * Send time, by the follower's clock, of a request that the follower's present process sent; in a refusal that of any
   * request. Builds up to 3 December 2026 repeat the time of any request.
   */
  at: number;
  /** Epoch of the leader's term. */
  revision: number;
  /** Whether the follower may extend leases. */
  keep: boolean;
}

/** Sent before the cancellation of a job is confirmed to a user. */
interface CancellationMessage {
  t: 'cancelled';
  from: string;
  id: string;
}

/** Reports the build that the sender runs. */
interface BuildMessage {
  t: 'build';
  from: string;
  process: string;
  version: string;
  /** The lowest and the highest feature level that the build reads. */
  reads: [number, number];
  /** The highest feature level that the build writes. */
  writes: number;
}

/** An attestation of the sender: see `attestations.ts`. */
export interface AttestationMessage {
  t: 'attest';
  from: string;
  /** Process id of the sender: a new process does not know what an earlier one confirmed. */
  life: string;
  /** Milliseconds since that process started. */
  upMs: number;
  /** Send time by the sender's clock. */
  at: number;
  /** By peer: process id and send time, by the peer's clock, of the last attestation that the sender received. */
  heard: Record<string, { life: string; at: number }>;
  /** The highest epoch that the sender has seen, including its own. */
  claim: number;
  /** Whether the sender is a candidate: it may have been elected without knowing it. */
  claiming: boolean;
  /** Ids of the jobs whose cancellation the sender recently confirmed to users. */
  cancelled: string[];
}

/** Any message between controllers; `t` distinguishes the kinds. */
export type PeerMessage =
  | ProgressMessage
  | LeaseExtensionRequestMessage
  | AvailabilityMessage
  | LeaseExtensionGrantMessage
  | CancellationMessage
  | BuildMessage
  | AttestationMessage;

type Validator = (value: unknown) => boolean;

/** The required fields of each kind of message besides `t` and `from`, with the check of their values. */
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

/** Fields that older builds don't send, with the check of their values. */
const OPTIONAL_FIELDS: Partial<Record<PeerMessage['t'], Record<string, Validator>>> = {
  progress: { epoch: isFiniteNumber, heard: isMap, uncertain: Array.isArray },
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

/**
 * Returns null if this build doesn't know the kind of the message, or if a required field is missing or invalid. The
 * caller skips such messages.
 */
export function readPeerMessage(value: unknown): PeerMessage | null {
  if (!isMap(value) || typeof value.from !== 'string' || typeof value.t !== 'string') return null;
  const kind = value.t;
  if (!Object.hasOwn(REQUIRED_FIELDS, kind)) return null;
  const required = Object.entries(REQUIRED_FIELDS[kind as PeerMessage['t']]);
  if (!required.every(([name, isValid]) => isValid(value[name]))) return null;
  const optional = Object.entries(OPTIONAL_FIELDS[kind as PeerMessage['t']] ?? {});
  if (!optional.every(([name, isValid]) => value[name] === undefined || isValid(value[name])))
    return null;
  return value as unknown as PeerMessage;
}
