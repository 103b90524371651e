/**
 * Stops attempts; records and counts each stop. The stops that `GangScheduler` and `GangRelocation` decide bypass it.
 */
import type { MachineTable } from '../workers/machine-table.js';
import type { StopReason } from '../workers/stop-reason.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { DecisionLog } from './decision-log.js';
import type { SchedulingStats } from './scheduling-stats.js';

/** Asks the machine table to stop attempts, and records each decision with its reason. */
export class AttemptStopper {
  constructor(
    private readonly table: MachineTable,
    private readonly decisions: DecisionLog,
    private readonly stats: SchedulingStats,
    private readonly now: () => number,
  ) {}

  /** Stops the attempt; `graceS` is the time in seconds that its task has to save its state. */
  stop(attempt: TaskAttempt, graceS: number, reason: StopReason): void {
    const now = this.now();
    this.stats.countStop(reason);
    this.decisions.stopped(attempt, reason, now);
    this.table.stop(attempt, { graceS, reason, replaced: false }, now);
  }
}
