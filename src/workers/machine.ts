/** What the leader knows of one machine. */
import type { MachineType } from '../wire/model.js';
import type { TaskAttempt } from './task-attempt.js';

export interface Inflight {
  attempts: Set<TaskAttempt>;
}

export class Machine {
  session = 0;
  seq = -1;
  /** Highest token it has shown. */
  token = 0;
  /** Highest number of a report that came by itself, in this session: a lower one is a late copy. */
  reportSeq = -1;
  /** A token that an answer carried and that no report has shown yet; since when, and reports since then. */
  asked: { token: number; since: number; reports: number } | null = null;
  /** When it last showed a token that it was asked to show: answers reach it. */
  tokenConfirmedAt: number;
  /** What it must show before its reports are taken as complete. */
  fence: number;
  /** Raised for this machine alone, on top of the leader's token. */
  bump = 0;
  stored = false;
  /** Anything newer than this has been heard from the worker itself. */
  heardAt: number;
  /** When the last report was answered that may have renewed the worker's lease. */
  renewedAt: number;
  reported = false;
  noticeUntil: number | null = null;
  draining: string | null = null;
  slow = false;
  /** Jobs whose tasks failed here lately. */
  readonly failedJobs = new Set<number>();
  readonly attempts = new Map<string, TaskAttempt>();
  readonly images = new Set<string>();
  /** Starts ordered or fetching, by image. */
  readonly fetching = new Map<string, number>();
  /** Tasks of services that may be here. */
  services = 0;
  inflight: Inflight | null = null;
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
  suspect = false;
  /** Its lease has surely run out, and it has not been heard since: nothing is on it. */
  expired = false;

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
    this.fence = baseToken;
    this.heardAt = now;
    this.renewedAt = now;
    this.emptySince = now;
    this.tokenConfirmedAt = now;
  }

  /** It has shown a token that ends whatever was sent with lower ones. */
  certain(): boolean {
    return this.reported && this.token >= this.fence;
  }

  /** Heard, but answers do not reach it, or it does not do what they say: its reports prove nothing. */
  deaf(patienceMs: number, now: number): boolean {
    return this.asked !== null && this.asked.reports >= 3 && now - this.asked.since > patienceMs;
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
