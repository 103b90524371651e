/** Decides which task goes where, when, and instead of what. Sends nothing: it places and stops attempts in the table. */
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import { moneyCounts } from '../settings/money.js';
import type { Runtime } from '../runtime.js';
import type { Job, JobTable } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import { Candidates, closedZones } from './machine-selection.js';
import { DecisionLog } from './decision-log.js';
import { DemandHistory } from './demand-history.js';
import { expireFailedMachines, recordFailure, recordSuccess } from './failure-tracking.js';
import { GangScheduler } from './gang-scheduler.js';
import {
  type FinishGoals,
  type Urgency,
  finishGoals,
  servingOrder,
  urgency,
  withinGuarantee,
} from './job-order.js';
import { TeamUsage } from './team-usage.js';
import { Rebalancer } from './rebalancer.js';
import { type SchedulingCycle, emptyPlacementWork } from './scheduling-cycle.js';
import type { Resources } from './resources.js';
import { Reservations } from './reservations.js';
import { RunTimeEstimator } from './run-time-estimator.js';
import { RunTimeSamples, evictOldestSamples } from './straggler-detection.js';
import { unseenResources, victimsForTeamRoom } from './team-room.js';
import { UsableMachines } from './usable-machines.js';
import { UsageAudit } from './usage-audit.js';

export interface PlacementDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  jobs: JobTable;
  table: MachineTable;
  attemptBase: number;
  /** May jobs of former leaders be acted on yet? */
  recoveryComplete(): boolean;
  isSilent(m: Machine): boolean;
  /** Time of day: what users' due times are measured in. */
  wallMs(): number;
}

/** A pass is bounded, so that renewals, health checks and answers never wait long behind it. */
const STARTS_PER_PASS = 400;
const LOOKS_PER_PASS = 30_000;
/** Who is within a guarantee changes slowly. */
const GUARANTEE_MS = 300;
/** A log line of team usage names at most so many teams. */
const TEAMS_IN_LOG = 20;
/** A job of which nothing has begun after so long gets a first share of its tasks before all others. */
const STARVED_MS = 60_000;
const STARVED_JOB_SHARE = 0.25;
/** An array of which nothing has started for so long uses any machine that it is allowed on. */
const CHOOSY_MS = 30_000;
/** Arrays leave ordinary room for so many gangs as large as the largest recent one. */
const GANGS_TO_EXPECT = 2;
/** A task that was refused for lack of room, or since an old attempt is still there, waits for a newer report. */
const REFUSED_MS = 300;
/** Once every machine is known, nothing can be where no report has shown it. */
const NONE_UNSEEN: ReadonlyMap<string, Resources> = new Map();

export class Placement {
  private readonly usage: TeamUsage;
  private readonly decisions: DecisionLog;
  private readonly usageAudit: UsageAudit;
  private readonly machines: UsableMachines;
  private readonly runTimes = new RunTimeEstimator();
  private readonly timings = new RunTimeSamples();
  private readonly reservations: Reservations;
  private readonly history: DemandHistory;
  private readonly gangs: GangScheduler;
  private readonly rebalancer: Rebalancer;
  private readonly endedJobs: number[] = [];
  private attemptCount = 0;
  private lastRound: number;
  private guaranteed = new Set<Job>();
  private guaranteedAt = -Infinity;
  /** Shapes that found no room in a pass that then ran out of looks: the next one goes on behind them. */
  private noRoomBefore = new Set<string>();
  /** What placing cost since the last round, and what it stopped, by reason: for the log. */
  private work = emptyPlacementWork();
  private readonly saveMoney: boolean;
  private readonly goals: FinishGoals;

