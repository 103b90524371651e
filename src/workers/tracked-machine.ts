/**
 * The leader's state of one machine. The type of attempts is a parameter, so that this module does not depend on
 * attempts, which refer to their machines.
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

/**
 * Why no further task is placed on a machine. `surplus`: the machine is not needed. `notice`: the cloud has given a
 * preemption notice for it. `faulty`: tasks fail on it.
 */
export type DrainReason = 'surplus' | 'notice' | 'faulty';

/**
 * Number of heartbeats without a pending token after which a machine may count as not acknowledging: one or two may
 * have been in flight when the token was sent.
 */
const MIN_UNACKNOWLEDGED_HEARTBEATS = 3;

/**
 * The state of a machine: what its worker has reported, what was sent to it, which attempts may be on it and which
 * resources they occupy. Use the alias `Machine`, which fixes the type parameter; see `machine.ts`. Times are in
 * milliseconds of the monotonic clock.
 */
export class TrackedMachine<Attempt> {
  /** The worker's incarnation. Heartbeats of lower incarnations are outdated. */
  incarnation = 0;
  /**
   * Sequence of the last applied heartbeat of this incarnation, whether from a request or a response to commands.
   * Heartbeats with a sequence that is not higher are outdated.
   */
  lastAppliedSequence = -1;
  /**
   * Sequence of the newest heartbeat of this incarnation that the worker sent as a request. A request with a sequence
   * that is not higher is a duplicate or late.
   */
  lastRequestSequence = -1;
  /**
   * When the last heartbeat was applied, whether from a request or a response to commands. Also set when the term
   * resumes after a suspension, or the machine's zone is no longer partitioned, so that timeouts start again.
   */
  lastHeardAt: number;
  /** The table holds the state that the machine had at this time, or a later one. See `MachineNews`. */
  newsFrom = -Infinity;
  /** Whether a heartbeat was received since the machine was added, or since its lease expired. */
  reported = false;
  /** When the last heartbeat response was sent that may have renewed the worker's lease. */
  leaseRenewedAt: number;
  /** Whether the lease is guaranteed to have expired, with no heartbeat since: no task is on the machine. */
  leaseExpired = false;
  /**
   * Whether the machine was stored when this leader's term began and has not been reconciled since. It must be
   * reconciled or removed, or its lease must expire, before jobs that former leaders may have started are acted on.
   */
  awaitingReconciliation = false;

  /** Highest token that the machine has reported. */
  reportedToken = 0;
  /** Token that the machine must report before its heartbeats count as complete. */
  requiredToken: number;
  /** Difference between the token for the machine and the leader's base token. */
  tokenOffset = 0;
  pendingTokenAck: PendingTokenAck | null = null;
  /** When the machine last acknowledged a pending token, which proves that responses reach it. */
  tokenAcknowledgedAt: number;

  /** Whether the machine is stored, so that a new leader would find it. Only then may commands be sent to it. */
  stored = false;
  inFlight: InFlightRequest<Attempt> | null = null;
  /** Earliest time of the next request to the machine. */
  nextSendAt = 0;
  /** Number of consecutive requests without a response. */
  commandFailures = 0;

  /** The attempts that may be on the machine, and the exited ones that it still reports, by `attemptKey`. */
  readonly attempts = new Map<string, Attempt>();
  readonly images = new Set<string>();
  /** Number of attempts that are starting or fetching, by image. */
  readonly fetching = new Map<string, number>();
  /** Number of service tasks that may be on the machine. */
  serviceTasks = 0;
  usedCpus = 0;
  usedGpus = 0;
  usedMemory = 0;
  /** When the last attempt on the machine exited or was removed; initially when the leader learned of the machine. */
  emptySince: number;

  /** When the cloud will preempt the machine, or null without a preemption notice. */
  preemptionDeadline: number | null = null;
  drainReason: DrainReason | null = null;
  isStraggler = false;
  /** Jobs (by index) whose tasks failed on the machine recently. */
  readonly failedJobs = new Set<number>();

  /** When the cloud's list last contained the machine; -1 if it never did. */
  listedAt = -1;
  /** Whether the cloud's last list did not contain the machine, although the machine must have existed by then. */
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

  /**
   * Whether several heartbeats have arrived without the pending token for more than `timeoutMs`. Responses are then
   * lost or ignored, so the heartbeats do not prove that the machine can be reached.
   */
  isNotAcknowledging(timeoutMs: number, now: number): boolean {
    return (
      this.pendingTokenAck !== null &&
      this.pendingTokenAck.heartbeats >= MIN_UNACKNOWLEDGED_HEARTBEATS &&
      now - this.pendingTokenAck.since > timeoutMs
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
