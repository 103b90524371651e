import type { Mutation, Precondition } from '@millring/state-access';
import type { Layout } from './finished-records.js';
import type { Job } from './job-table.js';
import { FINISHED, liveKey } from './records.js';

/** One transaction: the ends of jobs, progress of others, and records whose job has ended. */
export class CompletionBatch {
  readonly guards: Precondition[];
  readonly changes: Mutation[] = [];
  readonly jobs = new Set<Job>();
  readonly ends: Job[] = [];
  readonly progress: { job: Job; chunks: number[]; layout: Layout; count: number }[] = [];
  /** Records whose job has ended. */
  readonly removed: string[] = [];
  /** Records of live jobs whose tasks are told by others. */
  readonly replaced: { job: Job; recordNumber: number }[] = [];
  private levelKey: string | null = null;

  constructor(
    leaderGuard: Precondition,
    private readonly mostChanges: number,
    private readonly mostGuards: number,
  ) {
    this.guards = [leaderGuard];
  }

  hasRoom(changes: number): boolean {
    return (
      this.changes.length + changes <= this.mostChanges && this.guards.length < this.mostGuards - 1
    );
  }

  add(changes: Mutation[]): void {
    this.changes.push(...changes);
  }

  /** The transaction rests on the job's record as it was last read. */
  guardJob(job: Job): void {
    if (this.jobs.has(job)) return;
    this.jobs.add(job);
    this.guards.push({ key: liveKey(job.spec.id), version: job.version });
  }

  /** The transaction rests on the cluster's level. */
  guardLevel(guard: Precondition): void {
    if (this.levelKey !== null) return;
    this.levelKey = guard.key;
    this.guards.push(guard);
  }

  /** Whether a failed condition is about this job or about all of them. */
  concerns(failed: string[], job: Job): boolean {
    return failed.some((key) => key === liveKey(job.spec.id) || key === this.levelKey);
  }

  covers(job: Job, chunk: number): boolean {
    return this.progress.some((entry) => entry.job === job && entry.chunks.includes(chunk));
  }

  /** The size of the largest segment, or 0. */
  largestSegment(): number {
    const sizes = this.changes.map((change) =>
      'put' in change && typeof change.value === 'object' && change.put.startsWith(FINISHED)
        ? JSON.stringify(change.value).length
        : 0,
    );
    return Math.max(0, ...sizes);
  }

  removes(key: string): boolean {
    return this.changes.some((change) => 'remove' in change && change.remove === key);
  }
}
