/** Determines which machines may be given work. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { ROUNDING_TOLERANCE } from './resources.js';

/** The usable machines, split by whether any waiting task could fit without preemption. */
export interface MachinesByCapacity {
  withCapacity: Machine[];
  full: Machine[];
}

/** Filters the machine table for those that may be given work. */
export class UsableMachines {
  constructor(
    private readonly table: MachineTable,
    private readonly isUnreachable: (machine: Machine) => boolean,
  ) {}

  /** Whether the machine may be given work. */
  isUsable(machine: Machine): boolean {
    return this.unusableReason(machine) === null;
  }

  /** Reason, for the log, why the machine may not be given work: its drain reason if it is drained. Null if it may. */
  private unusableReason(machine: Machine): string | null {
    if (!machine.stored) return 'not-stored';
    if (!machine.isReconciled()) return 'not-reconciled';
    if (machine.drainReason) return machine.drainReason;
    if (machine.deleting) return 'being-deleted';
    if (machine.commandFailures > 0) return 'commands-unacknowledged';
    return this.isUnreachable(machine) ? 'silent' : null;
  }

  /** Number of machines that may not be given work, by reason, for the log. */
  countUnusable(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const machine of this.table.all()) {
      const reason = this.unusableReason(machine);
      if (reason !== null) counts[reason] = (counts[reason] ?? 0) + 1;
    }
    return counts;
  }

  /** The usable machines, split by free CPUs: `full` ones have fewer than the smallest waiting task needs. */
  byCapacity(waiting: Job[]): MachinesByCapacity {
    const minCpus = Math.min(...waiting.map((job) => job.spec.cpus)) - ROUNDING_TOLERANCE;
    const withCapacity: Machine[] = [];
    const full: Machine[] = [];
    for (const machine of this.table.all())
      if (this.isUsable(machine))
        (machine.freeCpus() >= minCpus ? withCapacity : full).push(machine);
    return { withCapacity, full };
  }
}