  constructor(private readonly deps: PlacementDependencies) {
    const { settings, operator, table, runtime } = deps;
    const now = (): number => runtime.clock.now();
    this.machines = new UsableMachines(table, (machine) => deps.isSilent(machine));
    const usable = (machine: Machine): boolean => this.machines.isUsable(machine);
    this.usage = new TeamUsage(settings.teams);
    this.decisions = new DecisionLog(runtime.log);
    this.usageAudit = new UsageAudit({
      table,
      usage: this.usage,
      decisions: this.decisions,
      log: runtime.log,
    });
    this.saveMoney = moneyCounts(settings, operator);
    this.goals = finishGoals(settings.objectives);
    this.lastRound = now();
    this.history = new DemandHistory(now);
    this.reservations = new Reservations(deps.jobs);
    this.gangs = new GangScheduler({
      table,
      usage: this.usage,
      reservations: this.reservations,
      log: runtime.log,
      gangWaitS: settings.gangWaitS,
      gangPeerS: settings.gangPeerS,
      reportS: settings.reportS,
      now,
      nextAttempt: () => this.nextAttempt(),
      usable,
    });
    this.rebalancer = new Rebalancer({
      table,
      operator,
      log: runtime.log,
      timings: this.timings,
      runTimes: this.runTimes,
      gangs: this.gangs,
      usable,
      stop: (attempt, graceS, reason) => {
        this.stop(attempt, graceS, reason);
      },
    });
  }

  // Changes of the machine table.

  attemptAdded(attempt: TaskAttempt): void {
    const { job } = attempt;
    const now = this.deps.runtime.clock.now();
    // One that is added as sent was shown by a report.
    if (attempt.startSent) this.decisions.found(attempt, now);
    else
      this.decisions.started(attempt, job ? this.usage.quotaStatus(job.spec.team) : undefined, now);
    if (!job) return;
    job.addAttempt(attempt);
    this.usage.charge(job.spec);
  }

  attemptEnded(attempt: TaskAttempt): void {
    const { job, machine, cause } = attempt;
    const now = this.deps.runtime.clock.now();
    this.decisions.gone(attempt, now);
    if (!job) return;
    if (cause === 'done') this.taskDone(job, attempt, now);
    job.removeAttempt(attempt);
    this.usage.refund(job.spec);
    if (job.spec.kind === 'gang') this.gangs.attemptEnded(job, attempt);
    if (cause === 'error' || cause === 'unknown')
      if (recordFailure(job, machine, this.deps.table, now))
        this.deps.runtime.log.info({ id: machine.id }, 'machine fails tasks of several jobs');
    if (cause === 'no_room' || cause === 'busy')
      job.notBefore = Math.max(job.notBefore, now + REFUSED_MS);
  }

  private taskDone(job: Job, attempt: TaskAttempt, now: number): void {
    const { spec } = job;
    if (attempt.runningSince > 0 && spec.kind !== 'service') {
      const ms = now - attempt.runningSince;
      this.runTimes.record(spec.cls, ms, spec.estimateS * 1000);
      // A gang runs at the speed of its slowest machine, which tells nothing of the others.
      if (spec.kind === 'array') this.timings.record(job.index, attempt.machine.index, ms);
    }
    recordSuccess(job, attempt.machine);
    if (job.jobCancelled) return;
    if (spec.kind === 'gang') job.finishAll(now);
    else job.finish(attempt.taskNumber, now);
  }

  heartbeatApplied(machine: Machine): void {
    if (machine.preemptionDeadline !== null && !machine.drainReason) machine.drainReason = 'notice';
    const now = this.deps.runtime.clock.now();
    for (const attempt of [...machine.attempts.values()]) {
      if (!attempt.onMachine() || attempt.stop) continue;
      const reason = this.reasonToStop(attempt);
      if (reason !== null) this.stop(attempt, 0, reason);
      else if (attempt.job?.spec.kind === 'gang') this.gangs.attemptReported(attempt.job, attempt);
    }
    if (machine.drainReason === 'notice') this.rebalancer.drain(machine, now);
  }

  private reasonToStop(attempt: TaskAttempt): string | null {
    const { job, machine } = attempt;
    if (!job) return 'no such job';
    if (job.jobCancelled) return 'cancelled';
    if (job.isFinished(attempt.taskNumber) && job.spec.kind !== 'gang') return 'finished elsewhere';
    // A late report of a machine that is gone shows a copy, too: only one that obeys us proves anything.
    const copies = job.attempts.get(attempt.taskNumber);
    const first = copies && copies.length > 1 ? copies[0] : attempt;
    return first !== attempt && first.machine.isReconciled() && machine.isReconciled()
      ? 'second copy'
      : null;
  }

