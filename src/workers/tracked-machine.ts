/**
 * What the leader knows of one machine. What an attempt is is left open, since attempts refer to their machines in turn.
 */
import type { MachineType } from '../wire/model.js';

/** A request to a worker that is not answered yet, with the attempts that it starts. */
export interface InFlightRequest<Attempt> {
  attempts: Set<Attempt>;
}

/** A token that a response carried and that no heartbeat has shown yet. */
export interface PendingTokenAck {
  token: number;
  since: number;
  /** Heartbeats that came since then without it. */
  heartbeats: number;
}

/** Why nothing is placed on a machine any more: it is not needed, the cloud takes it back, or tasks fail on it. */
export type DrainReason = 'surplus' | 'notice' | 'faulty';

/** Acknowledgements that a machine may owe before it counts as not acknowledging: one or two may be on their way. */
const MIN_UNACKNOWLEDGED_HEARTBEATS = 3;

/**
 * A machine's state: what its worker has reported, what was sent to it, which attempts may be on it and
 * what they occupy. `Machine` is the type to use. Times are of the steady clock, in milliseconds.
 */
export class TrackedMachine<Attempt> {
  /** Heartbeats of lower incarnations are out of date, as are those of this one up to `lastSequence`. */
  incarnation = 0;
  lastSequence = -1;
  /** Of the newest heartbeat that the worker sent by itself in this incarnation: a lower one is a late copy. */
  lastHeartbeatSequence = -1;
  /** When anything new was last received from the worker itself. */
  lastHeardAt: number;
  /** A heartbeat has told of the machine since it was added, or since its lease ended. */
  reported = false;
  /** When the last heartbeat was answered that may have renewed the worker's lease. */
  leaseRenewedAt: number;
  /** Its lease has surely run out, and no heartbeat has come since: nothing is on it. */
  leaseExpired = false;
  /** Stored when this leader's term began: it must be reconciled, or be gone, before old jobs are acted on. */
  awaitingReconciliation = false;

  /** The highest token it has shown. */
  shownToken = 0;
  /** The token that it must show before its heartbeats are taken as complete. */
  requiredToken: number;
  /** By how much its token is above the leader's. */
  tokenOffset = 0;
  pendingTokenAck: PendingTokenAck | null = null;
  /** When it last showed a token that it was asked to show: responses reach it. */
  tokenConfirmedAt: number;

  /** It stands in the state service, so that a new leader would find it: only then may commands be sent to it. */
  stored = false;
  inFlight: InFlightRequest<Attempt> | null = null;
  /** No request goes to it before then. */
  nextSendAt = 0;
  /** Requests in a row that it did not answer. */
  commandFailures = 0;

  /** What may be on it, by `attemptKey`, and what it still reports. */
  readonly attempts = new Map<string, Attempt>();
  readonly images = new Set<string>();
  /** Attempts that are starting or fetching, by image. */
  readonly fetching = new Map<string, number>();
  /** Tasks of services that may be here. */
  serviceTasks = 0;
  usedCpus = 0;
  usedGpus = 0;
  usedMemory = 0;
  /** When the last attempt on it ended, or when it became known. */
  emptySince: number;

  preemptionDeadline: number | null = null;
  drainReason: DrainReason | null = null;
  isStraggler = false;
  /** Jobs (by index) whose tasks failed here lately. */
  readonly failedJobs = new Set<number>();

  /** When the cloud's list last had it; -1: never. */
  listedAt = -1;
  /** The last list did not have it, although it must have existed by then. */
  unlisted = false;
  rentedAt: number | null = null;
  deleting = false;

  constructor(
    readonly index: number,
    readonly id: string,
    public endpoint: string,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
    baseToken: number,
    now: number,
  ) {
    this.requiredToken = baseToken;
    this.lastHeardAt = now;
    this.leaseRenewedAt = now;
    this.emptySince = now;
    this.tokenConfirmedAt = now;
  }

  /** It has shown a token that ends whatever was sent with lower ones. */
  isReconciled(): boolean {
    return this.reported && this.shownToken >= this.requiredToken;
  }

  /** Its heartbeats arrive, but responses do not reach it, or it ignores them: its heartbeats prove nothing. */
  isNotAcknowledging(patienceMs: number, now: number): boolean {
    return (
      this.pendingTokenAck !== null &&
      this.pendingTokenAck.heartbeats >= MIN_UNACKNOWLEDGED_HEARTBEATS &&
      now - this.pendingTokenAck.since > patienceMs
    );
  }

  /** What no attempt occupies, as are the next two. */
  freeCpus(): number {
    return this.type.cpus - this.usedCpus;
  }

  freeGpus(): number {
    return this.type.gpus - this.usedGpus;
  }

  freeMemory(): number {
    return this.type.memoryGb - this.usedMemory;
  }
}
