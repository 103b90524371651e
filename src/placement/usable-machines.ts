/** Which machines may be given work. */
import type { Job } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

const ROUNDING = 1e-6;

export class UsableMachines {
  constructor(
    private readonly table: MachineTable,
    private readonly isSilent: (machine: Machine) => boolean,
  ) {}

  isUsable(m: Machine): boolean {
    return this.whyUnusable(m) === null;
  }

  /** Why a machine may not be given work; null if it may. */
  private whyUnusable(m: Machine): string | null {
    if (!m.stored) return 'not stored';
    if (!m.isReconciled()) return 'not certain';
    if (m.drainReason) return m.drainReason;
    if (m.deleting) return 'deleting';
    if (m.commandFailures > 0) return 'unanswered';
    return this.isSilent(m) ? 'silent' : null;
  }

  /** How many machines may not be given work, by reason: for the log. */
  countUnusable(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const machine of this.table.all()) {
      const reason = this.whyUnusable(machine);
      if (reason !== null) counts[reason] = (counts[reason] ?? 0) + 1;
    }
    return counts;
  }

  /** Those with room for a task of some waiting job, and those without. */
  byRoom(waiting: Job[]): { roomy: Machine[]; full: Machine[] } {
    const least = Math.min(...waiting.map((job) => job.spec.cpus)) - ROUNDING;
    const roomy: Machine[] = [];
    const full: Machine[] = [];
    for (const machine of this.table.all())
      if (this.isUsable(machine)) (machine.freeCpus() >= least ? roomy : full).push(machine);
    return { roomy, full };
  }
}
