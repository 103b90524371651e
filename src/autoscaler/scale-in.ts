/** Deletes machines that stand idle. */
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { markSurplus } from './idle-machines.js';
import type { MachineDeletion } from './machine-deletion.js';
import { type Demand, scalingTargets } from './scaling-plan.js';

/** What scaling in needs of the leader and of its settings. */
export interface ScaleInDependencies {
  table: MachineTable;
  operator: OperatorSettings;
  saveMoney: boolean;
}

/** Where money does not count: how long machines stand idle without any work in the cluster before they are deleted. */
const IDLE_TIMEOUT_WITHOUT_WORK_MS = 30_000;
/** Sums of CPU shares are this far from exact, at most. */
const CPU_ROUNDING = 1e-6;

/** Where money counts, surplus machines go once they are empty; elsewhere machines go only when there is no work. */
export class ScaleIn {
  constructor(
    private readonly deps: ScaleInDependencies,
    private readonly deletion: MachineDeletion,
  ) {}

  /** Marks surplus machines, and begins to delete those that have stood idle for long enough. */
  deleteIdle(demand: Demand, now: number): void {
    if (this.deps.saveMoney) this.deleteSurplus(demand, now);
    else if (demand.ordinaryCpus + demand.spotEligibleCpus === 0) this.deleteAllIdle(now);
  }

  private deleteSurplus(demand: Demand, now: number): void {
    const { operator } = this.deps;
    const machines = this.machinesUp();
    markSurplus(machines, scalingTargets(demand, true, operator.spare_share), now);
    const idle = machines.filter(
      (machine) =>
        machine.drainReason === 'surplus' && isIdle(machine, operator.idle_return_s * 1000, now),
    );
    if (idle.length > 0) void this.deletion.delete(idle, 'return', 'surplus');
  }

  /** Spare machines are insurance only while there is work. */
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

function isIdle(machine: Machine, timeoutMs: number, now: number): boolean {
  return machine.usedCpus < CPU_ROUNDING && now - machine.emptySince > timeoutMs;
}
