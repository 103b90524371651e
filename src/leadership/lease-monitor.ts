/** Expires worker leases, and probes machines that should have been heard. */
import type { Log } from '../runtime.js';
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { CommandSender } from '../workers/command-sender.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRecordStore } from '../workers/machine-record-store.js';
import type { MachineTable } from '../workers/machine-table.js';

/** What the monitor looks at. */
export interface LeaseMonitorDependencies {
  table: MachineTable;
  sender: CommandSender;
  machineRecords: MachineRecordStore;
  log: Log;
  autoscaler: Pick<Autoscaler, 'isHeartbeatOverdue' | 'isUnreachable' | 'isInPartitionedZone'>;
  /** For how long followers may extend leases after they have asked. */
  leaseExtensionMs: number;
  /** Until then followers may have extended leases. */
  leasesExtendableUntil(): number;
}

/** Passes over all machines: called by the leader's control loop. */
export class LeaseMonitor {
  constructor(private readonly deps: LeaseMonitorDependencies) {}

  /** Ends the leases that have surely run out: nothing runs on those machines any more. */
  expire(now: number): void {
    const { table, machineRecords, log } = this.deps;
    const extendableUntil = this.deps.leasesExtendableUntil();
    for (const machine of table.all()) {
      if (!machine.reported && !machine.awaitingReconciliation) continue;
      if (!table.isLeaseExpired(machine, extendableUntil, now)) continue;
      log.info({ id: machine.id }, 'worker lease expired');
      table.expireLease(machine, now);
      // So that no later leader waits for it.
      machineRecords.machineRemoved(machine);
    }
  }

  /** May followers extend leases? Not while some machine stays silent: its lease must end some time. */
  mayOthersExtend(now: number): boolean {
    for (const machine of this.deps.table.all()) if (this.mustExpire(machine, now)) return false;
    return true;
  }

  private mustExpire(machine: Machine, now: number): boolean {
    const { autoscaler, leaseExtensionMs } = this.deps;
    if (machine.leaseExpired) return false;
    if (
      autoscaler.isInPartitionedZone(machine) ||
      autoscaler.isUnreachable(machine, now - leaseExtensionMs / 4)
    )
      return true;
    // Nor while the recovery awaits one that does not answer: each grant would delay the recovery of all old jobs.
    return machine.awaitingReconciliation && !machine.isReconciled() && machine.commandFailures > 0;
  }

  /** A machine that did not answer is sent no commands until it does, so it is probed even once it is heard again. */
  probe(now: number): void {
    const { table, sender, autoscaler } = this.deps;
    for (const machine of table.all()) {
      if (!machine.stored && !machine.reported) continue;
      const unanswered = !machine.isReconciled() || machine.commandFailures > 0;
      if (!unanswered && !autoscaler.isHeartbeatOverdue(machine, now)) continue;
      if (sender.isWorthProbing(machine, now)) sender.flush(machine, true);
    }
  }
}
