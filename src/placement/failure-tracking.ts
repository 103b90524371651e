/** Tells jobs that fail by themselves from machines that fail the tasks of several jobs. */
import type { Job } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

/** A job that failed on so many machines is at fault itself, and condemns none of them. */
const MACHINES_BEFORE_JOB_IS_AT_FAULT = 3;
/** A machine that failed tasks of so many jobs is faulty. */
const JOBS_BEFORE_MACHINE_IS_FAULTY = 2;
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 20_000;
const MAX_DOUBLINGS = 8;
/** A job that has started nothing for so long may use the machines again on which it failed. */
const FAILED_MACHINES_MS = 30_000;

/** Notes a failure; true if the machine has turned out to be faulty. */
export function recordFailure(
  job: Job,
  machine: Machine,
  table: MachineTable,
  now: number,
): boolean {
  job.failures++;
  job.failedOn.add(machine.index);
  machine.failedJobs.add(job.index);
  if (job.failedOn.size >= MACHINES_BEFORE_JOB_IS_AT_FAULT) {
    for (const m of table.all()) m.failedJobs.delete(job.index);
    job.failedOn.clear();
  }
  const delay = FIRST_RETRY_MS * 2 ** Math.min(job.failures, MAX_DOUBLINGS);
  job.notBefore = now + Math.min(MAX_RETRY_MS, delay);
  if (machine.failedJobs.size < JOBS_BEFORE_MACHINE_IS_FAULTY || machine.drainReason) return false;
  machine.drainReason = 'faulty';
  return true;
}

/** A task of the job succeeded there. */
export function recordSuccess(job: Job, machine: Machine): void {
  machine.failedJobs.delete(job.index);
  job.failedOn.clear();
  job.failures = 0;
}

/** With no other machine left the job must not wait for ever beside those on which it failed once. */
export function expireFailedMachines(job: Job, now: number): void {
  if (job.failedOn.size > 0 && now - job.startedAt > FAILED_MACHINES_MS) job.failedOn.clear();
}
