/** Adds live jobs to the leader's tables and removes them once they are in a terminal state. */
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import { readLive } from '../jobs/records.js';
import type { Placement } from '../placement/placement.js';
import type { Clock } from '../runtime.js';
import type { CycleScheduler } from './cycle-scheduler.js';
import type { TermLifecycle } from './term-lifecycle.js';

/** The tables to which jobs are added, and the components that are notified. */
export interface JobIntakeDependencies {
  clock: Clock;
  lifecycle: TermLifecycle;
  jobs: JobTable;
  placement: Pick<Placement, 'jobAdded' | 'jobEnded' | 'jobCancelled'>;
  cycles: CycleScheduler;
  /** Whether the job is known to be cancelled, even if its record did not state it at the last read. */
  isCancelled(id: string): boolean;
}

/** Keeps the job table and the placement consistent with the live job records. */
export class JobIntake {
  constructor(private readonly deps: JobIntakeDependencies) {}

  /** Applies a job's live record that is new or has changed. Older versions and unreadable records are ignored. */
  upsertJob(id: string, value: unknown, version: number): void {
    const { jobs, placement } = this.deps;
    const record = readLive(value);
    if (!record || record.spec.id !== id) return;
    const known = jobs.get(id);
    if (known && known.version >= version) return;
    const createdInThisTerm = version > this.deps.lifecycle.epoch && !record.cancelled;
    const job =
      known ??
      jobs.add(record.spec, version, record.acceptedAt, createdInThisTerm, this.deps.clock.now());
    job.version = version;
    if (!known) placement.jobAdded(job);
    if (record.cancelled || this.deps.isCancelled(id)) this.markCancelled(job);
  }

  /**
   * Handles the deletion of a live record. Only the leader deletes live records, once the job is in a terminal state:
   * the deletion was a write of this node whose response was lost.
   */
  liveRecordRemoved(job: Job): void {
    job.endState = 'ended';
    this.forgetJob(job);
  }

  /**
   * Removes a job that is in a terminal state. Called both when this node's own write succeeds and by the watch; the
   * second call changes nothing.
   */
  forgetJob(job: Job): void {
    const { jobs, placement, cycles } = this.deps;
    if (jobs.get(job.spec.id) !== job) return;
    jobs.remove(job);
    placement.jobEnded(job);
    cycles.request();
  }

  /** Marks the job as cancelled, when this node learned it from another source than the watch, which may be late. */
  recordCancellation(id: string): void {
    const job = this.deps.jobs.get(id);
    if (job && this.deps.lifecycle.isServing()) this.markCancelled(job);
  }

  private markCancelled(job: Job): void {
    if (job.jobCancelled) return;
    job.jobCancelled = true;
    this.deps.placement.jobCancelled(job);
    this.deps.cycles.request();
  }
}
