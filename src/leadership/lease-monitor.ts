/** Ends the leases of workers that have run out, and asks machines that should have spoken. */
import type { Log } from '../runtime.js';
import type { Fleet } from '../fleet/fleet.js';
import type { CommandSender } from '../workers/commands.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRecordStore } from '../workers/machine-records.js';
import type { MachineTable } from '../workers/machine-table.js';

export interface LeaseWatchDependencies {
  table: MachineTable;
  sender: CommandSender;
  registry: MachineRecordStore;
  log: Log;
  fleet: Pick<Fleet, 'isOverdue' | 'isSilent' | 'isLost'>;
  /** How long followers may extend leases after they have asked. */
  leaseExtensionMs: number;
  /** Until when followers may have extended leases. */
  keptUntil(): number;
}

export class LeaseWatch {
  constructor(private readonly deps: LeaseWatchDependencies) {}

  expire(now: number): void {
    const { table, registry, log } = this.deps;
    const keptUntil = this.deps.keptUntil();
    for (const machine of table.all()) {
      if (!machine.reported && !machine.suspect) continue;
      if (!table.leaseOver(machine, keptUntil, now)) continue;
      log.info({ id: machine.id }, 'worker lease has run out');
      table.expire(machine, now);
      // So no later leader need wait for it.
      registry.removed(machine);
    }
  }

  /** Not while some machine stays silent: its lease must end some time. */
  mayOthersExtend(now: number): boolean {
    for (const machine of this.deps.table.all()) if (this.mustEnd(machine, now)) return false;
    return true;
  }

  private mustEnd(machine: Machine, now: number): boolean {
    const { fleet, leaseExtensionMs } = this.deps;
    if (machine.expired) return false;
    if (fleet.isLost(machine) || fleet.isSilent(machine, now - leaseExtensionMs / 4)) return true;
    // Nor while a takeover waits for one that does not answer: each grant would put off the proof for all old jobs.
    return machine.suspect && !machine.certain() && machine.commandFailures > 0;
  }

  /** One that did not answer gets nothing until it does, so it is asked also after it is heard again. */
  probe(now: number): void {
    const { table, sender, fleet } = this.deps;
    for (const machine of table.all()) {
      if (!machine.stored && !machine.reported) continue;
      const unanswered = !machine.certain() || machine.commandFailures > 0;
      if (!unanswered && !fleet.isOverdue(machine, now)) continue;
      if (sender.isWorthProbing(machine, now)) sender.flush(machine, true);
    }
  }
}
