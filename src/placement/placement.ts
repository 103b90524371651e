/**
 * Decides which tasks start on which machines, when, and which running tasks they preempt. Sends no messages: it adds
 * and stops attempts in the machine table.
 */
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Runtime } from '../runtime.js';
import { shouldMinimizeCost } from '../settings/cost-policy.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import { AttemptAccounting } from './attempt-accounting.js';
import { AttemptStopper } from './attempt-stopper.js';
import { DecisionLog } from './decision-log.js';
import { DemandHistory } from './demand-history.js';
import { GangRelocation } from './gang-relocation.js';
import { GangScheduler } from './gang-scheduler.js';
import { GuaranteedJobs } from './guaranteed-jobs.js';
import { finishGoals } from './job-order.js';
import type { SelectionContext } from './machine-candidates.js';
import { obsoleteReason } from './obsolete-attempts.js';
import { PreemptionPolicy } from './preemption.js';
import { Rebalancer, isBeingPreempted } from './rebalancer.js';
import { Reservations } from './reservations.js';
import { RoundLog } from './round-log.js';
import { RunTimePrediction } from './run-time-prediction.js';
import { SchedulingCycleRunner } from './scheduling-cycle-runner.js';
import { SchedulingStats } from './scheduling-stats.js';
import { StopLog } from './stop-log.js';
import { TaskScheduler } from './task-scheduler.js';
import { TeamUsage } from './team-usage.js';
import { UsableMachines } from './usable-machines.js';
import { UsageAudit } from './usage-audit.js';
import { type WaitingTasks, groupWaitingTasks } from './waiting-tasks.js';

/** Dependencies of `Placement`, supplied by the leader. */
export interface PlacementDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  jobs: JobTable;
  table: MachineTable;
  /** The first attempt number. Attempt numbers of different leadership terms never overlap. */
  attemptBase: number;
  /** Whether jobs of former leaders may be acted on yet. */
  recoveryComplete(): boolean;
  isUnreachable(machine: Machine): boolean;
  /** Time of day in milliseconds; users' deadlines are measured against it. */
  wallMs(): number;
}

/** The facade of this folder: composes its components, and passes the events and ticks of the leader's term to them. */
export class Placement {
  private readonly usage: TeamUsage;
  private readonly usageAudit: UsageAudit;
  private readonly runTimes = new RunTimePrediction();
  private readonly reservations: Reservations;
  private readonly demand: DemandHistory;
  private readonly guaranteed: GuaranteedJobs;
  private readonly stopper: AttemptStopper;
  private readonly stopLog: StopLog;
  private readonly gangs: GangScheduler;
  private readonly rebalancer: Rebalancer;
  private readonly accounting: AttemptAccounting;
  private readonly cycles: SchedulingCycleRunner;
  private readonly roundLog: RoundLog;
  private attemptCount = 0;
  private lastRoundAt: number;

  constructor(private readonly deps: PlacementDependencies) {
    const { settings, operator, table, jobs, runtime } = deps;
    const { log } = runtime;
    const now = (): number => runtime.clock.now();
    this.usage = new TeamUsage(settings.teams);
    this.guaranteed = new GuaranteedJobs(jobs, this.usage);
    this.reservations = new Reservations(jobs);
    this.demand = new DemandHistory(now);
    const stats = new SchedulingStats();
    const decisions = new DecisionLog(log);
    const machines = new UsableMachines(table, (machine) => deps.isUnreachable(machine));
    const { usage, guaranteed, reservations, demand, runTimes } = this;
    const context: SelectionContext = {
      minimizeCost: shouldMinimizeCost(settings, operator),
      preemption: new PreemptionPolicy(usage, guaranteed),
    };
    const state = { jobs, table, machines, usage, reservations, guaranteed, demand, runTimes };
    const shared = { ...state, operator, context, stats, decisions, log, now };
    const nextAttemptNumber = (): number => this.nextAttemptNumber();
    this.stopLog = new StopLog(log);
    this.stopper = new AttemptStopper({ ...shared, stopLog: this.stopLog });
    const { stopper } = this;
    this.gangs = new GangScheduler({
      ...shared,
      stopper,
      gangWaitS: settings.gangWaitS,
      nextAttemptNumber,
    });
    const relocation = new GangRelocation({
      ...shared,
      stopper,
      gangPeerS: settings.gangPeerS,
      heartbeatIntervalS: settings.heartbeatIntervalS,
      isUsable: (machine) => machines.isUsable(machine),
    });
    const { gangs } = this;
    this.usageAudit = new UsageAudit(shared);
    this.accounting = new AttemptAccounting({ ...shared, gangs });
    this.rebalancer = new Rebalancer({ ...shared, gangRelocation: relocation, stopper });
    this.cycles = new SchedulingCycleRunner({
      ...shared,
      goals: finishGoals(settings.objectives),
      gangs,
      tasks: new TaskScheduler({ ...shared, stopper, nextAttemptNumber }),
      wallMs: () => deps.wallMs(),
      recoveryComplete: () => deps.recoveryComplete(),
    });
    this.roundLog = new RoundLog(log, stats, machines, usage);
    this.lastRoundAt = now();
  }

