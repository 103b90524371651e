/** DESIGN's placement round: young work leaves slow machines, and machines that go away are drained. */
import type { Log } from '../runtime.js';
import type { Job } from '../jobs/job-table.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import { allowedOn, hasFreeRoom, openZones } from './machine-selection.js';
import type { GangScheduler } from './gang-scheduler.js';
import type { RunTimeEstimator } from './run-time-estimator.js';
import { type RunTimeSamples, selectTaskToMove, detectStragglers } from './straggler-detection.js';

/** A task stays on a machine that goes away if it is expected to end within this share of the time left. */
const ENDS_IN_TIME = 0.8;

export interface RebalancerDependencies {
  table: MachineTable;
  operator: OperatorSettings;
  log: Log;
  timings: RunTimeSamples;
  runTimes: RunTimeEstimator;
  gangs: GangScheduler;
  usable(machine: Machine): boolean;
  stop(attempt: TaskAttempt, graceS: number, reason: string): void;
}

export class Rebalancer {
  /** Where the next drained task is offered first: drains go round robin. */
  private drainCursor = 0;

  constructor(private readonly deps: RebalancerDependencies) {}

  round(now: number): void {
    this.flagSlowMachines();
    this.moveOffSlowMachines(now);
    for (const machine of this.deps.table.all())
      if (machine.drainReason === 'notice' || machine.drainReason === 'faulty')
        this.drain(machine, now);
  }

  private flagSlowMachines(): void {
    const { table, timings, operator, log } = this.deps;
    const slowOnes = detectStragglers(timings, operator.slowness_ratio, operator.slowness_jobs);
    for (const machine of table.all()) {
      const slow = slowOnes.has(machine.index);
      if (slow !== machine.isStraggler) log.info({ id: machine.id, slow }, 'machine speed');
      machine.isStraggler = slow;
    }
  }

  private moveOffSlowMachines(now: number): void {
    let budget = this.deps.operator.moves_per_round;
    for (const machine of this.deps.table.all()) {
      if (budget <= 0) return;
      if (machine.isStraggler && this.moveOne(machine, now)) budget--;
    }
  }

  /** A task starts again once its worker reports it stopped; the slow machine is then scored behind the others. */
  private moveOne(machine: Machine, now: number): boolean {
    const attempt = selectTaskToMove(machine, (job) => this.usualMs(job), now);
    const job = attempt?.job;
    if (!attempt || !job) return false;
    if (job.spec.kind === 'gang') {
      if (!this.deps.gangs.canRelocate(job, machine)) return false;
      for (const task of job.attempts.keys()) job.moved.add(task);
      this.deps.gangs.stopWithCheckpoint(job, 'gang moved whole off a slow machine');
      return true;
    }
    if (!this.mostIdle(job)) return false;
    job.moved.add(attempt.taskNumber);
    this.deps.stop(
      attempt,
      job.spec.checkpointS > 0 ? job.spec.saveS : 0,
      'moved off a slow machine',
    );
    return true;
  }

  private mostIdle(job: Job): Machine | null {
    let best: Machine | null = null;
    const zoneOpen = openZones(job);
    for (const machine of this.deps.table.all()) {
      if (!this.deps.usable(machine) || machine.isStraggler || !allowedOn(job.spec, machine))
        continue;
      if (!hasFreeRoom(job.spec, machine) || (zoneOpen && !zoneOpen(machine.zone))) continue;
      if (!best || machine.freeCpus() > best.freeCpus()) best = machine;
    }
    return best;
  }

  /** A task's usual run time, told by its job's other tasks; a gang's are one, so there it is told by its class. */
  private usualMs(job: Job): number | null {
    return job.spec.kind === 'gang'
      ? this.deps.runTimes.medianMs(job.spec.cls)
      : this.deps.timings.medianMs(job.index);
  }

  /** Usual run time left of a task, in milliseconds; null if nothing is known. */
  private remainingMs(attempt: TaskAttempt, job: Job, now: number): number | null {
    const usual = this.usualMs(job) ?? this.deps.runTimes.medianMs(job.spec.cls);
    if (usual === null || attempt.state !== 'running' || attempt.runningSince === 0) return null;
    return Math.max(0, usual - (now - attempt.runningSince));
  }

  /**
   * The paper's Listing 3: tasks of a machine that goes away are spread over the others in round robin. What
   * would be done before the machine goes stays; a task is moved only when another machine has room for it.
   */
  drain(machine: Machine, now: number): void {
    if (!machine.isReconciled()) return;
    const leftMs =
      machine.preemptionDeadline === null ? Infinity : machine.preemptionDeadline - now;
    const others = [...this.deps.table.all()];
    const taken = new Map<Machine, number>();
    let budget = this.deps.operator.drain_moves_per_round;
    for (const attempt of [...machine.attempts.values()]) {
      if (budget <= 0) return;
      const { job } = attempt;
      if (!attempt.onMachine() || attempt.stop || attempt.startUnacknowledged || !job) continue;
      const remaining = this.remainingMs(attempt, job, now);
      if (remaining !== null && remaining < leftMs * ENDS_IN_TIME) continue;
      const moved =
        job.spec.kind === 'gang'
          ? this.deps.gangs.vacateMachine(attempt, job, leftMs / 1000, 'drained')
          : this.drainTask(attempt, job, leftMs / 1000, others, taken);
      if (moved) budget--;
    }
  }

  private drainTask(
    attempt: TaskAttempt,
    job: Job,
    leftS: number,
    others: Machine[],
    taken: Map<Machine, number>,
  ): boolean {
    const target = this.nextInTurn(job, others, taken);
    if (!target) return false;
    taken.set(target, (taken.get(target) ?? 0) + job.spec.cpus);
    this.deps.stop(
      attempt,
      job.spec.checkpointS > 0 ? Math.min(job.spec.saveS, leftS) : 0,
      'drained',
    );
    return true;
  }

  /**
   * The machine that is drained takes nothing new, so it is not usable. Room is looked at first: when many machines go
   * at once each of their reports comes here, and on a full fleet that is all it costs.
   */
  private nextInTurn(job: Job, others: Machine[], taken: Map<Machine, number>): Machine | null {
    for (let i = 0; i < others.length; i++) {
      const place = (this.drainCursor + i) % others.length;
      const machine = others[place];
      if (!hasFreeRoom(job.spec, machine, taken.get(machine))) continue;
      if (!allowedOn(job.spec, machine) || !this.deps.usable(machine)) continue;
      this.drainCursor = (place + 1) % others.length;
      return machine;
    }
    return null;
  }
}
