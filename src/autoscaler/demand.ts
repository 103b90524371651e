/** A pure function that computes the resources that the jobs need. */
import type { Job } from '../jobs/job.js';
import type { JobSpec, MachineType } from '../wire/model.js';
import type { Demand } from './scaling-plan.js';

/** Booting may take this many times the usual boot time of the machine type. */
const BOOT_TIME_FACTOR = 1.3;

function fitsType(spec: JobSpec, type: MachineType): boolean {
  const allowed = spec.types === null || spec.types.includes(type.name);
  return (
    allowed && spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb
  );
}

/**
 * Sums up the resources that all jobs that are not cancelled need.
 *
 * @param wantedCpus CPUs that a job's tasks need, waiting or running.
 * @param arrivingCpusPerS Recent rate of CPUs requested by services, in CPUs per second.
 * @param types The catalog; must not be empty.
 */
export function demandOf(
  jobs: Iterable<Job>,
  wantedCpus: (job: Job) => number,
  arrivingCpusPerS: number,
  types: MachineType[],
): Demand {
  const live = [...jobs].filter((job) => !job.jobCancelled);
  let ordinaryCpus = 0;
  let spotEligibleCpus = 0;
  for (const job of live) {
    if (job.spec.spot) spotEligibleCpus += wantedCpus(job);
    else ordinaryCpus += wantedCpus(job);
  }
  return {
    ordinaryCpus,
    spotEligibleCpus,
    hasWork: live.some((job) => job.attempts.size + job.pending() > 0),
    isUsable: (type) => live.some(({ spec }) => fitsType(spec, type)),
    arrivingCpusPerS,
    bootS: BOOT_TIME_FACTOR * Math.max(...types.map((type) => type.bootS)),
    largestMachineCpus: Math.max(...types.map((type) => type.cpus)),
  };
}
