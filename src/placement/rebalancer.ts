/**
 * The moves of a placement round, which the leader runs every `round_s` seconds: moves young tasks off stragglers, and
 * drains machines that are faulty or will be preempted.
 */
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { MachineDrain } from './machine-drain.js';
import {
  StragglerRelocation,
  type StragglerRelocationDependencies,
} from './straggler-relocation.js';

/** Whether the cloud takes the machine back, whatever else it is drained for: a surplus machine may still run tasks. */
export function isBeingPreempted(machine: Machine): boolean {
  return machine.drainReason === 'notice' || machine.preemptionDeadline !== null;
}

/** Moves tasks off machines that are slow, faulty or about to be preempted. */
export class Rebalancer {
  private readonly table: MachineTable;
  private readonly relocation: StragglerRelocation;
  private readonly draining: MachineDrain;

  constructor(deps: StragglerRelocationDependencies) {
    this.table = deps.table;
    this.relocation = new StragglerRelocation(deps);
    this.draining = new MachineDrain(deps);
  }

  /** Makes the moves of one placement round. */
  round(now: number): void {
    this.relocation.round(now);
    for (const machine of this.table.all())
      if (isBeingPreempted(machine) || machine.drainReason === 'faulty')
        this.draining.drain(machine, now);
  }

  /** Drains a machine between rounds, as soon as its preemption is known. */
  drain(machine: Machine, now: number): void {
    this.draining.drain(machine, now);
  }
}
