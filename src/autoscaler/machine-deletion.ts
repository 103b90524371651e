/** Deletes machines, and records which of them the cloud has confirmed as deleted. */
import type { Runtime } from '../runtime.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { DeletionPurpose, MachineActions } from './machine-actions.js';

/** Text of the log line of each deletion; `purpose` is one of its fields. */
export const DELETING_MACHINES = 'deleting machines';

/** Dependencies of machine deletion on the leader. */
export interface MachineDeletionDependencies {
  runtime: Runtime;
  actions: MachineActions;
  table: MachineTable;
  isLeader(): boolean;
  /** Called when the machine and everything on it no longer exist. */
  machineDeleted(machine: Machine): void;
}

/** The only class that deletes machines. While a deletion is in progress, its machines take no work (`deleting`). */
export class MachineDeletion {
  private readonly deletedIds = new Set<string>();

  constructor(private readonly deps: MachineDeletionDependencies) {}

  /**
   * Whether the machine counts as deleted: the cloud has confirmed its deletion, or it was not in the table when a
   * former leader's deletion of it was restored, whatever the outcome of that. A message that arrives after the
   * deletion was sent before it.
   */
  isDeleted(id: string): boolean {
    return this.deletedIds.has(id);
  }

  /**
   * Starts to delete as many of the machines as one request may contain, unless the call budget is used up. `why` is
   * the reason for the log.
   */
  async delete(machines: readonly Machine[], purpose: DeletionPurpose, why: string): Promise<void> {
    const { actions, runtime } = this.deps;
    const candidates = machines.filter((machine) => !machine.deleting);
    const limit = actions.maxDeletions(candidates.map((machine) => machine.id));
    const batch = candidates.slice(0, limit);
    if (batch.length === 0 || !actions.tryAcquireCall() || !this.deps.isLeader()) return;
    const ids = batch.map((machine) => machine.id);
    runtime.log.info({ ids, purpose, why }, DELETING_MACHINES);
    for (const machine of batch) machine.deleting = true;
    await this.settle(batch, actions.deleteMachines(ids, purpose));
  }

  /** Tracks a deletion that a former leader started; `deleted` resolves to whether the machines have been deleted. */
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
