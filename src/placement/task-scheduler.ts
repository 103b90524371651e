/** Places the tasks of arrays and services, each on its own. */
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { AttemptStopper } from './attempt-stopper.js';
import type { GuaranteedJobs } from './guaranteed-jobs.js';
import { isStarved } from './job-order.js';
import { MachineCandidates, type SelectionContext } from './machine-candidates.js';
import { closedZonesKey } from './machine-constraints.js';
import { victimsWithinTeam } from './preemption.js';
import type { Reservations } from './reservations.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { SchedulingStats } from './scheduling-stats.js';
import type { TeamUsage } from './team-usage.js';

/** A starved job goes first with this share of its tasks only, so that it does not starve others in turn. */
const STARVED_JOB_SHARE = 0.25;
/** An array of which nothing has started for so long uses any machine that it is allowed on. */
const SPOT_PREFERENCE_MS = 30_000;

/** What task scheduling reads and acts on. */
export interface TaskSchedulerDependencies {
  jobs: JobTable;
  table: MachineTable;
  usage: TeamUsage;
  reservations: Reservations;
  guaranteed: GuaranteedJobs;
  context: SelectionContext;
  stopper: AttemptStopper;
  stats: SchedulingStats;
  nextAttempt(): number;
}

/** Starts as many tasks of a job as its team's quota, the machines and the cycle's budgets allow. */
export class TaskScheduler {
  constructor(private readonly deps: TaskSchedulerDependencies) {}

  /** Places what it can of the job. Machines are scored once a job, not once a task. */
  place(job: Job, cycle: SchedulingCycle): void {
    const prefersSpot = this.prefersSpot(job, cycle.now);
    const shapeKey = this.shapeKeyOf(job, cycle, prefersSpot);
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
      candidates ??= this.candidatesFor(job, cycle, prefersSpot, shapeKey);
      const machine = this.startNext(job, candidates, cycle);
      if (!machine) return;
      // Once arrays have used up the spare ordinary CPUs, the other machines are chosen without ordinary ones.
      if (prefersSpot && !machine.spot && cycle.spareOrdinaryCpus <= 0) candidates = null;
    }
  }

  /** An array that may use spot machines leaves ordinary ones to gangs for a while. */
  private prefersSpot(job: Job, now: number): boolean {
    const { kind, spot } = job.spec;
    if (kind !== 'array' || !spot || this.deps.guaranteed.has(job)) return false;
    return now - job.startedAt <= SPOT_PREFERENCE_MS;
  }

  /** The job's equivalence class in this cycle: where one job of a class finds no machine, the others don't either. */
  private shapeKeyOf(job: Job, cycle: SchedulingCycle, prefersSpot: boolean): string {
    // Without the zones, replicas whose zones are closed would use up the candidate budget of each cycle.
    const closedZones = closedZonesKey(job, cycle.zones);
    const guaranteedTeam = this.deps.guaranteed.has(job) ? job.spec.team : '';
    return `${job.shapeKey}|${closedZones}|${guaranteedTeam}|${prefersSpot}`;
  }

  private candidatesFor(
    job: Job,
    cycle: SchedulingCycle,
    prefersSpot: boolean,
    shapeKey: string,
  ): MachineCandidates {
    const { context, reservations, stats } = this.deps;
    const mayPreempt = context.preemption.mayPreemptAny(job, cycle.lowestRunningPriority);
    const all = mayPreempt ? [...cycle.withCapacity, ...cycle.full] : cycle.withCapacity;
    const unreserved = reservations.withoutReserved(job, all, cycle.now);
    const spotOnly = prefersSpot && cycle.spareOrdinaryCpus <= 0;
    const machines = spotOnly ? unreserved.filter((machine) => machine.spot) : unreserved;
    const candidates = new MachineCandidates(job, machines, context);
    cycle.candidateBudget -= candidates.examined;
    stats.countCandidates(candidates.examined);
    if (candidates.isEmpty() && job.failedOn.size === 0) cycle.unschedulableShapes.add(shapeKey);
    return candidates;
  }

  /** Places the job's next task; null if no machine takes it. */
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
    for (const victim of victims) stopper.stop(victim, 0, 'preempted');
    job.startedAt = cycle.now;
    table.addAttempt(machine, job.spec.id, job, taskNumber, this.deps.nextAttempt(), cycle.now);
    candidates.recordPlacement(machine);
    if (!machine.spot) cycle.spareOrdinaryCpus -= job.spec.cpus;
    stats.countStarts(1);
    cycle.startBudget--;
    return machine;
  }

  /**
   * The job's team is at its limit: less urgent tasks of its own stop in favour of a production job, which starts in a
   * later cycle, once they have surely ended.
   */
  private preemptWithinTeam(job: Job, cycle: SchedulingCycle): void {
    const { team, priority } = job.spec;
    const { teamsConsideredForPreemption: considered, recoveryComplete } = cycle;
    const isFirst = !considered.has(team);
    considered.add(team);
    if (priority > 0 || !recoveryComplete || !isFirst) return;
    for (const victim of victimsWithinTeam(job, this.deps.jobs.all()))
      this.deps.stopper.stop(victim, 0, 'preempted-within-team');
  }
}

function startLimit(job: Job, cycle: SchedulingCycle): number {
  return isStarved(job, cycle.wallMs) ? Math.ceil(job.spec.tasks * STARVED_JOB_SHARE) : Infinity;
}
