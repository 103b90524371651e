/** Stops attempts; records, counts and logs each stop. Every stop that the scheduler decides goes through here. */
import type { MachineTable } from '../workers/machine-table.js';
import type { StopRequest } from '../workers/stop-request.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { DecisionLog } from './decision-log.js';
import type { SchedulingStats } from './scheduling-stats.js';
import type { StopLog } from './stop-log.js';

/** Dependencies of `AttemptStopper`; `now` is in milliseconds. */
export interface AttemptStopperDependencies {
  table: MachineTable;
  decisions: DecisionLog;
  stats: SchedulingStats;
  stopLog: StopLog;
  now(): number;
}

/** Asks the machine table to stop attempts, and records each request that changed something. */
export class AttemptStopper {
  constructor(private readonly deps: AttemptStopperDependencies) {}

  /** Stops the attempt. If a stop of it is pending already, see `combineStops`. */
  stop(attempt: TaskAttempt, request: StopRequest): void {
    const { table, decisions, stats, stopLog } = this.deps;
    const now = this.deps.now();
    const outcome = table.stop(attempt, request, now);
    if (outcome.kind === 'unchanged') return;
    stats.countStop(request.reason);
    if (outcome.kind === 'never-sent') {
      decisions.stopped(attempt, request, null, now);
      return;
    }
    const earlier = outcome.kind === 'tightened' ? outcome.earlier : null;
    decisions.stopped(attempt, outcome.request, earlier, now);
    stopLog.record(attempt, outcome.request, earlier);
  }

  /** Stops the attempt without time to save. */
  stopNow(attempt: TaskAttempt, reason: StopRequest['reason']): void {
    this.stop(attempt, { graceS: 0, reason, replaced: false });
  }
}
