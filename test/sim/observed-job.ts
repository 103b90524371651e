/** A job as its user and the machines observe it, from outside the service. */
import type { JobSubmission } from './wire/users.js';

/** A user's requests about a job, the responses, and what the machines executed. Times are in virtual milliseconds. */
export interface ObservedJob {
  spec: JobSubmission;
  /** Whether a response has shown that the job was accepted. */
  reportedAccepted: boolean;
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
  /** Time of the first start of any of its tasks. */
  firstStartAt: number | null;
  /** Time since which, at each check, a task was waiting and none started while a machine had capacity for it. */
  waitingSince: number | null;
  /** For a gang: the progress that is saved in a checkpoint, in milliseconds. */
  progressMs: number;
}

/** Returns the initial state of a job that is about to be submitted. */
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
    waitingSince: null,
    progressMs: 0,
  };
}
