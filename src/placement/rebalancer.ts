/** DESIGN's placement round: young tasks leave stragglers, and machines that go away are drained. */
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { MachineDrain } from './machine-drain.js';
import {
  StragglerRelocation,
  type StragglerRelocationDependencies,
} from './straggler-relocation.js';

/** Moves tasks whose machines are slow, faulty or about to go away. */
export class Rebalancer {
  private readonly table: MachineTable;
  private readonly relocation: StragglerRelocation;
  private readonly draining: MachineDrain;

  constructor(deps: StragglerRelocationDependencies) {
    this.table = deps.table;
    this.relocation = new StragglerRelocation(deps);
    this.draining = new MachineDrain(deps);
  }

  /** One placement round. */
  round(now: number): void {
    this.relocation.round(now);
    for (const machine of this.table.all())
      if (machine.drainReason === 'notice' || machine.drainReason === 'faulty')
        this.draining.drain(machine, now);
  }

  /** Drains a machine between rounds, as soon as it is known to go away. */
  drain(machine: Machine, now: number): void {
    this.draining.drain(machine, now);
  }
}
