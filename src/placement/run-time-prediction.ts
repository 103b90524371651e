/** Predicts how long tasks run, from the job's own finished tasks and from its class. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import { RunTimeEstimator } from './run-time-estimator.js';
import { RunTimeSamples } from './run-time-samples.js';

/** Predicts run times. All results are in milliseconds. */
export class RunTimePrediction {
  readonly samples = new RunTimeSamples();
  private readonly byClass = new RunTimeEstimator();

  /** Records the run time of a finished task by job class, and for an array also by job. Callers leave out services. */
  recordRun(job: Job, machine: Machine, runTimeMs: number): void {
    const { cls: jobClass, estimateS, kind } = job.spec;
    this.byClass.record(jobClass, runTimeMs, estimateS * 1000);
    // A gang runs at the speed of its slowest machine, so its run time says nothing about the others.
    if (kind === 'array') this.samples.record(job.index, machine.index, runTimeMs);
  }

  /** Expected run time of a task of the job; 0 if nothing is known. */
  expectedMs(job: Job): number {
    const { cls: jobClass, estimateS } = job.spec;
    return this.samples.medianMs(job.index) ?? this.byClass.expectedMs(jobClass, estimateS * 1000);
  }

  /**
   * Median run time of the job's finished tasks, or of its class for a gang, whose tasks run as one. Null if there are
   * too few samples.
   */
  usualMs(job: Job): number | null {
    return job.spec.kind === 'gang'
      ? this.byClass.medianMs(job.spec.cls)
      : this.samples.medianMs(job.index);
  }

  /** Remaining part of the usual run time of a running task; null if it is unknown or the task does not run. */
  remainingMs(attempt: TaskAttempt, job: Job, now: number): number | null {
    const usual = this.usualMs(job) ?? this.byClass.medianMs(job.spec.cls);
    if (usual === null || attempt.state !== 'running' || attempt.runningSince === 0) return null;
    return Math.max(0, usual - (now - attempt.runningSince));
  }
}
