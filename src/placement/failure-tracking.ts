/** Tells jobs that fail by themselves from machines that fail the tasks of several jobs. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

/** A job that failed on so many machines is at fault itself, and condemns none of them. */
const MACHINES_BEFORE_JOB_IS_AT_FAULT = 3;
/** A machine that failed tasks of so many jobs is faulty. */
const JOBS_BEFORE_MACHINE_IS_FAULTY = 2;
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 20_000;
const MAX_BACKOFF_DOUBLINGS = 8;
/** A job that has started nothing for so long may use the machines again on which it failed. */
const FAILED_MACHINES_TTL_MS = 30_000;

/** Counts a failed task, and delays the job's next start. True if the machine has turned out to be faulty. */
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
  job.notBefore = now + Math.min(MAX_BACKOFF_MS, backoffMs);
  if (machine.failedJobs.size < JOBS_BEFORE_MACHINE_IS_FAULTY || machine.drainReason) return false;
  machine.drainReason = 'faulty';
  return true;
}

function clearMachineFailures(job: Job, table: MachineTable): void {
  for (const machine of table.all()) machine.failedJobs.delete(job.index);
  job.failedOn.clear();
}

/** A task of the job succeeded on the machine: neither is at fault. */
export function recordSuccess(job: Job, machine: Machine): void {
  machine.failedJobs.delete(job.index);
  job.failedOn.clear();
  job.failures = 0;
}

/** With no other machine left the job must not wait for ever beside those on which it failed once. */
export function expireFailedMachines(job: Job, now: number): void {
  if (job.failedOn.size > 0 && now - job.startedAt > FAILED_MACHINES_TTL_MS) job.failedOn.clear();
}
