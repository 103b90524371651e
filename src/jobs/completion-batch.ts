/** The mutations and preconditions of one compare-and-swap of the completion writer. */
import type { Mutation, Precondition } from '@millring/state-access';
import type { Job } from './job.js';
import type { Layout } from './record-layout.js';
import { FINISHED_PREFIX, liveKey } from './records.js';

/** The records of a job's finished tasks that a batch writes. */
export interface BatchedFinishedRecords {
  job: Job;
  /** Blocks of tasks that the records make durable. */
  blocks: number[];
  layout: Layout;
  /** Number of finished tasks of the job when the records were created. */
  finishedCount: number;
}

/**
 * One batch: it moves jobs to their terminal state, writes finished tasks of other jobs, and removes obsolete records.
 */
export class CompletionBatch {
  readonly preconditions: Precondition[];
  readonly mutations: Mutation[] = [];
  /** Jobs whose records are preconditions of the batch. */
  readonly jobs = new Set<Job>();
  readonly terminalJobs: Job[] = [];
  readonly finishedRecords: BatchedFinishedRecords[] = [];
  /** Keys of records that the batch removes because their job is terminal. */
  readonly orphanedKeys: string[] = [];
  /** Records of live jobs that the batch removes because other records contain their tasks. */
  readonly superseded: { job: Job; recordNumber: number }[] = [];
  private levelKey: string | null = null;

  constructor(
    leaderPrecondition: Precondition,
    private readonly maxMutations: number,
    private readonly maxPreconditions: number,
  ) {
    this.preconditions = [leaderPrecondition];
  }

  /** Whether this many mutations fit, and also the preconditions of one more job and of the feature level. */
  hasRoom(mutations: number): boolean {
    return (
      this.mutations.length + mutations <= this.maxMutations &&
      this.preconditions.length < this.maxPreconditions - 1
    );
  }

  add(mutations: Mutation[]): void {
    this.mutations.push(...mutations);
  }

  /** Makes the batch conditional on the version of the job's record at the last read. */
  requireJob(job: Job): void {
    if (this.jobs.has(job)) return;
    this.jobs.add(job);
    this.preconditions.push({ key: liveKey(job.spec.id), version: job.version });
  }

  /** Makes the batch conditional on the feature level. */
  requireLevel(precondition: Precondition): void {
    if (this.levelKey !== null) return;
    this.levelKey = precondition.key;
    this.preconditions.push(precondition);
  }

  /** Whether a failed precondition is that of this job, or that of the feature level, which affects all jobs. */
  concerns(failedKeys: string[], job: Job): boolean {
    return failedKeys.some((key) => key === liveKey(job.spec.id) || key === this.levelKey);
  }

  /** Whether the batch makes the block durable. */
  covers(job: Job, block: number): boolean {
    return this.finishedRecords.some((entry) => entry.job === job && entry.blocks.includes(block));
  }

  /** Size of the largest segment in bytes of JSON, or 0 if there is none. */
  largestSegmentBytes(): number {
    const sizes = this.mutations.map((mutation) =>
      'put' in mutation &&
      typeof mutation.value === 'object' &&
      mutation.put.startsWith(FINISHED_PREFIX)
        ? JSON.stringify(mutation.value).length
        : 0,
    );
    return Math.max(0, ...sizes);
  }

  removes(key: string): boolean {
    return this.mutations.some((mutation) => 'remove' in mutation && mutation.remove === key);
  }
}
