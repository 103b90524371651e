/** Starts, completes, stops and gives up gangs. Room for all tasks is found before anything is started or stopped. */
import type { Log } from '../runtime.js';
import type { Job } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { StopRequest, TaskAttempt } from '../workers/task-attempt.js';
import {
  Candidates,
  type ChoiceContext,
  allowedOn,
  imageFetchSeconds,
} from './machine-selection.js';
import {
  attemptsOf,
  fitsWhole,
  gangAttempt,
  gangState,
  missingTasks,
  slots,
  waitLeftMs,
  zonesInTurn,
} from './gang-state.js';
import type { TeamUsage } from './team-usage.js';
import type { Reservations } from './reservations.js';

/** A gang that has found no room for so long goes first among its likes and reserves capacity. */
const RESERVE_AFTER_MS = 10_000;
/** How long a gang that was not placed waits for its next try. */
const RETRY_MS = 500;
/** A replacement must have its image this long before the first waiting task gives up. */
const REPLACEMENT_MARGIN_MS = 500;
/** An orderly stop is put off at most until this many reports fit before its latest moment. */
const REPORTS_BEFORE_STOP = 2;

export interface GangSchedulerDependencies {
  table: MachineTable;
  usage: TeamUsage;
  reservations: Reservations;
  log: Log;
  gangWaitS: number;
  gangPeerS: number;
  reportS: number;
  now(): number;
  nextAttempt(): number;
  /** Machines that may be given work. */
  usable(machine: Machine): boolean;
}

export type GangPlacement = 'placed' | 'no-room' | 'not-now';

export interface GangOptions {
  context: ChoiceContext;
  /** Machines that the gang may be placed on, without those reserved for others. */
  machines: Machine[];
  mayPreempt: boolean;
}

function allowedMachines(job: Job, machines: Machine[]): Machine[] {
  return machines.filter(
    (machine) => allowedOn(job.spec, machine) && !job.failedOn.has(machine.index),
  );
}

export class GangScheduler {
  constructor(private readonly deps: GangSchedulerDependencies) {}

  /** A waiting gang that has found no room for long. */
  isOverdue(job: Job): boolean {
    if (job.spec.kind !== 'gang' || job.attempts.size > 0) return false;
    return this.deps.now() - job.startedAt > RESERVE_AFTER_MS;
  }

  /** Starts a gang whole, or what is missing of one that gathers. */
  place(job: Job, options: GangOptions): GangPlacement {
    const state = gangState(job);
    if (state === 'leaving') return 'not-now';
    if (state === 'running') {
      this.abortAttempt(job, 'a task of the gang is gone');
      return 'not-now';
    }
    job.notBefore = this.deps.now() + RETRY_MS;
    const placement = this.placeMissing(job, options);
    // Half a gang must not occupy room that others, or the whole of it, could use.
    if (state === 'gathering' && placement !== 'placed')
      this.abortAttempt(job, 'no room for a missing task');
    return placement;
  }

  private placeMissing(job: Job, options: GangOptions): GangPlacement {
    const tasks = missingTasks(job);
    if (!this.fitsTeamLimit(job, tasks.length)) return 'not-now';
    const attempt = gangAttempt(job) ?? this.deps.nextAttempt();
    const allowed = allowedMachines(job, options.machines);
    for (const group of job.spec.oneZone ? zonesInTurn(job, allowed) : [allowed]) {
      const room = group.reduce((sum, machine) => sum + slots(job, machine), 0);
      if (!options.mayPreempt && room < tasks.length) continue;
      const victims = this.hold(job, tasks, group, options.context, attempt);
      if (!victims) continue;
      for (const victim of victims) this.stopOne(victim, 'preempted');
      job.startedAt = this.deps.now();
      return 'placed';
    }
    return 'no-room';
  }

  /** Keeps machines from other jobs until the gang fits on them. */
  reserve(job: Job, machines: Machine[]): void {
    this.deps.reservations.reserveMachines(job, allowedMachines(job, machines), this.deps.now());
  }

  private fitsTeamLimit(job: Job, tasks: number): boolean {
    const { usage, reservations } = this.deps;
    const request = { spec: job.spec, tasks, headroomCpus: 0 };
    if (usage.mayStart(request)) return true;
    if (!this.isOverdue(job)) return false;
    const arrays = reservations.usedByArrays(job.spec.team);
    if (usage.fitsWithout(request, arrays)) reservations.reserveTeamLimit(job, this.deps.now());
    return false;
  }

