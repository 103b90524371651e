/** Tracks the room that machines have for further tasks while the autoscaler assigns waiting tasks to them. */
import {
  type MachinePlace,
  satisfiesConstraints,
  taskSlots,
  tasksAllowedInZone,
} from '../placement/machine-constraints.js';
import type { JobSpec } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';

/** Room on one machine, which is null if it is yet to be requested. */
export interface Room {
  readonly place: MachinePlace;
  readonly machine: Machine | null;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** The free capacity of a machine that is up or booting. */
export function roomOn(machine: Machine): Room {
  return {
    place: machine,
    machine,
    cpus: machine.freeCpus(),
    gpus: machine.freeGpus(),
    memoryGb: machine.freeMemory(),
  };
}

/** The capacity of an empty machine, such as one that is requested from a pool. */
export function emptyRoom(place: MachinePlace): Room {
  const { cpus, gpus, memoryGb } = place.type;
  return { place, machine: null, cpus, gpus, memoryGb };
}

/** Number of the job's tasks that fit there, at most `tasks`. Its other tasks are not considered. */
export function slotsIn(spec: JobSpec, room: Room, tasks: number): number {
  if (!satisfiesConstraints(spec, room.place)) return 0;
  return Math.min(tasks, taskSlots(spec, room.cpus, room.gpus, room.memoryGb));
}

/** Tasks of one job, or of several like ones, that are being assigned to rooms. */
export class TaskAssignment {
  /** Number of tasks that have no room yet. */
  left: number;
  /** Number of tasks that are on machines or assigned, by zone. */
  readonly tasksPerZone: Map<string, number>;
  /** The rooms that were given tasks. */
  readonly used: Room[] = [];

  constructor(
    readonly spec: JobSpec,
    tasks: number,
    tasksPerZone: ReadonlyMap<string, number>,
  ) {
    this.left = tasks;
    this.tasksPerZone = new Map(tasksPerZone);
  }

  /** Number of further tasks that the job's other tasks allow in the zone. */
  allowedIn(zone: string): number {
    return Math.min(this.left, tasksAllowedInZone(this.spec, this.tasksPerZone, zone));
  }

  /** Assigns as many of the remaining tasks as fit. */
  fill(room: Room): void {
    const { zone } = room.place;
    const tasks = slotsIn(this.spec, room, this.allowedIn(zone));
    if (tasks === 0) return;
    room.cpus -= tasks * this.spec.cpus;
    room.gpus -= tasks * this.spec.gpus;
    room.memoryGb -= tasks * this.spec.memoryGb;
    this.left -= tasks;
    this.tasksPerZone.set(zone, (this.tasksPerZone.get(zone) ?? 0) + tasks);
    this.used.push(room);
  }
}
