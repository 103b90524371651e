/** Updates made when an attempt is added to the machine table, and when it has left its machine. */
import type { Job } from '../jobs/job.js';
import type { Log } from '../runtime.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { DecisionLog } from './decision-log.js';
import { recordFailure, recordSuccess } from './failure-tracking.js';
import type { GangScheduler } from './gang-scheduler.js';
import type { RunTimePrediction } from './run-time-prediction.js';
import type { TeamUsage } from './team-usage.js';

/**
 * Delay of a job's next start after a start was rejected for lack of capacity or because an old attempt is still on the
 * machine. A newer heartbeat should arrive in this time.
 */
const REJECTED_START_RETRY_MS = 300;

/** Dependencies of `AttemptAccounting`. */
export interface AttemptAccountingDependencies {
  table: MachineTable;
  usage: TeamUsage;
  decisions: DecisionLog;
  runTimes: RunTimePrediction;
  gangs: GangScheduler;
  log: Log;
  now(): number;
}

/** Keeps jobs, teams' usage, run times and failures consistent with the attempts in the machine table. */
export class AttemptAccounting {
  constructor(private readonly deps: AttemptAccountingDependencies) {}

  /** Handles an attempt that may be on its machine from now on. */
  attemptAdded(attempt: TaskAttempt): void {
    const { usage, decisions } = this.deps;
    const { job } = attempt;
    const now = this.deps.now();
    // An attempt that is added with its start already sent was reported by a heartbeat.
    if (attempt.startSent) decisions.discovered(attempt, now);
    else decisions.started(attempt, job ? usage.quotaStatus(job.spec.team) : undefined, now);
    if (!job) return;
    job.addAttempt(attempt);
    usage.charge(job.spec);
  }

  /** Handles an attempt that is guaranteed to be on no machine any more. */
  attemptEnded(attempt: TaskAttempt): void {
    const { usage, decisions, gangs } = this.deps;
    const { job, cause } = attempt;
    const now = this.deps.now();
    decisions.ended(attempt, now);
    if (!job) return;
    if (cause === 'done') this.taskSucceeded(job, attempt, now);
    job.removeAttempt(attempt);
    usage.refund(job.spec);
    if (job.spec.kind === 'gang') gangs.attemptEnded(job, attempt);
    if (cause === 'error' || cause === 'unknown') this.taskFailed(job, attempt, now);
    if (cause === 'no_room' || cause === 'busy')
      job.nextStartAt = Math.max(job.nextStartAt, now + REJECTED_START_RETRY_MS);
  }

  private taskSucceeded(job: Job, attempt: TaskAttempt, now: number): void {
    const { machine, runningSince, taskNumber } = attempt;
    if (runningSince > 0 && job.spec.kind !== 'service')
      this.deps.runTimes.recordRun(job, machine, now - runningSince);
    recordSuccess(job, machine);
    if (job.jobCancelled) return;
    if (job.spec.kind === 'gang') job.finishAll(now);
    else job.finish(taskNumber, now);
  }

  private taskFailed(job: Job, { machine }: TaskAttempt, now: number): void {
    if (recordFailure(job, machine, this.deps.table, now))
      this.deps.log.info({ id: machine.id }, 'machine is faulty: tasks of several jobs failed');
  }
}
