/** A job as its user and the machines observe it, from outside the service. */
import type { JobSubmission } from './wire/users.js';

/** `waits`: a machine has capacity. `waits_for_machine`: a machine has, or the cloud would rent one. */
export type WaitingInvariant = 'waits' | 'waits_for_machine';

/** A user's requests about a job, the responses, and what the machines executed. Times are in virtual milliseconds. */
export interface ObservedJob {
  spec: JobSubmission;
  /** Whether a response has shown that the job was accepted. */
  reportedAccepted: boolean;
  /** Whether the job was submitted; always true, since only submitted jobs are recorded. */
  submitted: boolean;
  cancelRequested: boolean;
  /** Time of the first response that reported the job as cancelled. */
  reportedCancelledAt: number | null;
  /** Time of the first response that reported the job as done. */
  reportedDoneAt: number | null;
  /** Numbers of the tasks that have finished. */
  finishedTasks: Set<number>;
  submittedAt: number;
  /** Time of the last response that reported the job's state, or of the submission if there was none. */
  lastResponseAt: number;
  /** Time at which the first of its tasks started on a machine; null if none has started. */
  firstStartAt: number | null;
  /**
   * Time since when every check has found a waiting task although there was capacity, with no start of any of the job's
   * tasks in between; missing if the last check found none.
   */
  waitingSince: Map<WaitingInvariant, number>;
  /** For a gang: the progress that is saved in a checkpoint, in milliseconds. */
  progressMs: number;
}

/** Returns the initial state of a job, to be recorded when its user sends the first submission. */
export function observedJob(spec: JobSubmission, now: number): ObservedJob {
  return {
    spec,
    reportedAccepted: false,
    submitted: true,
    cancelRequested: false,
    reportedCancelledAt: null,
    reportedDoneAt: null,
    finishedTasks: new Set(),
    submittedAt: now,
    lastResponseAt: now,
    firstStartAt: null,
    waitingSince: new Map(),
    progressMs: 0,
  };
}
