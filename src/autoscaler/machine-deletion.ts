/** Deletes machines, and keeps which of them are surely gone. */
import type { Runtime } from '../runtime.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { DeletionPurpose, MachineActions } from './machine-actions.js';

/** What the deletion of machines needs of the leader. */
export interface MachineDeletionDependencies {
  runtime: Runtime;
  actions: MachineActions;
  table: MachineTable;
  isLeader(): boolean;
  /** The machine and everything on it are gone. */
  machineDeleted(machine: Machine): void;
}

/** The only place that deletes machines. While a deletion is under way its machines take no work (`deleting`). */
export class MachineDeletion {
  private readonly deletedIds = new Set<string>();

  constructor(private readonly deps: MachineDeletionDependencies) {}

  /** The cloud has confirmed its deletion: whatever it still seems to say is from before. */
  isDeleted(id: string): boolean {
    return this.deletedIds.has(id);
  }

  /** Begins to delete as many of the machines as one request may name, unless the budget of calls is used up. */
  async delete(machines: readonly Machine[], purpose: DeletionPurpose, why: string): Promise<void> {
    const { actions, runtime } = this.deps;
    const candidates = machines.filter((machine) => !machine.deleting);
    const limit = actions.maxDeletions(candidates.map((machine) => machine.id));
    const batch = candidates.slice(0, limit);
    if (batch.length === 0 || !actions.tryAcquireCall() || !this.deps.isLeader()) return;
    const ids = batch.map((machine) => machine.id);
    runtime.log.info({ ids, why }, 'deleting machines');
    for (const machine of batch) machine.deleting = true;
    await this.settle(batch, actions.deleteMachines(ids, purpose));
  }

  /** Follows a deletion that a former leader began; `deleted` resolves to whether the machines are gone. */
  restore(ids: readonly string[], deleted: Promise<boolean>): void {
    const machines: Machine[] = [];
    for (const id of ids) {
      const machine = this.deps.table.get(id);
      if (machine) machines.push(machine);
      else this.deletedIds.add(id);
    }
    for (const machine of machines) machine.deleting = true;
    void this.settle(machines, deleted);
  }

  private async settle(machines: readonly Machine[], deleted: Promise<boolean>): Promise<void> {
    const areDeleted = await deleted;
    for (const machine of machines) {
      machine.deleting = false;
      if (!areDeleted) continue;
      this.deletedIds.add(machine.id);
      this.deps.machineDeleted(machine);
    }
  }
}