  jobCancelled(job: Job): void {
    for (const list of [...job.attempts.values()])
      for (const attempt of [...list]) this.stop(attempt, 0, 'cancelled');
  }

  jobEnded(job: Job): void {
    this.endedJobs.push(job.index);
    evictOldestSamples(
      this.timings,
      (index) => [...this.deps.jobs.all()].some((j) => j.index === index),
      this.endedJobs,
    );
  }

  private stop(attempt: TaskAttempt, graceS: number, reason: string): void {
    const now = this.deps.runtime.clock.now();
    this.work.stops[reason] = (this.work.stops[reason] ?? 0) + 1;
    this.decisions.stopped(attempt, reason, now);
    this.deps.table.stop(attempt, { graceS, reason, replaced: false }, now);
  }

  // Starts.

  private mayPreempt(victim: TaskAttempt, job: Job): boolean {
    const v = victim.job;
    // The end of one task of a gang would end them all.
    if (!v || v.spec.kind === 'gang') return false;
    // As in `servingOrder`: work within its guarantee goes before more urgent work beyond one. If each could stop the
    // other, two teams on a full fleet would stop each other's tasks for ever, and none would ever end.
    if (job.spec.priority > 0 && this.guaranteed.has(v) && !this.guaranteed.has(job)) return false;
    if (v.spec.priority > job.spec.priority) return true;
    return (
      this.guaranteed.has(job) &&
      !this.guaranteed.has(v) &&
      v.spec.priority > 0 &&
      v.spec.team !== job.spec.team &&
      this.usage.exceedsGuarantee(v.spec.team)
    );
  }

  /** CPUs the job would use if there were room: its team's limit taken into account. */
  wantedCpus(job: Job): number {
    const team = this.usage.team(job.spec.team);
    const open = (job.attempts.size + job.pending()) * job.spec.cpus;
    return Math.min(open, team?.cpusMax ?? 0);
  }

  private nextAttempt(): number {
    return this.deps.attemptBase + this.attemptCount++;
  }

  /** CPUs a second that services asked for, of late. */
  serviceCpusPerSecond(): number {
    return this.history.serviceCpusPerSecond();
  }

  /** A job is known now, or has come back from a former leader. */
  jobAdded(job: Job): void {
    this.reservations.noteService(job);
    this.history.note(job);
    this.guaranteedAt = -Infinity;
  }

  /**
   * Starts whatever can start, and tells whether it stopped early. Like jobs are decided as a class: where one
   * finds no room, its likes don't look. Machines are scored once a job, not once a task.
   */
  runSchedulingCycle(): boolean {
    const now = this.deps.runtime.clock.now();
    const oldJobsOpen = this.deps.recoveryComplete();
    const waiting = [...this.deps.jobs.all()].filter(
      (job) => job.pending() > 0 && job.notBefore <= now && (job.createdInThisTerm || oldJobsOpen),
    );
    if (waiting.length === 0) return false;
    this.work.cycles++;
    this.updateGuaranteed(now);
    this.usage.setUnconfirmed(oldJobsOpen ? NONE_UNSEEN : unseenResources(this.deps.jobs.all()));
    const pass = this.beginPass(waiting, now, oldJobsOpen);
    for (const job of servingOrder(waiting, this.guaranteed, (j) => this.urgencyOf(j, pass))) {
      // In a large fleet a few shapes without room use up all looks: those behind them must come to their turn.
      if (pass.candidateBudget <= 0) this.noRoomBefore = pass.unschedulableShapes;
      if (pass.startBudget <= 0 || pass.candidateBudget <= 0) return true;
      expireFailedMachines(job, now);
      if (job.spec.kind === 'gang') this.placeGang(job, pass);
      else this.placeTasks(job, pass);
    }
    return pass.startBudget <= 0;
  }

  private updateGuaranteed(now: number): void {
    if (now - this.guaranteedAt < GUARANTEE_MS) return;
    this.guaranteedAt = now;
    this.guaranteed = withinGuarantee(this.deps.jobs.all(), this.usage);
  }

