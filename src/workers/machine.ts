/** What the leader knows of one machine. */
import type { MachineType } from '../wire/model.js';
import type { TaskAttempt } from './task-attempt.js';

/** A request to a worker that is not answered yet, with the attempts that it starts. */
export interface InFlightRequest {
  attempts: Set<TaskAttempt>;
}

/** Acknowledgements that a machine may owe before it counts as not acknowledging: one or two may be on their way. */
const MIN_UNACKNOWLEDGED_HEARTBEATS = 3;

/**
 * One machine in the leader's table: what its worker has reported, what was sent to it, which attempts may be on it and
 * what they occupy.
 */
export class Machine {
  incarnation = 0;
  lastSequence = -1;
  /** Highest token it has shown. */
  shownToken = 0;
  /** Highest number of a heartbeat that came by itself, in this incarnation: a lower one is a late copy. */
  lastHeartbeatSequence = -1;
  /** A token that an answer carried and that no heartbeat has shown yet; since when, and heartbeats since then. */
  pendingTokenAck: { token: number; since: number; heartbeats: number } | null = null;
  /** When it last showed a token that it was asked to show: answers reach it. */
  tokenConfirmedAt: number;
  /** What it must show before its heartbeats are taken as complete. */
  requiredToken: number;
  /** Raised for this machine alone, on top of the leader's token. */
  tokenOffset = 0;
  /** It stands in the state service, so that a new leader would find it: only then may commands be sent to it. */
  stored = false;
  /** Anything newer than this has been heard from the worker itself. */
  lastHeardAt: number;
  /** When the last heartbeat was answered that may have renewed the worker's lease. */
  leaseRenewedAt: number;
  /** A heartbeat has told of it since it was added, or since its lease ended. */
  reported = false;
  preemptionDeadline: number | null = null;
  drainReason: string | null = null;
  isStraggler = false;
  /** Jobs whose tasks failed here lately. */
  readonly failedJobs = new Set<number>();
  readonly attempts = new Map<string, TaskAttempt>();
  readonly images = new Set<string>();
  /** Attempts that are starting or fetching, by image. */
  readonly fetching = new Map<string, number>();
  /** Tasks of services that may be here. */
  serviceTasks = 0;
  inFlight: InFlightRequest | null = null;
  nextSendAt = 0;
  commandFailures = 0;
  emptySince: number;
  usedCpus = 0;
  usedGpus = 0;
  usedMemory = 0;
  /** Where it stands with the cloud. */
  listedAt = -1;
  /** The last list did not have it, although it must have existed by then. */
  unlisted = false;
  rentedAt: number | null = null;
  deleting = false;
  /** Stored when the leader took over: must speak up, or be gone, before old jobs are acted on. */
  awaitingReconciliation = false;
  /** Its lease has surely run out, and it has not been heard since: nothing is on it. */
  leaseExpired = false;

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

  /** Its heartbeats arrive, but answers do not reach it, or it does not do what they say: its heartbeats prove nothing. */
  isNotAcknowledging(patienceMs: number, now: number): boolean {
    return (
      this.pendingTokenAck !== null &&
      this.pendingTokenAck.heartbeats >= MIN_UNACKNOWLEDGED_HEARTBEATS &&
      now - this.pendingTokenAck.since > patienceMs
    );
  }

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
