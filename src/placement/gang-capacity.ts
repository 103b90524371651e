/** Computes how many tasks of a gang fit into the free capacity of one machine, a zone or all. Pure functions. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import { taskSlots } from './machine-constraints.js';

/** Number of the job's tasks that fit into the machine's free capacity, at most the number of tasks of the job. */
function slotsOn({ spec }: Job, machine: Machine): number {
  const slots = taskSlots(spec, machine.freeCpus(), machine.freeGpus(), machine.freeMemory());
  return Math.min(slots, spec.tasks);
}

/** The sum of `slotsOn` over the machines. */
export function totalTaskSlots(job: Job, machines: Machine[]): number {
  return machines.reduce((sum, machine) => sum + slotsOn(job, machine), 0);
}

interface ZoneCapacity {
  machines: Machine[];
  slots: number;
  /** The part of `slots` that is on machines that have the image and are not stragglers. */
  warmSlots: number;
}

/**
 * The machines grouped by zone. Zones in which the most tasks fit on machines that have the image and are not
 * stragglers come first, then those in which the most tasks fit at all.
 */
function zonesByCapacity(job: Job, machines: Machine[]): Machine[][] {
  const zones = new Map<string, ZoneCapacity>();
  for (const machine of machines) {
    const zone = zones.get(machine.zone) ?? { machines: [], slots: 0, warmSlots: 0 };
    const slots = slotsOn(job, machine);
    zone.machines.push(machine);
    zone.slots += slots;
    if (!machine.isStraggler && machine.images.has(job.spec.image)) zone.warmSlots += slots;
    zones.set(machine.zone, zone);
  }
  const warmTasks = (zone: ZoneCapacity): number => Math.min(zone.warmSlots, job.spec.tasks);
  return [...zones.values()]
    .sort((a, b) => warmTasks(b) - warmTasks(a) || b.slots - a.slots)
    .map((zone) => zone.machines);
}

/** Groups of machines of which one must take the whole gang: one per zone, or all machines if zones may be mixed. */
export function placementGroups(gang: Job, machines: Machine[]): Machine[][] {
  return gang.spec.oneZone ? zonesByCapacity(gang, machines) : [machines];
}

/** Whether there is free capacity for the whole gang, in one zone if the gang requires that. */
export function fitsGang(gang: Job, machines: Machine[]): boolean {
  return placementGroups(gang, machines).some(
    (group) => totalTaskSlots(gang, group) >= gang.spec.tasks,
  );
}
