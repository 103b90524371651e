/** Checks where tasks may run against the requirements of their job. */
import type { JobSubmission } from './wire/users.js';

/** The machine that a task is on. */
export interface Place {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** A machine and its free capacity. */
export interface MachineCapacity extends Place {
  freeCpus: number;
  freeGpus: number;
  freeMemoryGb: number;
}

/** Maximum rounding error of a sum of amounts. */
const ROUNDING = 1e-6;

/** Maximum number of tasks of a spread job in one zone: half of them, rounded up. */
const maxPerZone = (spec: JobSubmission): number => Math.ceil(spec.tasks / 2);

function countInZone(places: Place[], zone: string): number {
  return places.filter((place) => place.zone === zone).length;
}

/** Whether the machine can take one more task of the job, given the places of the job's other tasks. */
export function fits(spec: JobSubmission, others: Place[], machine: MachineCapacity): boolean {
  if (spec.machineTypes && !spec.machineTypes.includes(machine.type)) return false;
  if ((spec.zone && spec.zone !== machine.zone) || (machine.spot && !spec.spot)) return false;
  if (spec.oneZone && others.some((other) => other.zone !== machine.zone)) return false;
  if (spec.spread && countInZone(others, machine.zone) + 1 > maxPerZone(spec)) return false;
  return taskSlots(spec, machine) >= 1;
}

/** Number of the job's tasks that fit into the machine's free capacity together. */
export function taskSlots(spec: JobSubmission, machine: MachineCapacity): number {
  const slots = (free: number, perTask: number): number =>
    perTask > 0 ? Math.floor(free / perTask + ROUNDING) : Infinity;
  return Math.min(
    slots(machine.freeCpus, spec.cpus),
    slots(machine.freeGpus, spec.gpus),
    slots(machine.freeMemoryGb, spec.memoryGb),
  );
}

/** Returns how a place violates the job's requirements, given the places of its other tasks; empty if it doesn't. */
export function mismatches(spec: JobSubmission, place: Place, others: Place[]): string[] {
  const found: string[] = [];
  if (spec.machineTypes && !spec.machineTypes.includes(place.type))
    found.push(` on type ${place.type}`);
  if (spec.zone && spec.zone !== place.zone) found.push(` in zone ${place.zone}`);
  if (place.spot && !spec.spot) found.push(' on a spot machine');
  if (spec.oneZone && others.some((other) => other.zone !== place.zone))
    found.push(' not in one zone');
  const same = countInZone(others, place.zone) + 1;
  if (spec.spread && same > maxPerZone(spec)) found.push(`: ${same} in ${place.zone}`);
  return found;
}

/** Subtracts what a task of the job uses from the machine's free capacity. */
export function subtractTask(capacity: MachineCapacity, spec: JobSubmission): void {
  capacity.freeCpus -= spec.cpus;
  capacity.freeGpus -= spec.gpus;
  capacity.freeMemoryGb -= spec.memoryGb;
}
