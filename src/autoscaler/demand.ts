/** What the live jobs ask of the fleet: pure. */
import type { Job } from '../jobs/job-table.js';
import type { JobSpec, MachineType } from '../wire/model.js';
import type { Demand } from './scaling-plan.js';

/** Machines take up to so much longer than usual until they are up. */
const BOOT_TIME_FACTOR = 1.3;

function fitsType(spec: JobSpec, type: MachineType): boolean {
  const allowed = spec.types === null || spec.types.includes(type.name);
  return (
    allowed && spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb
  );
}

export function demandOf(
  jobs: Iterable<Job>,
  wantedCpus: (job: Job) => number,
  arriving: number,
  types: MachineType[],
): Demand {
  const live = [...jobs].filter((job) => !job.jobCancelled);
  let ordinary = 0;
  let any = 0;
  for (const job of live) {
    if (job.spec.spot) any += wantedCpus(job);
    else ordinary += wantedCpus(job);
  }
  return {
    ordinary,
    any,
    usable: (type) => live.some(({ spec }) => fitsType(spec, type)),
    arriving,
    bootS: BOOT_TIME_FACTOR * Math.max(...types.map((t) => t.bootS)),
    biggestCpus: Math.max(...types.map((t) => t.cpus)),
  };
}
