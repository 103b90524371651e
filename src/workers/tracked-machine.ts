/**
 * The leader's state of one machine. The type of attempts is a parameter, since attempts refer to their machines.
 */
import type { MachineType } from '../wire/model.js';

/** A request to a worker that has no response yet, with the attempts that it starts. */
export interface InFlightRequest<Attempt> {
  attempts: Set<Attempt>;
}

/** A token that was sent in a response and that no heartbeat has contained yet. */
export interface PendingTokenAck {
  token: number;
  since: number;
  /** Number of heartbeats received since then without the token. */
  heartbeats: number;
}

/** Why no task is placed on a machine any more: it is not needed, it has a preemption notice, or tasks fail on it. */
export type DrainReason = 'surplus' | 'notice' | 'faulty';

/** Heartbeats without a pending token before a machine counts as not acknowledging: one or two may be in flight. */
const MIN_UNACKNOWLEDGED_HEARTBEATS = 3;

/**
 * A machine's state: what its worker has reported, what was sent to it, which attempts may be on it and which resources
 * they occupy. Code uses the type `Machine`. Times are in milliseconds of the monotonic clock.
 */
export class TrackedMachine<Attempt> {
  /** The worker's incarnation. Heartbeats of lower ones are outdated, as are those of this one up to `lastAppliedSequence`. */
  incarnation = 0;
  lastAppliedSequence = -1;
  /** Sequence of the newest heartbeat that the worker sent itself in this incarnation: a lower one is a late copy. */
  lastRequestSequence = -1;
  /** When new information was last received from the worker itself. */
  lastHeardAt: number;
  /** Whether a heartbeat was received since the machine was added, or since its lease expired. */
  reported = false;
  /** When the last heartbeat response was sent that may have renewed the worker's lease. */
  leaseRenewedAt: number;
  /** Whether the lease is guaranteed to have expired, with no heartbeat since: no task is on the machine. */
  leaseExpired = false;
  /** Stored when this leader's term began: it must be reconciled or removed before older jobs are acted on. */
  awaitingReconciliation = false;

  /** Highest token that the machine has reported. */
  reportedToken = 0;
  /** Token that the machine must report before its heartbeats count as complete. */
  requiredToken: number;
  /** Difference of the machine's token to the leader's base token. */
  tokenOffset = 0;
  pendingTokenAck: PendingTokenAck | null = null;
  /** When the machine last confirmed a pending token, which proves that responses reach it. */
  tokenAcknowledgedAt: number;

  /** Whether the machine is stored, so that a new leader would find it. Only then may commands be sent to it. */
  stored = false;
  inFlight: InFlightRequest<Attempt> | null = null;
  /** Earliest time of the next request to the machine. */
  nextSendAt = 0;
  /** Number of consecutive requests without a response. */
  commandFailures = 0;

  /** The attempts that may be on the machine, and those that it still reports, by `attemptKey`. */
  readonly attempts = new Map<string, Attempt>();
  readonly images = new Set<string>();
  /** Number of attempts that are starting or fetching, by image. */
  readonly fetching = new Map<string, number>();
  /** Number of service tasks that may be on the machine. */
  serviceTasks = 0;
  usedCpus = 0;
  usedGpus = 0;
  usedMemory = 0;
  /** When the last attempt on the machine ended, or else when the machine became known. */
  emptySince: number;

  preemptionDeadline: number | null = null;
  drainReason: DrainReason | null = null;
  isStraggler = false;
  /** Jobs (by index) whose tasks failed on the machine recently. */
  readonly failedJobs = new Set<number>();

  /** When the cloud's list last contained the machine; -1 if it never did. */
  listedAt = -1;
  /** Whether the last list did not contain the machine, although it must have existed by then. */
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
    this.tokenAcknowledgedAt = now;
  }

  /** Whether the machine has reported the required token, which invalidates all commands sent with lower ones. */
  isReconciled(): boolean {
    return this.reported && this.reportedToken >= this.requiredToken;
  }

  /** Whether heartbeats arrive, but responses are lost or ignored, so that the heartbeats prove nothing. */
  isNotAcknowledging(patienceMs: number, now: number): boolean {
    return (
      this.pendingTokenAck !== null &&
      this.pendingTokenAck.heartbeats >= MIN_UNACKNOWLEDGED_HEARTBEATS &&
      now - this.pendingTokenAck.since > patienceMs
    );
  }

  /** CPUs that no attempt occupies. */
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
