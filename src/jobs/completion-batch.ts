/** What one compare-and-swap of the completion writer writes, and what it rests on. */
import type { Mutation, Precondition } from '@millring/state-access';
import type { Job } from './job.js';
import type { Layout } from './record-layout.js';
import { FINISHED_PREFIX, liveKey } from './records.js';

/** Records of finished tasks that a batch writes. */
export interface BatchedProgress {
  job: Job;
  /** Chunks of tasks that they make durable. */
  chunks: number[];
  layout: Layout;
  /** Finished tasks of the job when the records were made. */
  finishedCount: number;
}

/** The ends of jobs, progress of others, and removals of records that are not needed any more. */
export class CompletionBatch {
  readonly preconditions: Precondition[];
  readonly mutations: Mutation[] = [];
  /** Jobs whose records the batch rests on. */
  readonly jobs = new Set<Job>();
  readonly terminalJobs: Job[] = [];
  readonly progress: BatchedProgress[] = [];
  /** Keys of records that it removes because their job has ended. */
  readonly orphanedKeys: string[] = [];
  /** Records of live jobs that it removes because others tell of their tasks. */
  readonly superseded: { job: Job; recordNumber: number }[] = [];
  private levelKey: string | null = null;

  constructor(
    leaderPrecondition: Precondition,
    private readonly maxMutations: number,
    private readonly maxPreconditions: number,
  ) {
    this.preconditions = [leaderPrecondition];
  }

  /** Room for so many mutations, and for the preconditions of one more job and the level. */
  hasRoom(mutations: number): boolean {
    return (
      this.mutations.length + mutations <= this.maxMutations &&
      this.preconditions.length < this.maxPreconditions - 1
    );
  }

  add(mutations: Mutation[]): void {
    this.mutations.push(...mutations);
  }

  /** The batch rests on the job's record as it was last read. */
  requireJob(job: Job): void {
    if (this.jobs.has(job)) return;
    this.jobs.add(job);
    this.preconditions.push({ key: liveKey(job.spec.id), version: job.version });
  }

  /** The batch rests on the cluster's level. */
  requireLevel(precondition: Precondition): void {
    if (this.levelKey !== null) return;
    this.levelKey = precondition.key;
    this.preconditions.push(precondition);
  }

  /** Whether a failed precondition is about this job or about all of them. */
  concerns(failedKeys: string[], job: Job): boolean {
    return failedKeys.some((key) => key === liveKey(job.spec.id) || key === this.levelKey);
  }

  covers(job: Job, chunk: number): boolean {
    return this.progress.some((entry) => entry.job === job && entry.chunks.includes(chunk));
  }

  /** The size of the largest segment, counted as JSON, or 0. */
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
