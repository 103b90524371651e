/** A job as its users and machines see it, from outside the service. */
import type { JobSubmission } from './wire/users.js';

/** What users asked for and were told of a job, and what machines did of it. Times are in virtual milliseconds. */
export interface ObservedJob {
  spec: JobSubmission;
  reportedAccepted: boolean;
  submitted: boolean;
  cancelRequested: boolean;
  reportedCancelledAt: number | null;
  reportedDoneAt: number | null;
  finishedTasks: Set<number>;
  submittedAt: number;
  /** When a question about it was last answered, or it was accepted. */
  lastResponseAt: number;
  firstStartAt: number | null;
  /** Since when a task of it waits, and none starts, although a machine that fits has room, as last looked at. */
  waitingSince: number | null;
  /** Of a gang: progress that is safe, in milliseconds. */
  progressMs: number;
}

/** A job that is about to be submitted. */
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
