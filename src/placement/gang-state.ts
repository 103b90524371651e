/** The state of a gang, whose tasks run at the same time or not at all. Pure functions over one job's attempts. */
import type { Job } from '../jobs/job.js';
import type { TaskAttempt } from '../workers/task-attempt.js';

/**
 * - absent: none of its tasks can be on any machine.
 * - starting: tasks with the same attempt number fetch their image or wait for each other; none has begun to run.
 * - running: at least one task runs, so all of them have begun to run.
 * - stopping: a stop was requested, or tasks with different attempt numbers remain; nothing starts until all have
 *   left their machines.
 */
export type GangState = 'absent' | 'starting' | 'running' | 'stopping';

/** All attempts of the job's tasks that may be on machines. */
export function attemptsOf(job: Job): TaskAttempt[] {
  return [...job.attempts.values()].flat();
}

/** Derives the gang's state from its attempts. */
export function gangState(job: Job): GangState {
  const attempts = attemptsOf(job);
  if (attempts.length === 0) return 'absent';
  const { attemptNumber: attemptNumber } = attempts[0];
  const isMixed =
    attempts.length > job.attempts.size || attempts.some((a) => a.attemptNumber !== attemptNumber);
  const isStopped = attempts.some((a) => a.stop !== null && !a.stop.replaced);
  if (isMixed || isStopped || job.gangAttemptAborted) return 'stopping';
  const hasBegun = attempts.some((a) => a.state === 'running' || a.state === 'saving');
  return hasBegun ? 'running' : 'starting';
}

/** Attempt number by which workers recognize tasks of the same start of the gang; null if no task is on a machine. */
export function gangAttemptNumber(job: Job): number | null {
  return attemptsOf(job)[0]?.attemptNumber ?? null;
}

/** Numbers of the tasks that have no attempt on any machine. */
export function missingTasks(job: Job): number[] {
  const missing: number[] = [];
  for (let taskNumber = 0; taskNumber < job.spec.tasks; taskNumber++)
    if (!job.attempts.has(taskNumber)) missing.push(taskNumber);
  return missing;
}

/** Milliseconds until the first waiting task gives up; Infinity if none waits. */
export function remainingWaitMs(job: Job, gangWaitMs: number, now: number): number {
  const waiting = attemptsOf(job).filter((attempt) => attempt.state === 'waiting');
  return Math.min(Infinity, ...waiting.map((a) => a.waitingSince + gangWaitMs - now));
}