  /** Holds all the tasks on machines of the group, and returns whom they replace; null if they don't all fit. */
  private hold(
    job: Job,
    tasks: number[],
    group: Machine[],
    context: ChoiceContext,
    attempt: number,
  ): TaskAttempt[] | null {
    const now = this.deps.now();
    const candidates = new Candidates(job, group, context);
    const held: TaskAttempt[] = [];
    const victims: TaskAttempt[] = [];
    const waitLeft = waitLeftMs(job, this.deps.gangWaitS * 1000, now) - REPLACEMENT_MARGIN_MS;
    for (const task of tasks) {
      const choice = candidates.best();
      if (!choice || imageFetchSeconds(job.spec, choice.machine) * 1000 > waitLeft) {
        for (const attempt of held) this.deps.table.removeAttempt(attempt, now);
        return null;
      }
      victims.push(...choice.victims);
      held.push(this.deps.table.addAttempt(choice.machine, job.spec.id, job, task, attempt, now));
      candidates.placed(choice.machine);
    }
    return victims;
  }

  /**
   * A task of the gang is gone from its machine. While the gang gathers, one that vanished, was refused or had to
   * leave its machine is replaced under the same attempt. Otherwise the gang leaves, and starts again whole.
   */
  attemptEnded(job: Job, attempt: TaskAttempt): void {
    const { cause, stop, startSent } = attempt;
    if (!startSent || job.isComplete()) return;
    const replaceable =
      cause === null || cause === 'no_room' || cause === 'busy' || stop?.replaced === true;
    if (replaceable && gangState(job) === 'gathering') return;
    if (cause === 'incomplete') this.abortAfterFetches(job);
    else this.abortAttempt(job, 'a task of the gang is gone');
  }

  /** The whole gang leaves at once; progress since its last checkpoint is lost. */
  abortAttempt(job: Job, reason: string): void {
    job.gangAttemptAborted = job.attempts.size > 0;
    for (const attempt of attemptsOf(job)) this.stopOne(attempt, reason);
  }

  /**
   * The gang did not come together in time. Tasks that still fetch their image go on until they have it: a fetch
   * that is given up would begin anew with the next attempt, which would then come too late again.
   */
  private abortAfterFetches(job: Job): void {
    job.gangAttemptAborted = job.attempts.size > 0;
    for (const attempt of attemptsOf(job))
      if (attempt.state !== 'fetching')
        this.stopOne(attempt, 'the gang did not come together in time');
  }

  /** Called for each reported attempt of a gang. */
  attemptReported(job: Job, attempt: TaskAttempt): void {
    if (job.gangAttemptAborted && attempt.state === 'waiting')
      this.stopOne(attempt, 'its gang was given up');
  }

  private stopOne(attempt: TaskAttempt, reason: string): void {
    this.deps.table.stop(attempt, { graceS: 0, reason, replaced: false }, this.deps.now());
  }

  /**
   * The machine is to be left, within `leftS` seconds if it is under notice. Tells whether anything was done. A
   * gathering gang replaces the task; a running one saves and leaves whole, as soon as it fits elsewhere and all of
   * it can be told, or at the latest moment that leaves the time to save.
   */
  vacateMachine(attempt: TaskAttempt, job: Job, leftS: number, reason: string): boolean {
    const state = gangState(job);
    if (state === 'gathering') {
      const request: StopRequest = { graceS: 0, reason, replaced: true };
      this.deps.table.stop(attempt, request, this.deps.now());
      return true;
    }
    if (state !== 'running') return false;
    const { gangPeerS, reportS } = this.deps;
    const latestS = job.spec.saveS + gangPeerS + REPORTS_BEFORE_STOP * reportS;
    if (leftS > latestS && !this.canRelocate(job, attempt.machine)) return false;
    this.stopWithCheckpoint(job, reason, leftS);
    return true;
  }

  /** Does the whole gang fit elsewhere, and can all of its machines be told to stop? */
  canRelocate(job: Job, from: Machine): boolean {
    if (!this.allReachable(job)) return false;
    const targets = [...this.deps.table.all()].filter(
      (m) => m !== from && !m.isStraggler && this.deps.usable(m) && allowedOn(job.spec, m),
    );
    return fitsWhole(job, targets);
  }

  private allReachable(job: Job): boolean {
    return attemptsOf(job).every(
      ({ machine }) => machine.isReconciled() && machine.commandFailures === 0,
    );
  }

  /**
   * Tells all tasks in one go, with the time to save, so that the next attempt continues from there. Where that
   * can't work, since a machine is out of reach or the time too short, the gang falls back to its last checkpoint.
   */
  stopWithCheckpoint(job: Job, reason: string, leftS = Infinity): void {
    const { saveS, checkpointS } = job.spec;
    const saves = checkpointS > 0 && saveS <= leftS && this.allReachable(job);
    if (!saves) this.deps.log.info({ job: job.spec.id, reason }, 'gang stops without saving');
    const request: StopRequest = { graceS: saves ? saveS : 0, reason, replaced: false };
    for (const attempt of attemptsOf(job)) this.deps.table.stop(attempt, request, this.deps.now());
  }
}
