/** Flags stragglers, and moves young tasks off them. */
import type { Job } from '../jobs/job.js';
import type { Log } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { AttemptStopper } from './attempt-stopper.js';
import type { GangRelocation } from './gang-relocation.js';
import { hasCapacity, satisfiesConstraints, zoneFilter } from './machine-constraints.js';
import type { RunTimePrediction } from './run-time-prediction.js';
import { timeToSave } from './save-time.js';
import { detectStragglers, selectTaskToMove } from './straggler-detection.js';
import type { UsableMachines } from './usable-machines.js';

/** Dependencies of `StragglerRelocation`. */
export interface StragglerRelocationDependencies {
  table: MachineTable;
  machines: UsableMachines;
  operator: OperatorSettings;
  log: Log;
  runTimes: RunTimePrediction;
  gangRelocation: GangRelocation;
  stopper: AttemptStopper;
}

/** The part of the placement round that handles stragglers. */
export class StragglerRelocation {
  constructor(private readonly deps: StragglerRelocationDependencies) {}

  /** Updates the straggler flags, then moves a bounded number of tasks. */
  round(now: number): void {
    this.updateFlags();
    this.moveTasks(now);
  }

  private updateFlags(): void {
    const { table, runTimes, operator, log } = this.deps;
    const { slowness_ratio: ratio, slowness_jobs: minJobs } = operator;
    const stragglers = detectStragglers(runTimes.samples, ratio, minJobs);
    for (const machine of table.all()) {
      const straggler = stragglers.has(machine.index);
      if (straggler !== machine.isStraggler)
        log.info({ id: machine.id, straggler }, 'straggler flag changed');
      machine.isStraggler = straggler;
    }
  }

  private moveTasks(now: number): void {
    let budget = this.deps.operator.moves_per_round;
    for (const machine of this.deps.table.all()) {
      if (budget <= 0) return;
      if (machine.isStraggler && this.moveOne(machine, now)) budget--;
    }
  }

  /**
   * Stops one task, or its gang, and returns whether it did. The task restarts once its worker reports it stopped; the
   * straggler is then scored behind the other machines.
   */
  private moveOne(machine: Machine, now: number): boolean {
    const attempt = selectTaskToMove(machine, (job) => this.deps.runTimes.usualMs(job), now);
    if (!attempt?.job) return false;
    return attempt.job.spec.kind === 'gang'
      ? this.moveGang(attempt.job, machine)
      : this.moveTask(attempt, attempt.job);
  }

  private moveGang(gang: Job, from: Machine): boolean {
    const { gangRelocation } = this.deps;
    if (!gangRelocation.canRelocate(gang, from)) return false;
    for (const task of gang.attempts.keys()) gang.moved.add(task);
    gangRelocation.stopWithCheckpoint(gang, 'gang-moved-off-straggler');
    return true;
  }

  private moveTask(attempt: TaskAttempt, job: Job): boolean {
    if (!this.isCapacityElsewhere(job)) return false;
    job.moved.add(attempt.taskNumber);
    const graceS = timeToSave(job.spec);
    this.deps.stopper.stop(attempt, { graceS, reason: 'moved-off-straggler', replaced: false });
    return true;
  }

  /** Whether a machine that is not a straggler has free capacity for a task of the job. */
  private isCapacityElsewhere(job: Job): boolean {
    const { table, machines } = this.deps;
    const isZoneOpen = zoneFilter(job);
    for (const machine of table.all()) {
      if (machine.isStraggler || !hasCapacity(job.spec, machine)) continue;
      if (!satisfiesConstraints(job.spec, machine) || !machines.isUsable(machine)) continue;
      if (!isZoneOpen || isZoneOpen(machine.zone)) return true;
    }
    return false;
  }
}
