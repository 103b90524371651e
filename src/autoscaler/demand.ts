/** What the jobs need of the cluster's machines: a pure function. */
import type { Job } from '../jobs/job.js';
import type { JobSpec, MachineType } from '../wire/model.js';
import type { Demand } from './scaling-plan.js';

/** Machines may take this much longer than their type's usual boot time. */
const BOOT_TIME_FACTOR = 1.3;

function fitsType(spec: JobSpec, type: MachineType): boolean {
  const allowed = spec.types === null || spec.types.includes(type.name);
  return (
    allowed && spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb
  );
}

/**
 * Sums up what all jobs that are not cancelled need.
 *
 * @param wantedCpus CPUs that a job's tasks need, waiting or running.
 * @param arrivingCpusPerS CPUs a second that services have asked for lately.
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
    isUsable: (type) => live.some(({ spec }) => fitsType(spec, type)),
    arrivingCpusPerS,
    bootS: BOOT_TIME_FACTOR * Math.max(...types.map((type) => type.bootS)),
    largestMachineCpus: Math.max(...types.map((type) => type.cpus)),
  };
}
