/** Runs scheduling cycles: serves all waiting jobs in order, within the bounds of a cycle. */
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { DemandHistory } from './demand-history.js';
import { expireFailedMachines } from './failure-tracking.js';
import type { GangScheduler } from './gang-scheduler.js';
import type { GuaranteedJobs } from './guaranteed-jobs.js';
import {
  type FinishGoals,
  MOST_URGENT,
  type Urgency,
  isStarvedArray,
  servingOrder,
  urgency,
} from './job-order.js';
import type { SelectionContext } from './machine-candidates.js';
import type { Reservations } from './reservations.js';
import type { RunTimePrediction } from './run-time-prediction.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { SchedulingStats } from './scheduling-stats.js';
import type { TaskScheduler } from './task-scheduler.js';
import type { TeamUsage } from './team-usage.js';
import { NO_UNCONFIRMED_USAGE, unconfirmedUsage } from './unconfirmed-usage.js';
import type { UsableMachines } from './usable-machines.js';

// A cycle is bounded, so that it never delays lease renewals, health checks and responses for long.
const MAX_STARTS_PER_CYCLE = 400;
const MAX_CANDIDATES_PER_CYCLE = 30_000;
/** Arrays leave free CPUs on ordinary machines for this many gangs of the size of the largest recent one. */
const EXPECTED_GANGS = 2;

/** Dependencies of `SchedulingCycleRunner`. */
export interface SchedulingCycleRunnerDependencies {
  jobs: JobTable;
  usage: TeamUsage;
  machines: UsableMachines;
  reservations: Reservations;
  demand: DemandHistory;
  guaranteed: GuaranteedJobs;
  goals: FinishGoals;
  runTimes: RunTimePrediction;
  context: SelectionContext;
  gangs: GangScheduler;
  tasks: TaskScheduler;
  stats: SchedulingStats;
  now(): number;
  wallMs(): number;
  /** Whether jobs of former leaders may be acted on yet. */
  recoveryComplete(): boolean;
}

/** Runs one cycle at a time, and carries over the state that the next one needs to continue. */
export class SchedulingCycleRunner {
  /**
   * Shape keys of jobs that found no machine in a cycle that used up its candidate budget. The next cycle skips them
   * and continues with the jobs behind them.
   */
  private carriedOverShapes = new Set<string>();

  constructor(private readonly deps: SchedulingCycleRunnerDependencies) {}

  /**
   * Starts all tasks that can start. Returns true if it stopped early. If an array or service finds no machine, the
   * others with the same shape key (see `TaskScheduler`) are skipped.
   */
  run(): boolean {
    const { usage, jobs, guaranteed, stats } = this.deps;
    const now = this.deps.now();
    const recoveryComplete = this.deps.recoveryComplete();
    const waiting = this.waitingJobs(now, recoveryComplete);
    if (waiting.length === 0) return false;
    stats.countCycle();
    guaranteed.refresh(now);
    usage.setUnconfirmed(recoveryComplete ? NO_UNCONFIRMED_USAGE : unconfirmedUsage(jobs.all()));
    const cycle = this.beginCycle(waiting, now, recoveryComplete);
    for (const job of servingOrder(waiting, guaranteed, (j) => this.urgencyOf(j, cycle))) {
      // In a large fleet, a few shapes that find no machine use up the candidate budget. The next cycle skips them, so
      // that the shapes behind them are tried.
      if (cycle.candidateBudget <= 0) this.carriedOverShapes = cycle.unschedulableShapes;
      if (cycle.startBudget <= 0 || cycle.candidateBudget <= 0) return true;
      this.serve(job, cycle);
    }
    return cycle.startBudget <= 0;
  }

  private waitingJobs(now: number, recoveryComplete: boolean): Job[] {
    return [...this.deps.jobs.all()].filter(
      (job) =>
        job.pending() > 0 && job.nextStartAt <= now && (job.createdInThisTerm || recoveryComplete),
    );
  }

  private beginCycle(waiting: Job[], now: number, recoveryComplete: boolean): SchedulingCycle {
    const { withCapacity, full } = this.deps.machines.byCapacity(waiting);
    const unschedulableShapes = this.carriedOverShapes;
    this.carriedOverShapes = new Set();
    return {
      now,
      wallMs: this.deps.wallMs(),
      recoveryComplete,
      withCapacity,
      full,
      zones: new Set([...withCapacity, ...full].map((machine) => machine.zone)),
      maxRunningPriorityNumber: this.maxRunningPriorityNumber(),
      spareOrdinaryCpus: this.spareOrdinaryCpus(withCapacity),
      unschedulableShapes,
      teamsConsideredForPreemption: new Set(),
      startBudget: MAX_STARTS_PER_CYCLE,
      candidateBudget: MAX_CANDIDATES_PER_CYCLE,
    };
  }

  private maxRunningPriorityNumber(): number {
    let max = 0;
    for (const job of this.deps.jobs.all())
      if (job.attempts.size > 0) max = Math.max(max, job.spec.priority);
    return max;
  }

  private spareOrdinaryCpus(withCapacity: Machine[]): number {
    const cpusForGangs = EXPECTED_GANGS * this.deps.demand.largestGangCpus();
    if (cpusForGangs < 1) return Infinity;
    const freeCpus = withCapacity.reduce((sum, m) => sum + (m.spot ? 0 : m.freeCpus()), 0);
    return freeCpus - cpusForGangs;
  }

  private urgencyOf(job: Job, { wallMs }: SchedulingCycle): Urgency {
    if (isStarvedArray(job, wallMs) || this.deps.gangs.isStarvedGang(job)) return MOST_URGENT;
    return urgency(job, this.deps.goals, this.deps.runTimes.expectedMs(job), wallMs);
  }

  private serve(job: Job, cycle: SchedulingCycle): void {
    expireFailedMachines(job, cycle.now);
    if (job.spec.kind === 'gang') this.placeGang(job, cycle);
    else this.deps.tasks.place(job, cycle);
  }

  private placeGang(gang: Job, cycle: SchedulingCycle): void {
    const { reservations, gangs, context, stats } = this.deps;
    const all = [...cycle.withCapacity, ...cycle.full];
    const machines = reservations.withoutReserved(gang, all, cycle.now);
    cycle.candidateBudget -= machines.length;
    stats.countCandidates(machines.length);
    const mayPreempt = context.preemption.mayPreemptAny(gang, cycle.maxRunningPriorityNumber);
    const placement = gangs.place(gang, { context, machines, mayPreempt });
    if (placement === 'placed') {
      cycle.startBudget -= gang.spec.tasks;
      stats.countStarts(gang.spec.tasks);
    }
    if (placement === 'no-capacity' && gangs.isStarvedGang(gang)) gangs.reserve(gang, machines);
  }
}
