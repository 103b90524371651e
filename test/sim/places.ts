/** Where tasks may be, by what their job asks for. */
import type { JobSubmission } from './wire/users.js';

/** Where a task is. */
export interface Place {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** A machine with what is free on it. */
export interface MachineCapacity extends Place {
  freeCpus: number;
}

/** A job that is to be spread has at most half of its tasks, rounded up, in one zone. */
const maxPerZone = (spec: JobSubmission): number => Math.ceil(spec.tasks / 2);

function countInZone(places: Place[], zone: string): number {
  return places.filter((place) => place.zone === zone).length;
}

/** Is there room for one more task, given where the job's other tasks are? */
export function fits(spec: JobSubmission, others: Place[], machine: MachineCapacity): boolean {
  if (spec.machineTypes && !spec.machineTypes.includes(machine.type)) return false;
  if ((spec.zone && spec.zone !== machine.zone) || (machine.spot && !spec.spot)) return false;
  if (spec.oneZone && others.some((other) => other.zone !== machine.zone)) return false;
  if (spec.spread && countInZone(others, machine.zone) + 1 > maxPerZone(spec)) return false;
  return machine.freeCpus >= spec.cpus;
}

/** In what a place differs from what the job asks for, given where its other tasks are. */
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
