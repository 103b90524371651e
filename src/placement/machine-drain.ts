/** Moves tasks off machines that will be preempted or are faulty (the paper's Listing 3). */
import type { Job } from '../jobs/job.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { AttemptStopper } from './attempt-stopper.js';
import type { GangRelocation } from './gang-relocation.js';
import { hasCapacity, satisfiesConstraints, zoneFilterForMove } from './machine-constraints.js';
import type { RunTimePrediction } from './run-time-prediction.js';
import { timeToSave } from './save-time.js';
import type { UsableMachines } from './usable-machines.js';

/** A task stays on a machine that will be preempted if it is expected to finish within this share of the time left. */
const MAX_SHARE_OF_TIME_LEFT = 0.8;

/** Dependencies of `MachineDrain`. */
export interface MachineDrainDependencies {
  table: MachineTable;
  machines: UsableMachines;
  operator: OperatorSettings;
  runTimes: RunTimePrediction;
  gangRelocation: GangRelocation;
  stopper: AttemptStopper;
}

/** State shared by the moves of tasks off one machine. */
interface DrainProgress {
  /** Milliseconds until the machine is preempted; Infinity if it stays up. */
  readonly timeLeftMs: number;
  readonly candidates: Machine[];
  /** CPUs, by machine, that the tasks stopped so far are assumed to take there. */
  readonly promisedCpus: Map<Machine, number>;
}

/**
 * Drains machines by stopping their tasks, which the scheduler then places on any machine. Before a stop, the other
 * machines are searched round robin for one with capacity, only to make sure that there is one.
 */
export class MachineDrain {
  /** Index of the machine whose capacity is checked first for the next task. */
  private nextCandidateIndex = 0;

  constructor(private readonly deps: MachineDrainDependencies) {}

  /**
   * Stops a bounded number of the machine's tasks, so that they restart elsewhere. Tasks that are expected to finish
   * before the machine is preempted stay. A task of an array or a service is stopped only if another machine has
   * capacity for it; for gangs, see `GangRelocation.vacateMachine`.
   */
  drain(machine: Machine, now: number): void {
    if (!machine.isReconciled()) return;
    const { preemptionDeadline } = machine;
    const progress: DrainProgress = {
      timeLeftMs: preemptionDeadline === null ? Infinity : preemptionDeadline - now,
      candidates: [...this.deps.table.all()],
      promisedCpus: new Map(),
    };
    let budget = this.deps.operator.drain_moves_per_round;
    for (const attempt of [...machine.attempts.values()]) {
      if (budget <= 0) return;
      const { job } = attempt;
      if (!attempt.mayBeOnMachine() || attempt.stop || attempt.startUnacknowledged || !job)
        continue;
      if (this.endsInTime(attempt, job, progress.timeLeftMs, now)) continue;
      if (this.moveAway(attempt, job, progress)) budget--;
    }
  }

  private endsInTime(attempt: TaskAttempt, job: Job, timeLeftMs: number, now: number): boolean {
    const remainingMs = this.deps.runTimes.remainingMs(attempt, job, now);
    return remainingMs !== null && remainingMs < timeLeftMs * MAX_SHARE_OF_TIME_LEFT;
  }

  private moveAway(attempt: TaskAttempt, job: Job, progress: DrainProgress): boolean {
    const timeLeftS = progress.timeLeftMs / 1000;
    if (job.spec.kind === 'gang')
      return this.deps.gangRelocation.vacateMachine(attempt, job, timeLeftS, 'machine-drained');
    const machineWithCapacity = this.findMachineWithCapacity(attempt, job, progress);
    if (!machineWithCapacity) return false;
    progress.promisedCpus.set(
      machineWithCapacity,
      (progress.promisedCpus.get(machineWithCapacity) ?? 0) + job.spec.cpus,
    );
    const graceS = timeToSave(job.spec, timeLeftS);
    this.deps.stopper.stop(attempt, { graceS, reason: 'machine-drained', replaced: false });
    return true;
  }

  /**
   * Returns the next machine with capacity for the task, in a zone that the job's other tasks leave open, or null. The
   * drained machine itself is not usable, so it is never selected. Capacity is checked first: when many machines are
   * preempted at the same time, each of their heartbeats leads here, and on a full fleet the capacity check is then the
   * only cost.
   */
  private findMachineWithCapacity(
    attempt: TaskAttempt,
    job: Job,
    { candidates, promisedCpus }: DrainProgress,
  ): Machine | null {
    const isZoneOpen = zoneFilterForMove(job, attempt);
    for (let i = 0; i < candidates.length; i++) {
      const index = (this.nextCandidateIndex + i) % candidates.length;
      const machine = candidates[index];
      if (!hasCapacity(job.spec, machine, promisedCpus.get(machine))) continue;
      if (!satisfiesConstraints(job.spec, machine) || !this.deps.machines.isUsable(machine))
        continue;
      if (isZoneOpen && !isZoneOpen(machine.zone)) continue;
      this.nextCandidateIndex = (index + 1) % candidates.length;
      return machine;
    }
    return null;
  }
}
