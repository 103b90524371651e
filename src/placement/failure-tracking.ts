/** Distinguishes jobs that fail by themselves from machines on which tasks of several jobs fail. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

/** A job that failed on this many machines is at fault itself; its failures are not counted against the machines. */
const MACHINES_BEFORE_JOB_IS_AT_FAULT = 3;
/** A machine on which tasks of this many jobs failed is faulty. */
const JOBS_BEFORE_MACHINE_IS_FAULTY = 2;
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 20_000;
const MAX_BACKOFF_DOUBLINGS = 8;
/** A job that has started nothing for this long may again use the machines on which it failed. */
const FAILED_MACHINES_TTL_MS = 30_000;

/** Counts a failed task, and delays the job's next start. Returns true if the machine is newly found to be faulty. */
export function recordFailure(
  job: Job,
  machine: Machine,
  table: MachineTable,
  now: number,
): boolean {
  job.failures++;
  job.failedOn.add(machine.index);
  machine.failedJobs.add(job.index);
  if (job.failedOn.size >= MACHINES_BEFORE_JOB_IS_AT_FAULT) clearMachineFailures(job, table);
  const backoffMs = INITIAL_BACKOFF_MS * 2 ** Math.min(job.failures, MAX_BACKOFF_DOUBLINGS);
  job.nextStartAt = now + Math.min(MAX_BACKOFF_MS, backoffMs);
  if (machine.failedJobs.size < JOBS_BEFORE_MACHINE_IS_FAULTY || machine.drainReason) return false;
  machine.drainReason = 'faulty';
  return true;
}

function clearMachineFailures(job: Job, table: MachineTable): void {
  for (const machine of table.all()) machine.failedJobs.delete(job.index);
  job.failedOn.clear();
}

/** Clears recorded failures after a task of the job succeeded on the machine: neither of the two is at fault. */
export function recordSuccess(job: Job, machine: Machine): void {
  machine.failedJobs.delete(job.index);
  job.failedOn.clear();
  job.failures = 0;
}

/**
 * Allows again the machines on which the job failed, once it has started nothing for `FAILED_MACHINES_TTL_MS`: if no
 * other machine is left, the job must not wait forever.
 */
export function expireFailedMachines(job: Job, now: number): void {
  if (job.failedOn.size > 0 && now - job.lastStartAt > FAILED_MACHINES_TTL_MS) job.failedOn.clear();
}
