/**
 * Detects stragglers, machines that run tasks slowly. The paper (section 5.5, Listing 2) leaves detection open. Workers
 * report no CPU use, so a machine is flagged when tasks of several jobs run longer on it than the same jobs elsewhere.
 */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { RunTimeSamples } from './run-time-samples.js';

/** Indexes of machines on which at least `minJobs` jobs ran longer than elsewhere, and more did so than did not. */
export function detectStragglers(
  samples: RunTimeSamples,
  ratio: number,
  minJobs: number,
): Set<number> {
  const stragglers = new Set<number>();
  for (const [machine, { slower, normal }] of samples.compareMachines(ratio))
    if (slower >= minJobs && slower > normal) stragglers.add(machine);
  return stragglers;
}

/** Whether the task is running and in the first half of its usual run time. */
function isInFirstHalf(attempt: TaskAttempt, usualMs: number, now: number): boolean {
  const { state, runningSince } = attempt;
  return state === 'running' && runningSince !== 0 && now - runningSince < usualMs / 2;
}

/** Whether all tasks of the gang are in their first half: a gang is moved as a whole or not at all. */
function isWholeGangInFirstHalf(gang: Job, usualMs: number, now: number): boolean {
  for (const attempts of gang.attempts.values())
    for (const attempt of attempts) if (!isInFirstHalf(attempt, usualMs, now)) return false;
  return true;
}

function isWorthMoving(
  attempt: TaskAttempt,
  job: Job,
  usualMs: (job: Job) => number | null,
  now: number,
): boolean {
  if (job.spec.kind === 'service' || attempt.stop || job.moved.has(attempt.taskNumber))
    return false;
  if (attempt.state !== 'running' || attempt.runningSince === 0) return false;
  const usual = usualMs(job);
  if (usual === null || !isInFirstHalf(attempt, usual, now)) return false;
  return job.spec.kind !== 'gang' || isWholeGangInFirstHalf(job, usual, now);
}

/** The youngest task of a straggler that is worth moving: in its first half, and not moved before. Null if none is. */
export function selectTaskToMove(
  machine: Machine,
  usualMs: (job: Job) => number | null,
  now: number,
): TaskAttempt | null {
  let youngest: TaskAttempt | null = null;
  for (const attempt of machine.attempts.values()) {
    if (!attempt.job || !isWorthMoving(attempt, attempt.job, usualMs, now)) continue;
    if (!youngest || attempt.runningSince > youngest.runningSince) youngest = attempt;
  }
  return youngest;
}