  private nextAttemptNumber(): number {
    return this.deps.attemptBase + this.attemptCount++;
  }

  // Events of the machine table.

  /** An attempt was added to a machine. */
  attemptAdded(attempt: TaskAttempt): void {
    this.accounting.attemptAdded(attempt);
  }

  /** An attempt is guaranteed to have left its machine. */
  attemptEnded(attempt: TaskAttempt): void {
    this.accounting.attemptEnded(attempt);
  }

  /** A heartbeat was applied to the table: stops obsolete attempts, and drains a machine that will be preempted. */
  heartbeatApplied(machine: Machine): void {
    if (machine.preemptionDeadline !== null) machine.drainReason ??= 'notice';
    const now = this.deps.runtime.clock.now();
    for (const attempt of [...machine.attempts.values()]) {
      if (!attempt.mayBeOnMachine()) continue;
      // Also if the attempt is stopping: it may have been given time to save before it became obsolete.
      const reason = obsoleteReason(attempt);
      if (reason !== null) this.stopper.stopNow(attempt, reason);
      else if (attempt.job?.spec.kind === 'gang') this.gangs.attemptReported(attempt.job, attempt);
    }
    if (isBeingPreempted(machine)) this.rebalancer.drain(machine, now);
  }

  // Events of the job table.

  /** A job was added to the job table: it was accepted, or restored after a failover. */
  jobAdded(job: Job): void {
    this.reservations.recordService(job);
    this.demand.record(job);
    this.guaranteed.invalidate();
  }

  /** Stops all attempts of a cancelled job. */
  jobCancelled(job: Job): void {
    for (const attempts of [...job.attempts.values()])
      for (const attempt of [...attempts]) this.stopper.stopNow(attempt, 'job-cancelled');
  }

  /** A job has left the job table. */
  jobEnded(job: Job): void {
    const isLive = (index: number): boolean =>
      [...this.deps.jobs.all()].some((live) => live.index === index);
    this.runTimes.samples.jobEnded(job.index, isLive);
  }

  // Queries of the autoscaler.

  /** CPUs that the job would use if there were enough capacity, capped at its team's limit. */
  wantedCpus(job: Job): number {
    const team = this.usage.team(job.spec.team);
    const unfinishedCpus = (job.attempts.size + job.pending()) * job.spec.cpus;
    return Math.min(unfinishedCpus, team?.cpusMax ?? 0);
  }

  /** CPUs per second that recently arrived services have requested. */
  serviceCpusPerSecond(): number {
    return this.demand.serviceCpusPerSecond();
  }

  /** The waiting tasks that could start now if machines had room for them. */
  waitingTasks(): WaitingTasks[] {
    const { jobs, runtime } = this.deps;
    const now = runtime.clock.now();
    return groupWaitingTasks(jobs.all(), {
      usage: this.usage,
      recoveryComplete: this.deps.recoveryComplete(),
      headroomCpus: (job) => this.reservations.serviceHeadroom(job, now),
      now,
    });
  }

  // Periodic work.

  /** Starts all tasks that can start. Returns true if it stopped early, so that another cycle should follow soon. */
  runSchedulingCycle(): boolean {
    return this.cycles.run();
  }

  /** Called at each tick of the leader. */
  tick(now: number): void {
    this.usageAudit.tick(now);
    this.stopLog.flush();
  }

  /**
   * Runs a placement round if its interval (`round_s`) has elapsed: logs the counts since the last round, and moves
   * tasks off machines that are slow, faulty or about to be preempted.
   */
  round(): void {
    const now = this.deps.runtime.clock.now();
    if (now - this.lastRoundAt < this.deps.operator.round_s * 1000) return;
    this.lastRoundAt = now;
    this.roundLog.write();
    this.rebalancer.round(now);
  }
}
