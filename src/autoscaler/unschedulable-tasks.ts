/**
 * Provides machines for waiting tasks that no machine has room for. The scaling plan compares sums of CPUs, which say
 * nothing about tasks that may use only some of the machines (by type, zone, kind or the places of the job's other
 * tasks), or that lack memory, GPUs or a large enough piece of one machine.
 */
import { MAX_MACHINES_PER_REQUEST } from '@millring/duties';
import {
  type MachinePlace,
  fitsEmptyMachine,
  tasksAllowedInZone,
} from '../placement/machine-constraints.js';
import { ROUNDING_TOLERANCE } from '../placement/resources.js';
import type { WaitingTasks } from '../placement/waiting-tasks.js';
import type { JobSpec } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import { type Room, TaskAssignment, emptyRoom, roomOn, slotsIn } from './room.js';
import { type Pool, type PoolPreference, comparePools, machinePrice } from './scaling-plan.js';

/**
 * How long tasks wait for tasks like them to start on existing machines before more are requested: until then, other
 * tasks may end, and the scaling plan may already provide enough.
 */
const FULL_MACHINES_WAIT_MS = 10_000;

/** Input of `provideForWaiting`. */
export interface UnschedulableTasksInput {
  waiting: readonly WaitingTasks[];
  /** The machines that are up or booting and not about to be removed, including surplus ones. */
  machines: readonly Machine[];
  /** Number of machines that are being requested, by pool. */
  requested: ReadonlyMap<Pool, number>;
  /** The pools from which machines may be requested now. */
  pools: readonly Pool[];
  minimizeCost: boolean;
  /** Current time by the monotonic clock, in milliseconds. */
  now: number;
}

/** What waiting tasks need. */
export interface ProvisionForWaiting {
  /** Number of machines to request from each pool besides those being requested. */
  readonly requests: ReadonlyMap<Pool, number>;
  /** Machines whose room waiting tasks need. */
  readonly neededMachines: ReadonlySet<Machine>;
  /** Number of tasks that no machine has room for, by the id of one of their jobs. For the log. */
  readonly unschedulable: ReadonlyMap<string, number>;
}

/**
 * Assigns waiting tasks to the room on machines, and plans requests for those that remain. Most groups of tasks are not
 * examined: only those that have waited for `FULL_MACHINES_WAIT_MS`, or that no machine could take even if it were
 * empty. Surplus machines are used only after all others.
 */
export function provideForWaiting(input: UnschedulableTasksInput): ProvisionForWaiting {
  const due = dueGroups(input);
  if (due.length === 0)
    return { requests: new Map(), neededMachines: new Set(), unschedulable: new Map() };
  return new Provisioning(input, due).run();
}

function dueGroups({ waiting, machines, requested, now }: UnschedulableTasksInput): WaitingTasks[] {
  if (waiting.length === 0) return [];
  const machinesByPlace = new Map<string, MachinePlace>();
  for (const machine of machines)
    if (!machine.drainReason)
      machinesByPlace.set(`${machine.type.name}|${machine.zone}|${machine.spot}`, machine);
  const places = [...machinesByPlace.values(), ...requested.keys()];
  const hasMachine = ({ spec, tasksPerZone }: WaitingTasks): boolean =>
    places.some(
      (place) =>
        fitsEmptyMachine(spec, place) && tasksAllowedInZone(spec, tasksPerZone, place.zone) > 0,
    );
  return waiting
    .filter((group) => now - group.waitingSince >= FULL_MACHINES_WAIT_MS || !hasMachine(group))
    .sort((a, b) => a.spec.priority - b.spec.priority || a.waitingSince - b.waitingSince);
}

/** One pass over the groups; the rooms are shared, so that several groups can use the same new machine. */
class Provisioning {
  private readonly rooms: Room[];
  private readonly requests = new Map<Pool, number>();
  private readonly neededMachines = new Set<Machine>();
  private readonly unschedulable = new Map<string, number>();

