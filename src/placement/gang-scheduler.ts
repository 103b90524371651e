/** Starts, completes and aborts gangs. All tasks find capacity before anything is started or stopped. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { StopReason } from '../workers/stop-reason.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import { placementGroups, totalTaskSlots } from './gang-capacity.js';
import { attemptsOf, gangAttempt, gangState, missingTasks, remainingWaitMs } from './gang-state.js';
import {
  MachineCandidates,
  type SelectionContext,
  imageFetchSeconds,
} from './machine-candidates.js';
import { satisfiesConstraints } from './machine-constraints.js';
import type { Reservations } from './reservations.js';
import type { TeamUsage } from './team-usage.js';

/** A gang that has found no capacity for so long goes first among those of its rank and reserves machines. */
const RESERVE_AFTER_MS = 10_000;
/** How long a gang that was not placed waits for its next try. */
const RETRY_INTERVAL_MS = 500;
/** A replacement must have its image this long before the first waiting task gives up. */
const REPLACEMENT_MARGIN_MS = 500;

/** What gang scheduling works on. */
export interface GangSchedulerDependencies {
  table: MachineTable;
  usage: TeamUsage;
  reservations: Reservations;
  /** How many seconds a task that has its image waits for the others before it gives up. */
  gangWaitS: number;
  now(): number;
  nextAttempt(): number;
}

/** `not-now`: other conditions than capacity keep the gang from starting. */
export type GangPlacement = 'placed' | 'no-capacity' | 'not-now';

/** Where and how a gang may be placed in this scheduling cycle. */
export interface GangPlacementOptions {
  context: SelectionContext;
  /** Machines that the gang may be placed on, without those reserved for others. */
  machines: Machine[];
  mayPreempt: boolean;
}

function allowedMachines(gang: Job, machines: Machine[]): Machine[] {
  return machines.filter(
    (machine) => satisfiesConstraints(gang.spec, machine) && !gang.failedOn.has(machine.index),
  );
}

/** Keeps each gang on machines as a whole, through its start, the loss of tasks and its abort. */
export class GangScheduler {
  constructor(private readonly deps: GangSchedulerDependencies) {}

  /** A waiting gang that has found no capacity for long. */
  isOverdue(job: Job): boolean {
    if (job.spec.kind !== 'gang' || job.attempts.size > 0) return false;
    return this.deps.now() - job.startedAt > RESERVE_AFTER_MS;
  }

  /** Starts a gang whole, or what is missing of one that is starting. */
  place(gang: Job, options: GangPlacementOptions): GangPlacement {
    const state = gangState(gang);
    if (state === 'stopping') return 'not-now';
    if (state === 'running') {
      this.abortAttempt(gang, 'gang-member-lost');
      return 'not-now';
    }
    gang.notBefore = this.deps.now() + RETRY_INTERVAL_MS;
    const placement = this.placeMissing(gang, options);
    // Half a gang must not occupy capacity that others, or the whole of it, could use.
    if (state === 'starting' && placement !== 'placed')
      this.abortAttempt(gang, 'gang-member-unschedulable');
    return placement;
  }

  private placeMissing(gang: Job, options: GangPlacementOptions): GangPlacement {
    const tasks = missingTasks(gang);
    if (!this.fitsTeamLimit(gang, tasks.length)) return 'not-now';
    const attempt = gangAttempt(gang) ?? this.deps.nextAttempt();
    const allowed = allowedMachines(gang, options.machines);
    for (const group of placementGroups(gang, allowed)) {
      const slots = totalTaskSlots(gang, group);
      if (!options.mayPreempt && slots < tasks.length) continue;
      const candidates = new MachineCandidates(gang, group, options.context);
      const victims = this.addAllOrNone(gang, tasks, candidates, attempt);
      if (!victims) continue;
      for (const victim of victims) this.stopNow(victim, 'preempted');
      gang.startedAt = this.deps.now();
      return 'placed';
    }
    return 'no-capacity';
  }

  /** Keeps machines from other jobs until the gang fits on them. */
  reserve(gang: Job, machines: Machine[]): void {
    const allowed = allowedMachines(gang, machines);
    this.deps.reservations.reserveMachines(gang, allowed, this.deps.now());
  }

  private fitsTeamLimit(gang: Job, tasks: number): boolean {
    const { usage, reservations } = this.deps;
    const request = { spec: gang.spec, tasks, headroomCpus: 0 };
    if (usage.mayStart(request)) return true;
    if (!this.isOverdue(gang)) return false;
    const arrays = reservations.usedByArrays(gang.spec.team);
    if (usage.fitsWithout(request, arrays)) reservations.reserveTeamLimit(gang, this.deps.now());
    return false;
  }

  /** Adds attempts of all the tasks, and returns whom they replace; null, with none added, if they don't all fit. */
  private addAllOrNone(
    gang: Job,
    tasks: number[],
    candidates: MachineCandidates,
    attemptNumber: number,
  ): TaskAttempt[] | null {
    const { table, gangWaitS } = this.deps;
    const now = this.deps.now();
    const added: TaskAttempt[] = [];
    const victims: TaskAttempt[] = [];
    const fetchLimitMs = remainingWaitMs(gang, gangWaitS * 1000, now) - REPLACEMENT_MARGIN_MS;
    for (const task of tasks) {
      const choice = candidates.selectBest();
      if (!choice || imageFetchSeconds(gang.spec, choice.machine) * 1000 > fetchLimitMs) {
        for (const attempt of added) table.removeAttempt(attempt, now);
        return null;
      }
      victims.push(...choice.victims);
      added.push(table.addAttempt(choice.machine, gang.spec.id, gang, task, attemptNumber, now));
      candidates.recordPlacement(choice.machine);
    }
    return victims;
  }

  /**
   * A task of the gang has left its machine. While the gang starts, one that is lost, was rejected or had to
   * leave its machine is replaced under the same attempt. Otherwise the whole gang stops, and starts again.
   */
  attemptEnded(gang: Job, attempt: TaskAttempt): void {
    const { cause, stop, startSent } = attempt;
    if (!startSent || gang.isComplete()) return;
    const isReplaceable =
      cause === null || cause === 'no_room' || cause === 'busy' || stop?.replaced === true;
    if (isReplaceable && gangState(gang) === 'starting') return;
    if (cause === 'incomplete') this.abortAfterFetches(gang);
    else this.abortAttempt(gang, 'gang-member-lost');
  }

  /** The whole gang stops at once; progress since its last checkpoint is lost. */
  private abortAttempt(gang: Job, reason: StopReason): void {
    gang.gangAttemptAborted = gang.attempts.size > 0;
    for (const attempt of attemptsOf(gang)) this.stopNow(attempt, reason);
  }

  /**
   * Not all tasks were ready in time. Tasks that still fetch their image go on until they have it: a fetch that is
   * aborted would begin anew with the next attempt, which would then be too late again.
   */
  private abortAfterFetches(gang: Job): void {
    gang.gangAttemptAborted = gang.attempts.size > 0;
    for (const attempt of attemptsOf(gang))
      if (attempt.state !== 'fetching') this.stopNow(attempt, 'gang-start-timeout');
  }

  /** Called for each reported attempt of a gang: after an abort, those that have their image stop, too. */
  attemptReported(gang: Job, attempt: TaskAttempt): void {
    if (gang.gangAttemptAborted && attempt.state === 'waiting')
      this.stopNow(attempt, 'gang-attempt-aborted');
  }

  private stopNow(attempt: TaskAttempt, reason: StopReason): void {
    this.deps.table.stop(attempt, { graceS: 0, reason, replaced: false }, this.deps.now());
  }
}
