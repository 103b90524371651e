/** A pure function that computes the resources that the jobs need. */
import type { Job } from '../jobs/job.js';
import { fitsEmptyMachine } from '../placement/machine-constraints.js';
import type { MachineType } from '../wire/model.js';
import type { Demand } from './scaling-plan.js';

/** Booting may take this many times the usual boot time of the machine type. */
const BOOT_TIME_FACTOR = 1.3;

/** What the placement knows about the demand. */
export interface DemandSource {
  /** CPUs that a job's tasks need, waiting or running. */
  wantedCpus(job: Job): number;
  /** Recent rate of CPUs requested by services, in CPUs per second. */
  serviceCpusPerSecond(): number;
}

/** Sums up the resources that all jobs that are not cancelled need. `types` is the catalog; it must not be empty. */
export function demandOf(jobs: Iterable<Job>, source: DemandSource, types: MachineType[]): Demand {
  const live = [...jobs].filter((job) => !job.jobCancelled);
  let ordinaryCpus = 0;
  let spotEligibleCpus = 0;
  for (const job of live) {
    if (job.spec.spot) spotEligibleCpus += source.wantedCpus(job);
    else ordinaryCpus += source.wantedCpus(job);
  }
  return {
    ordinaryCpus,
    spotEligibleCpus,
    hasWork: live.some((job) => job.attempts.size + job.pending() > 0),
    isUsable: usableTypesAndZones(live, types),
    arrivingCpusPerS: source.serviceCpusPerSecond(),
    bootS: BOOT_TIME_FACTOR * Math.max(...types.map((type) => type.bootS)),
    largestMachineCpus: Math.max(...types.map((type) => type.cpus)),
  };
}

/** Returns a function that tells whether a task of some job may be in the zone on a machine of the type. */
function usableTypesAndZones(jobs: readonly Job[], types: MachineType[]): Demand['isUsable'] {
  const zonesByType = new Map<string, Set<string>>();
  for (const type of types) {
    const usable = type.zones.filter((zone) =>
      jobs.some(({ spec }) => fitsEmptyMachine(spec, { type, zone, spot: false })),
    );
    zonesByType.set(type.name, new Set(usable));
  }
  return (type, zone) => zonesByType.get(type.name)?.has(zone) === true;
}
