/** Deletes idle machines. */
import type { OperatorSettings } from '../settings/operator.js';
import { isEmpty } from '../workers/attempt-lifecycle.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { markSurplus } from './surplus-machines.js';
import type { MachineDeletion } from './machine-deletion.js';
import { type Demand, scalingTargets } from './scaling-plan.js';

/** Dependencies of scaling in on the leader and its settings. */
export interface ScaleInDependencies {
  table: MachineTable;
  operator: OperatorSettings;
  minimizeCost: boolean;
}

/** Without `minimizeCost`: how long a machine must be idle, while the cluster has no work, before it is deleted. */
const IDLE_TIMEOUT_WITHOUT_WORK_MS = 30_000;

/**
 * With `minimizeCost`, deletes surplus machines once they are empty; otherwise deletes machines only if there is no
 * work.
 */
export class ScaleIn {
  constructor(
    private readonly deps: ScaleInDependencies,
    private readonly deletion: MachineDeletion,
  ) {}

  /**
   * With `minimizeCost`, marks surplus machines and starts to delete those that have been idle for long enough.
   * Otherwise deletes all machines that have been idle for long enough, but only if there is no work. Waiting tasks need
   * the room on `neededMachines`.
   */
  deleteIdle(demand: Demand, neededMachines: ReadonlySet<Machine>, now: number): void {
    if (this.deps.minimizeCost) this.deleteSurplus(demand, neededMachines, now);
    else if (!demand.hasWork) this.deleteAllIdle(now);
  }

  private deleteSurplus(demand: Demand, neededMachines: ReadonlySet<Machine>, now: number): void {
    const { operator } = this.deps;
    const machines = this.machinesUp();
    const targets = scalingTargets(demand, true, operator.spare_share);
    markSurplus(machines, { targets, demand, neededMachines, now });
    const idle = machines.filter(
      (machine) =>
        machine.drainReason === 'surplus' && isIdle(machine, operator.idle_return_s * 1000, now),
    );
    if (idle.length > 0) void this.deletion.delete(idle, 'return', 'surplus');
  }

  /** Deletes all idle machines, since spare machines are needed only while there is work. */
  private deleteAllIdle(now: number): void {
    const idle = this.machinesUp().filter((machine) =>
      isIdle(machine, IDLE_TIMEOUT_WITHOUT_WORK_MS, now),
    );
    if (idle.length > 0) void this.deletion.delete(idle, 'return', 'no work in the cluster');
  }

  private machinesUp(): Machine[] {
    return [...this.deps.table.all()].filter((machine) => machine.reported && !machine.deleting);
  }
}

/**
 * Whether the machine has reported the required token and no task has been on it for `timeoutMs`. What a task uses does
 * not matter: it may need no CPUs.
 */
function isIdle(machine: Machine, timeoutMs: number, now: number): boolean {
  return machine.isReconciled() && now - machine.emptySince > timeoutMs && isEmpty(machine);
}
