/** Expires worker leases, and probes machines from which a heartbeat or a response is missing. */
import type { Log } from '../runtime.js';
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { CommandSender } from '../workers/command-sender.js';
import type { Machine } from '../workers/machine.js';
import type { MachineNews } from '../workers/machine-news.js';
import type { MachineRecordStore } from '../workers/machine-record-store.js';
import type { MachineTable } from '../workers/machine-table.js';

/** Dependencies of the lease monitor. */
export interface LeaseMonitorDependencies {
  table: MachineTable;
  sender: CommandSender;
  machineRecords: MachineRecordStore;
  log: Log;
  autoscaler: Pick<Autoscaler, 'isHeartbeatOverdue' | 'isUnreachable' | 'isInPartitionedZone'>;
  news: MachineNews;
  /** Time in milliseconds, from a follower's request, for which it may extend leases. */
  leaseExtensionMs: number;
  /** Returns the time after which no follower has extended a lease in any zone. */
  leasesExtendableUntil(): number;
}

/** Checks all machines; called by the leader's control loop. */
export class LeaseMonitor {
  constructor(private readonly deps: LeaseMonitorDependencies) {}

  /** Marks the leases that are guaranteed to have expired: no task runs on those machines any more. */
  expire(now: number): void {
    const { table, machineRecords, log } = this.deps;
    const extendableUntil = this.deps.leasesExtendableUntil();
    for (const machine of table.all()) {
      if (!machine.reported && !machine.awaitingReconciliation) continue;
      if (!table.isLeaseExpired(machine, extendableUntil, now)) continue;
      log.info({ id: machine.id }, 'worker lease expired');
      table.expireLease(machine, now);
      // The record is removed so that no later leader waits for this machine.
      machineRecords.removeRecord(machine);
    }
  }

  /** Whether followers may extend leases: not while any machine is unreachable, as its lease must expire eventually. */
  mayFollowersExtend(now: number): boolean {
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
    // Also while the recovery waits for a machine that does not respond: each grant would delay the recovery of all
    // jobs that were created before the term.
    return machine.awaitingReconciliation && !machine.isReconciled() && machine.commandFailures > 0;
  }

  /**
   * Probes machines whose heartbeat is overdue or that do not respond to commands. A machine that did not respond is
   * sent no commands until it does, so it is probed even after its heartbeats arrive again. A machine with tasks is also
   * probed if the last heartbeats may be late: users ask about its tasks.
   */
  probe(now: number): void {
    const { table, sender } = this.deps;
    for (const machine of table.all()) {
      if (!machine.stored && !machine.reported) continue;
      if (!this.needsProbe(machine, now)) continue;
      if (sender.isWorthProbing(machine, now)) sender.flush(machine, true);
    }
  }

  private needsProbe(machine: Machine, now: number): boolean {
    const { autoscaler, news } = this.deps;
    if (!machine.isReconciled() || machine.commandFailures > 0) return true;
    if (autoscaler.isHeartbeatOverdue(machine, now)) return true;
    return machine.attempts.size > 0 && !news.isCurrent(machine, false, now);
  }
}
