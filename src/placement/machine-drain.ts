/** Moves tasks off machines that will be preempted or are faulty (the paper's Listing 3). */
import type { Job } from '../jobs/job.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { AttemptStopper } from './attempt-stopper.js';
import type { GangRelocation } from './gang-relocation.js';
import { hasCapacity, satisfiesConstraints } from './machine-constraints.js';
import type { RunTimePrediction } from './run-time-prediction.js';
import type { UsableMachines } from './usable-machines.js';

/** A task stays on a machine that will be preempted if it is expected to finish within this share of the time left. */
const MAX_SHARE_OF_TIME_LEFT = 0.8;

/** Dependencies of `MachineDrain`. */
export interface MachineDrainDependencies {
  table: MachineTable;
  machines: UsableMachines;
  operator: OperatorSettings;
  runTimes: RunTimePrediction;
  gangs: GangRelocation;
  stopper: AttemptStopper;
}

/** State shared by the moves of tasks off one machine. */
interface DrainProgress {
  /** Milliseconds until the machine is preempted; Infinity if it stays up. */
  readonly leftMs: number;
  readonly targets: Machine[];
  /** CPUs, by target machine, that the tasks moved so far will take. */
  readonly promisedCpus: Map<Machine, number>;
}

/** Drains machines; targets for their tasks are chosen round robin among the other machines. */
export class MachineDrain {
  /** Index of the machine that is considered first for the next task. */
  private nextTarget = 0;

  constructor(private readonly deps: MachineDrainDependencies) {}

  /**
   * Stops a bounded number of the machine's tasks, so that they restart elsewhere. Tasks that are expected to finish
   * before the machine is preempted stay; a task is moved only if another machine has capacity for it.
   */
  drain(machine: Machine, now: number): void {
    if (!machine.isReconciled()) return;
    const { preemptionDeadline } = machine;
    const progress: DrainProgress = {
      leftMs: preemptionDeadline === null ? Infinity : preemptionDeadline - now,
      targets: [...this.deps.table.all()],
      promisedCpus: new Map(),
    };
    let budget = this.deps.operator.drain_moves_per_round;
    for (const attempt of [...machine.attempts.values()]) {
      if (budget <= 0) return;
      const { job } = attempt;
      if (!attempt.mayBeOnMachine() || attempt.stop || attempt.startUnacknowledged || !job)
        continue;
      if (this.endsInTime(attempt, job, progress.leftMs, now)) continue;
      if (this.moveAway(attempt, job, progress)) budget--;
    }
  }

  private endsInTime(attempt: TaskAttempt, job: Job, leftMs: number, now: number): boolean {
    const remainingMs = this.deps.runTimes.remainingMs(attempt, job, now);
    return remainingMs !== null && remainingMs < leftMs * MAX_SHARE_OF_TIME_LEFT;
  }

  private moveAway(attempt: TaskAttempt, job: Job, progress: DrainProgress): boolean {
    const leftS = progress.leftMs / 1000;
    if (job.spec.kind === 'gang')
      return this.deps.gangs.vacateMachine(attempt, job, leftS, 'machine-drained');
    const target = this.selectTarget(job, progress);
    if (!target) return false;
    progress.promisedCpus.set(target, (progress.promisedCpus.get(target) ?? 0) + job.spec.cpus);
    const graceS = job.spec.checkpointS > 0 ? Math.min(job.spec.saveS, leftS) : 0;
    this.deps.stopper.stop(attempt, graceS, 'machine-drained');
    return true;
  }

  /**
   * Returns the next machine with capacity for a task, or null. The drained machine itself is not usable, so it is
   * never selected. Capacity is checked first: when many machines are preempted at the same time, each of their
   * heartbeats leads here, and on a full fleet the capacity check is then the only cost.
   */
  private selectTarget(job: Job, { targets, promisedCpus }: DrainProgress): Machine | null {
    for (let i = 0; i < targets.length; i++) {
      const index = (this.nextTarget + i) % targets.length;
      const machine = targets[index];
      if (!hasCapacity(job.spec, machine, promisedCpus.get(machine))) continue;
      if (!satisfiesConstraints(job.spec, machine) || !this.deps.machines.isUsable(machine))
        continue;
      this.nextTarget = (index + 1) % targets.length;
      return machine;
    }
    return null;
  }
}
