/** Places the tasks of arrays and services, each independently of the others. */
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { AttemptStopper } from './attempt-stopper.js';
import type { GuaranteedJobs } from './guaranteed-jobs.js';
import { isStarvedArray } from './job-order.js';
import { MachineCandidates, type SelectionContext } from './machine-candidates.js';
import { closedZonesKey } from './machine-constraints.js';
import { victimsWithinTeam } from './preemption.js';
import type { Reservations } from './reservations.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { SchedulingStats } from './scheduling-stats.js';
import type { TeamUsage } from './team-usage.js';

/** Only this share of a starved job's tasks starts ahead of other jobs, so that it does not starve those in turn. */
const STARVED_JOB_SHARE = 0.25;
/** An array that has started no task for this long no longer leaves ordinary machines to gangs. */
const ORDINARY_MACHINE_YIELD_MS = 30_000;

/** Dependencies of `TaskScheduler`. */
export interface TaskSchedulerDependencies {
  jobs: JobTable;
  table: MachineTable;
  usage: TeamUsage;
  reservations: Reservations;
  guaranteed: GuaranteedJobs;
  context: SelectionContext;
  stopper: AttemptStopper;
  stats: SchedulingStats;
  nextAttemptNumber(): number;
}

/** Starts as many tasks of a job as its team's quota, the machines and the cycle's budgets allow. */
export class TaskScheduler {
  constructor(private readonly deps: TaskSchedulerDependencies) {}

  /** Places as many tasks of the job as possible. Machines are scored once per job, not once per task. */
  place(job: Job, cycle: SchedulingCycle): void {
    const yieldsOrdinaryMachines = this.yieldsOrdinaryMachines(job, cycle.now);
    const shapeKey = this.shapeKeyOf(job, cycle, yieldsOrdinaryMachines);
    if (cycle.unschedulableShapes.has(shapeKey)) return;
    const { reservations, usage } = this.deps;
    if (reservations.yieldsTeamLimit(job, cycle.now)) return;
    const request = {
      spec: job.spec,
      tasks: 1,
      headroomCpus: reservations.serviceHeadroom(job, cycle.now),
    };
    let limit = startLimit(job, cycle);
    let candidates: MachineCandidates | null = null;
    while (cycle.startBudget > 0 && limit-- > 0 && job.pending() > 0) {
      if (!usage.mayStart(request)) {
        this.preemptWithinTeam(job, cycle);
        return;
      }
      candidates ??= this.candidatesFor(job, cycle, yieldsOrdinaryMachines, shapeKey);
      const machine = this.startNext(job, candidates, cycle);
      if (!machine) return;
      // Once arrays have used up the spare ordinary CPUs, candidates are selected again, without ordinary machines.
      if (yieldsOrdinaryMachines && !machine.spot && cycle.spareOrdinaryCpus <= 0)
        candidates = null;
    }
  }

  /**
   * Whether the job uses only spot machines once the spare CPUs of ordinary machines are used up, and so leaves the
   * others to gangs. Arrays that may use spot machines do so for a limited time, unless they are within their team's
   * guarantee.
   */
  private yieldsOrdinaryMachines(job: Job, now: number): boolean {
    const { kind, spot } = job.spec;
    if (kind !== 'array' || !spot || this.deps.guaranteed.has(job)) return false;
    return now - job.lastStartAt <= ORDINARY_MACHINE_YIELD_MS;
  }

  /** Key of the job's shape in this cycle: if one job finds no machine, no other job with the same key does. */
  private shapeKeyOf(job: Job, cycle: SchedulingCycle, yieldsOrdinaryMachines: boolean): string {
    // Includes the closed zones: otherwise replicas whose zones are closed would use up each cycle's candidate budget.
    const closedZones = closedZonesKey(job, cycle.zones);
    const guaranteedTeam = this.deps.guaranteed.has(job) ? job.spec.team : '';
    return `${job.shapeKey}|${closedZones}|${guaranteedTeam}|${yieldsOrdinaryMachines}`;
  }

  private candidatesFor(
    job: Job,
    cycle: SchedulingCycle,
    yieldsOrdinaryMachines: boolean,
    shapeKey: string,
  ): MachineCandidates {
    const { context, reservations, stats } = this.deps;
    const mayPreempt = context.preemption.mayPreemptAny(job, cycle.maxRunningPriorityNumber);
    const all = mayPreempt ? [...cycle.withCapacity, ...cycle.full] : cycle.withCapacity;
    const unreserved = reservations.withoutReserved(job, all, cycle.now);
    const spotOnly = yieldsOrdinaryMachines && cycle.spareOrdinaryCpus <= 0;
    const machines = spotOnly ? unreserved.filter((machine) => machine.spot) : unreserved;
    const candidates = new MachineCandidates(job, machines, context);
    cycle.candidateBudget -= candidates.examined;
    stats.countCandidates(candidates.examined);
    if (candidates.isEmpty() && job.failedOn.size === 0) cycle.unschedulableShapes.add(shapeKey);
    return candidates;
  }

  /** Places the job's next task. Returns its machine, or null if there is no next task or no machine can take it. */
  private startNext(
    job: Job,
    candidates: MachineCandidates,
    cycle: SchedulingCycle,
  ): Machine | null {
    const { table, stopper, stats } = this.deps;
    const taskNumber = job.peekNextTask();
    if (taskNumber === null) return null;
    const choice = candidates.selectBest();
    if (!choice) return null;
    const { machine, victims } = choice;
    for (const victim of victims) stopper.stopNow(victim, 'preempted');
    job.lastStartAt = cycle.now;
    table.addAttempt(
      machine,
      job.spec.id,
      job,
      taskNumber,
      this.deps.nextAttemptNumber(),
      cycle.now,
    );
    candidates.recordPlacement(machine);
    if (!machine.spot) cycle.spareOrdinaryCpus -= job.spec.cpus;
    stats.countStarts(1);
    cycle.startBudget--;
    return machine;
  }

  /**
   * Called when the job's team is at its limit: stops tasks of lower priority of the same team for a production job.
   * The job starts in a later cycle, once those tasks are guaranteed to have left their machines.
   */
  private preemptWithinTeam(job: Job, cycle: SchedulingCycle): void {
    const { team, priority } = job.spec;
    const { teamsConsideredForPreemption: considered, recoveryComplete } = cycle;
    const isFirst = !considered.has(team);
    considered.add(team);
    if (priority > 0 || !recoveryComplete || !isFirst) return;
    for (const victim of victimsWithinTeam(job, this.deps.jobs.all()))
      this.deps.stopper.stopNow(victim, 'preempted-within-team');
  }
}

function startLimit(job: Job, cycle: SchedulingCycle): number {
  return isStarvedArray(job, cycle.wallMs)
    ? Math.ceil(job.spec.tasks * STARVED_JOB_SHARE)
    : Infinity;
}
