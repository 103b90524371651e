/** Ends the leases of workers that have run out, and asks machines that should have spoken. */
import type { Log } from '../runtime.js';
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { CommandSender } from '../workers/command-sender.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRecordStore } from '../workers/machine-record-store.js';
import type { MachineTable } from '../workers/machine-table.js';

export interface LeaseMonitorDependencies {
  table: MachineTable;
  sender: CommandSender;
  machineRecords: MachineRecordStore;
  log: Log;
  autoscaler: Pick<Autoscaler, 'isOverdue' | 'isSilent' | 'isLost'>;
  /** How long followers may extend leases after they have asked. */
  leaseExtensionMs: number;
  /** Until when followers may have extended leases. */
  extendableUntil(): number;
}

export class LeaseMonitor {
  constructor(private readonly deps: LeaseMonitorDependencies) {}

  expire(now: number): void {
    const { table, machineRecords, log } = this.deps;
    const keptUntil = this.deps.extendableUntil();
    for (const machine of table.all()) {
      if (!machine.reported && !machine.awaitingReconciliation) continue;
      if (!table.isLeaseExpired(machine, keptUntil, now)) continue;
      log.info({ id: machine.id }, 'worker lease has run out');
      table.expireLease(machine, now);
      // So no later leader need wait for it.
      machineRecords.removed(machine);
    }
  }

  /** Not while some machine stays silent: its lease must end some time. */
  mayOthersExtend(now: number): boolean {
    for (const machine of this.deps.table.all()) if (this.mustEnd(machine, now)) return false;
    return true;
  }

  private mustEnd(machine: Machine, now: number): boolean {
    const { autoscaler, leaseExtensionMs } = this.deps;
    if (machine.leaseExpired) return false;
    if (autoscaler.isLost(machine) || autoscaler.isSilent(machine, now - leaseExtensionMs / 4))
      return true;
    // Nor while a takeover waits for one that does not answer: each grant would put off the proof for all old jobs.
    return machine.awaitingReconciliation && !machine.isReconciled() && machine.commandFailures > 0;
  }

  /** One that did not answer gets nothing until it does, so it is asked also after it is heard again. */
  probe(now: number): void {
    const { table, sender, autoscaler } = this.deps;
    for (const machine of table.all()) {
      if (!machine.stored && !machine.reported) continue;
      const unanswered = !machine.isReconciled() || machine.commandFailures > 0;
      if (!unanswered && !autoscaler.isOverdue(machine, now)) continue;
      if (sender.isWorthProbing(machine, now)) sender.flush(machine, true);
    }
  }
}