  constructor(
    private readonly input: UnschedulableTasksInput,
    private readonly groups: readonly WaitingTasks[],
  ) {
    const isSurplus = (machine: Machine): boolean => machine.drainReason !== null;
    const { machines, requested } = input;
    const rooms = [
      ...machines.filter((machine) => !isSurplus(machine)).map(roomOn),
      ...[...requested].flatMap(([pool, count]) =>
        Array.from({ length: count }, () => emptyRoom(pool)),
      ),
      ...machines.filter(isSurplus).map(roomOn),
    ];
    // Most machines of a large fleet are full; they are not looked at again for each group.
    const minCpus = Math.min(...groups.map(({ spec }) => spec.cpus)) - ROUNDING_TOLERANCE;
    this.rooms = rooms.filter((room) => room.cpus >= minCpus);
  }

  run(): ProvisionForWaiting {
    for (const group of this.groups) this.provide(group);
    const { requests, neededMachines, unschedulable } = this;
    return { requests, neededMachines, unschedulable };
  }

  private provide(group: WaitingTasks): void {
    const assignment = this.assign(group);
    for (const { machine } of assignment.used) if (machine) this.neededMachines.add(machine);
    if (assignment.left === 0) return;
    const { spec } = group;
    // A job that has yet to choose its one zone can start with the room that is there; it needs more only later.
    if (spec.kind !== 'gang' && choosesZone(group) && assignment.used.length > 0) return;
    this.unschedulable.set(spec.id, assignment.left);
    while (assignment.left > 0) {
      const pool = this.bestPool(assignment);
      if (!pool) return;
      this.requests.set(pool, (this.requests.get(pool) ?? 0) + 1);
      const room = emptyRoom(pool);
      assignment.fill(room);
      this.rooms.push(room);
    }
  }

  private assign(group: WaitingTasks): TaskAssignment {
    const assignment = new TaskAssignment(group.spec, group.tasks, group.tasksPerZone);
    const zone = choosesZone(group) ? this.bestZone(group) : null;
    if (choosesZone(group) && zone === null) return assignment;
    for (const room of this.rooms) {
      if (assignment.left === 0) break;
      if (zone === null || room.place.zone === zone) assignment.fill(room);
    }
    return assignment;
  }

  /**
   * The zone in which the most tasks of the group have room; null if none has any. A zone in which not all tasks have
   * room, and from which no machine can be requested, is no option for a gang.
   */
  private bestZone({ spec, tasks }: WaitingTasks): string | null {
    const slotsByZone = new Map<string, number>();
    for (const room of this.rooms) {
      const slots = slotsIn(spec, room, tasks);
      const { zone } = room.place;
      if (slots > 0) slotsByZone.set(zone, Math.min(tasks, (slotsByZone.get(zone) ?? 0) + slots));
    }
    const isOption = ([zone, slots]: [string, number]): boolean =>
      spec.kind !== 'gang' || slots >= tasks || this.poolsFor(spec).some((p) => p.zone === zone);
    const options = [...slotsByZone].filter(isOption).sort((a, b) => b[1] - a[1]);
    return options.length > 0 ? options[0][0] : null;
  }

  private poolsFor(spec: JobSpec): Pool[] {
    return this.input.pools.filter(
      (pool) =>
        fitsEmptyMachine(spec, pool) && (this.requests.get(pool) ?? 0) < MAX_MACHINES_PER_REQUEST,
    );
  }

  private bestPool(assignment: TaskAssignment): Pool | null {
    const open = this.poolsFor(assignment.spec).filter((p) => assignment.allowedIn(p.zone) > 0);
    const preference = this.preferenceFor(assignment);
    open.sort((a, b) => comparePools(preference, a, b));
    return open.length > 0 ? open[0] : null;
  }

  /** With `minimizeCost`, the price counts per task that a new machine would take. */
  private preferenceFor({ spec, left }: TaskAssignment): PoolPreference {
    const pricePerTask = (pool: Pool): number =>
      machinePrice(pool) / slotsIn(spec, emptyRoom(pool), left);
    return {
      price: (pool) => (this.input.minimizeCost ? pricePerTask(pool) : 0),
      isLessPreferred: (pool) => pool.spot || !pool.hasControllers,
      machineCount: (pool) => pool.machineCount + (this.requests.get(pool) ?? 0),
    };
  }
}

/** Whether all tasks of the job have to be in one zone and none has determined it yet. */
function choosesZone({ spec, tasksPerZone }: WaitingTasks): boolean {
  return spec.oneZone && spec.tasks > 1 && tasksPerZone.size === 0;
}