  private beginPass(waiting: Job[], now: number, oldJobsOpen: boolean): SchedulingCycle {
    const { roomy, full } = this.machines.byRoom(waiting);
    const noRoom = this.noRoomBefore;
    this.noRoomBefore = new Set();
    return {
      now,
      wallMs: this.deps.wallMs(),
      recoveryComplete: oldJobsOpen,
      context: {
        saveMoney: this.saveMoney,
        mayPreempt: (victim, job) => this.mayPreempt(victim, job),
      },
      withRoom: roomy,
      full,
      zones: new Set([...roomy, ...full].map((m) => m.zone)),
      leastUrgent: this.leastUrgent(),
      ordinarySpare: this.ordinarySpare(roomy),
      unschedulableShapes: noRoom,
      teamsAskedForRoom: new Set(),
      startBudget: STARTS_PER_PASS,
      candidateBudget: LOOKS_PER_PASS,
    };
  }

  private leastUrgent(): number {
    let least = 0;
    for (const job of this.deps.jobs.all())
      if (job.attempts.size > 0) least = Math.max(least, job.spec.priority);
    return least;
  }

  private ordinarySpare(roomy: Machine[]): number {
    const forGangs = GANGS_TO_EXPECT * this.history.gangCpus();
    if (forGangs < 1) return Infinity;
    return roomy.reduce((sum, m) => sum + (m.spot ? 0 : m.freeCpus()), 0) - forGangs;
  }

  private urgencyOf(job: Job, pass: SchedulingCycle): Urgency {
    const { cls, estimateS } = job.spec;
    const expected =
      this.timings.medianMs(job.index) ?? this.runTimes.expectedMs(cls, estimateS * 1000);
    const first = this.starved(job, pass.wallMs) || this.gangs.isOverdue(job);
    return urgency(job, this.goals, expected, pass.wallMs, first);
  }

  private mayStopOthers(job: Job, pass: SchedulingCycle): boolean {
    return job.spec.priority < pass.leastUrgent || this.guaranteed.has(job);
  }

  private placeGang(job: Job, pass: SchedulingCycle): void {
    const machines = this.reservations.withoutReserved(
      job,
      [...pass.withRoom, ...pass.full],
      pass.now,
    );
    pass.candidateBudget -= machines.length;
    this.work.candidatesExamined += machines.length;
    const placement = this.gangs.place(job, {
      context: pass.context,
      machines,
      mayPreempt: this.mayStopOthers(job, pass),
    });
    if (placement === 'placed') {
      pass.startBudget -= job.spec.tasks;
      this.work.starts += job.spec.tasks;
    }
    if (placement === 'no-room' && this.gangs.isOverdue(job)) this.gangs.reserve(job, machines);
  }

  /** An array that may use spot machines leaves ordinary ones to gangs for a while. */
  private isChoosy(job: Job, now: number): boolean {
    const { kind, spot } = job.spec;
    return (
      kind === 'array' && spot && !this.guaranteed.has(job) && now - job.startedAt <= CHOOSY_MS
    );
  }

  private placeTasks(job: Job, pass: SchedulingCycle): void {
    const choosy = this.isChoosy(job, pass.now);
    const likes = this.likesOf(job, pass, choosy);
    if (pass.unschedulableShapes.has(likes) || this.reservations.yieldsTeamLimit(job, pass.now))
      return;
    const headroomCpus = this.reservations.serviceHeadroom(job, pass.now);
    const starved = this.starved(job, pass.wallMs);
    let most = starved ? Math.ceil(job.spec.tasks * STARVED_JOB_SHARE) : Infinity;
    let candidates: Candidates | null = null;
    while (pass.startBudget > 0 && most-- > 0 && job.pending() > 0) {
      if (!this.usage.mayStart({ spec: job.spec, tasks: 1, headroomCpus })) {
        this.askTeam(job, pass);
        return;
      }
      candidates ??= this.candidatesFor(job, pass, choosy, likes);
      const machine = this.startNext(job, candidates, pass);
      if (!machine) return;
      // Once arrays have used up the spare ordinary room, the others are chosen without it.
      if (choosy && !machine.spot && pass.ordinarySpare <= 0) candidates = null;
    }
  }

