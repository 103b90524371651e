/** Hard constraints on the machines of a job's tasks: types, zones, spot machines and free capacity. Pure functions. */
import type { Job } from '../jobs/job.js';
import type { JobSpec, MachineType } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import { ROUNDING_TOLERANCE, wholeTasks } from './resources.js';

/** Returns true if the zone may take another task of a job. */
export type ZoneFilter = (zone: string) => boolean;

/** The properties of a machine, or of all machines of a pool, that jobs may restrict. */
export interface MachinePlace {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether the machine meets the job's requirements, regardless of free capacity and of the job's other tasks. */
export function satisfiesConstraints(spec: JobSpec, machine: MachinePlace): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.type.name)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}

/** Number of the job's tasks that may be on machines, by zone. */
export function tasksPerZone(job: Job): Map<string, number> {
  const counts = new Map<string, number>();
  for (const attempts of job.attempts.values())
    for (const { machine } of attempts)
      counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
  return counts;
}

/** Number of further tasks of a job that may be placed in the zone beside its other tasks; `Infinity`: no limit. */
export function tasksAllowedInZone(
  spec: JobSpec,
  otherTasksPerZone: ReadonlyMap<string, number>,
  zone: string,
): number {
  if (spec.oneZone && otherTasksPerZone.size > 0)
    if (otherTasksPerZone.size > 1 || !otherTasksPerZone.has(zone)) return 0;
  if (!spec.spread) return Infinity;
  const maxPerZone = Math.ceil(spec.tasks / 2);
  return Math.max(0, maxPerZone - (otherTasksPerZone.get(zone) ?? 0));
}

/**
 * Filter of the zones that the job's other tasks leave open, counting all tasks that may still be on machines. Returns
 * null if any zone is open.
 */
export function zoneFilter(job: Job): ZoneFilter | null {
  if (!job.spec.spread && !job.spec.oneZone) return null;
  return zoneFilterFor(job.spec, tasksPerZone(job));
}

/** Like `zoneFilter`, for a task of the job that leaves its machine: the machine's zone may be open again. */
export function zoneFilterForMove(job: Job, { machine }: { machine: Machine }): ZoneFilter | null {
  if (!job.spec.spread && !job.spec.oneZone) return null;
  const others = tasksPerZone(job);
  const left = (others.get(machine.zone) ?? 0) - 1;
  if (left > 0) others.set(machine.zone, left);
  else others.delete(machine.zone);
  return zoneFilterFor(job.spec, others);
}

/** Like `zoneFilter`, over a count that the caller maintains; the filter reads the present count at each call. */
export function zoneFilterFor(
  spec: JobSpec,
  otherTasksPerZone: ReadonlyMap<string, number>,
): ZoneFilter | null {
  if (!spec.spread && !spec.oneZone) return null;
  return (zone) => tasksAllowedInZone(spec, otherTasksPerZone, zone) > 0;
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

/** Number of tasks that fit into these amounts together; memory is in GB. `Infinity` if a task takes nothing. */
export function taskSlots(spec: JobSpec, cpus: number, gpus: number, memoryGb: number): number {
  const slots = Math.min(
    wholeTasks(cpus, spec.cpus),
    wholeTasks(gpus, spec.gpus),
    wholeTasks(memoryGb, spec.memoryGb),
  );
  return Math.max(0, slots);
}

/** Whether a machine of this place could take a task of the job if it were empty, regardless of the job's other tasks. */
export function fitsEmptyMachine(spec: JobSpec, place: MachinePlace): boolean {
  const { cpus, gpus, memoryGb } = place.type;
  return satisfiesConstraints(spec, place) && taskSlots(spec, cpus, gpus, memoryGb) >= 1;
}
