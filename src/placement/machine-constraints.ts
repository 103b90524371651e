/** Hard constraints on the machines of a job's tasks: types, zones, spot machines and free capacity. Pure functions. */
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import { ROUNDING_TOLERANCE } from './resources.js';

/** Returns true if the zone may take another task of a job. */
export type ZoneFilter = (zone: string) => boolean;

/** Whether the machine meets the job's requirements, regardless of free capacity and of the job's other tasks. */
export function satisfiesConstraints(spec: JobSpec, machine: Machine): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.type.name)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}

/**
 * Filter of the zones that the job's other tasks leave open, counting all tasks that may still be on machines. Returns
 * null if any zone is open.
 */
export function zoneFilter(job: Job): ZoneFilter | null {
  if (!job.spec.spread && !job.spec.oneZone) return null;
  const tasksPerZone = new Map<string, number>();
  for (const attempts of job.attempts.values())
    for (const { machine } of attempts)
      tasksPerZone.set(machine.zone, (tasksPerZone.get(machine.zone) ?? 0) + 1);
  return zoneFilterFor(job.spec, tasksPerZone);
}

/** Like `zoneFilter`, over a count that the caller maintains; the filter reads the present count at each call. */
export function zoneFilterFor(
  spec: JobSpec,
  tasksPerZone: ReadonlyMap<string, number>,
): ZoneFilter | null {
  if (!spec.spread && !spec.oneZone) return null;
  const maxPerZone = Math.ceil(spec.tasks / 2);
  return (zone) => {
    if (spec.oneZone && tasksPerZone.size > 0)
      if (tasksPerZone.size > 1 || !tasksPerZone.has(zone)) return false;
    return !spec.spread || (tasksPerZone.get(zone) ?? 0) + 1 <= maxPerZone;
  };
}

/** Key of the zones closed to the job: jobs of the same shape with the same key may use the same zones. */
export function closedZonesKey(job: Job, zones: Iterable<string>): string {
  const isOpen = zoneFilter(job);
  return isOpen ? [...zones].filter((zone) => !isOpen(zone)).join('+') : '';
}

/** Whether the machine has free capacity for one task besides the CPUs that are promised to other tasks. */
export function hasCapacity(spec: JobSpec, machine: Machine, promisedCpus = 0): boolean {
  return fits(spec, machine.freeCpus() - promisedCpus, machine.freeGpus(), machine.freeMemory());
}

/** Whether one task fits into these amounts; memory is in GB. */
export function fits(spec: JobSpec, cpus: number, gpus: number, memoryGb: number): boolean {
  return (
    cpus + ROUNDING_TOLERANCE >= spec.cpus &&
    gpus + ROUNDING_TOLERANCE >= spec.gpus &&
    memoryGb + ROUNDING_TOLERANCE >= spec.memoryGb
  );
}