  /** Jobs of one shape and with the same zones open: where one finds no room, the others don't either. */
  private likesOf(job: Job, pass: SchedulingCycle, choosy: boolean): string {
    // Replicas whose zones are closed must not cost all others their looks, pass after pass: see incident fleet-loss.
    const team = this.guaranteed.has(job) ? job.spec.team : '';
    return `${job.shapeKey}|${closedZones(job, pass.zones)}|${team}|${choosy}`;
  }

  private candidatesFor(
    job: Job,
    pass: SchedulingCycle,
    choosy: boolean,
    likes: string,
  ): Candidates {
    const all = this.mayStopOthers(job, pass) ? [...pass.withRoom, ...pass.full] : pass.withRoom;
    const open = this.reservations.withoutReserved(job, all, pass.now);
    const machines = choosy && pass.ordinarySpare <= 0 ? open.filter((m) => m.spot) : open;
    const candidates = new Candidates(job, machines, pass.context);
    pass.candidateBudget -= candidates.looked;
    this.work.candidatesExamined += candidates.looked;
    if (!candidates.any() && job.failedOn.size === 0) pass.unschedulableShapes.add(likes);
    return candidates;
  }

  /** Places the job's next task; null if no machine takes it. */
  private startNext(job: Job, candidates: Candidates, pass: SchedulingCycle): Machine | null {
    const taskNumber = job.peekNextTask();
    const choice = taskNumber < 0 ? null : candidates.best();
    if (!choice) return null;
    const { machine, victims } = choice;
    for (const victim of victims) this.stop(victim, 0, 'preempted');
    job.startedAt = pass.now;
    this.deps.table.addAttempt(machine, job.spec.id, job, taskNumber, this.nextAttempt(), pass.now);
    candidates.placed(machine);
    if (!machine.spot) pass.ordinarySpare -= job.spec.cpus;
    this.work.starts++;
    pass.startBudget--;
    return machine;
  }

  /** Nothing of it has begun for long: streams of smaller jobs must not keep a large one out for ever. */
  private starved(job: Job, wallMs: number): boolean {
    if (job.spec.kind !== 'array' || job.attempts.size > 0 || job.finishedCount > 0) return false;
    return wallMs - job.acceptedAt > STARVED_MS;
  }

  /** The job's team is at its limit: less urgent work of its own makes room for a production job. */
  private askTeam(job: Job, pass: SchedulingCycle): void {
    const { team, priority } = job.spec;
    if (priority === 0 && pass.recoveryComplete && !pass.teamsAskedForRoom.has(team))
      this.makeTeamRoom(job);
    pass.teamsAskedForRoom.add(team);
  }

  /** The start waits until the room is surely free. */
  private makeTeamRoom(job: Job): void {
    for (const victim of victimsForTeamRoom(job, this.deps.jobs.all()))
      this.stop(victim, 0, 'quota for a more urgent job');
  }

  /** Called at each tick of the leader. */
  tick(now: number): void {
    this.usageAudit.tick(now);
  }

  // Rounds.

  /** DESIGN's placement round. */
  round(): void {
    const { runtime, operator } = this.deps;
    const now = runtime.clock.now();
    if (now - this.lastRound < operator.round_s * 1000) return;
    this.lastRound = now;
    runtime.log.info({ ...this.work, unusable: this.machines.countUnusable() }, 'round');
    this.work = emptyPlacementWork();
    this.logTeams();
    this.rebalancer.round(now);
  }

  /** The teams that use or may use anything, those nearest to their limits first. */
  private logTeams(): void {
    const active = this.usage
      .quotaStatuses()
      .filter(({ used, unconfirmed, peakShare }) => used.cpus + unconfirmed.cpus + peakShare > 0)
      .sort((a, b) => b.peakShare - a.peakShare);
    this.usage.resetPeaks();
    if (active.length > 0)
      this.deps.runtime.log.info({ teams: active.slice(0, TEAMS_IN_LOG) }, 'team usage');
  }
}
