/** Starts gangs, replaces their missing tasks and aborts them. Nothing is started or stopped until all tasks fit. */
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

/** A gang that has found no capacity for this long goes first among the jobs of its rank and reserves machines. */
const RESERVE_AFTER_MS = 10_000;
/** How long a gang that was not placed waits until it is tried again. */
const RETRY_INTERVAL_MS = 500;
/** A replacement task must have its image at least this long before the first waiting task gives up. */
const REPLACEMENT_MARGIN_MS = 500;

/** Dependencies of `GangScheduler`. */
export interface GangSchedulerDependencies {
  table: MachineTable;
  usage: TeamUsage;
  reservations: Reservations;
  /** Seconds that a task that has its image waits for the others before it gives up. */
  gangWaitS: number;
  now(): number;
  nextAttempt(): number;
}

/** `not-now`: the gang can't start for now, for reasons other than capacity. */
export type GangPlacement = 'placed' | 'no-capacity' | 'not-now';

/** Restrictions on the placement of a gang in this scheduling cycle. */
export interface GangPlacementOptions {
  context: SelectionContext;
  /** Machines that the gang may be placed on; excludes those reserved for other jobs. */
  machines: Machine[];
  mayPreempt: boolean;
}

function allowedMachines(gang: Job, machines: Machine[]): Machine[] {
  return machines.filter(
    (machine) => satisfiesConstraints(gang.spec, machine) && !gang.failedOn.has(machine.index),
  );
}

/** Ensures that each gang runs as a whole or not at all, through its start, the loss of tasks and its abort. */
export class GangScheduler {
  constructor(private readonly deps: GangSchedulerDependencies) {}

  /** Whether the job is a waiting gang that has found no capacity for longer than `RESERVE_AFTER_MS`. */
  isOverdue(job: Job): boolean {
    if (job.spec.kind !== 'gang' || job.attempts.size > 0) return false;
    return this.deps.now() - job.lastStartAt > RESERVE_AFTER_MS;
  }

  /** Starts all tasks of a gang, or the missing tasks of one that is starting. */
  place(gang: Job, options: GangPlacementOptions): GangPlacement {
    const state = gangState(gang);
    if (state === 'stopping') return 'not-now';
    if (state === 'running') {
      this.abortAttempt(gang, 'gang-member-lost');
      return 'not-now';
    }
    gang.nextStartAt = this.deps.now() + RETRY_INTERVAL_MS;
    const placement = this.placeMissing(gang, options);
    // A part of a gang must not occupy capacity that other jobs, or the gang as a whole, could use.
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
      gang.lastStartAt = this.deps.now();
      return 'placed';
    }
    return 'no-capacity';
  }

  /** Reserves machines: other jobs are kept off them until the gang fits. */
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

  /**
   * Adds attempts of all the tasks, and returns the attempts that they preempt. Returns null, with none added, if not
   * all of them fit or one would not have its image in time.
   */
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
   * Handles a task of the gang that has left its machine. While the gang is starting, a task that was lost, was
   * rejected or had to leave its machine is replaced under the same attempt. Otherwise the whole gang stops and
   * restarts.
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

  /** Stops the whole gang immediately; progress since its last checkpoint is lost. */
  private abortAttempt(gang: Job, reason: StopReason): void {
    gang.gangAttemptAborted = gang.attempts.size > 0;
    for (const attempt of attemptsOf(gang)) this.stopNow(attempt, reason);
  }

  /**
   * Aborts an attempt whose tasks were not all ready in time. Tasks that still fetch their image continue until they
   * have it: an aborted fetch would start from scratch with the next attempt, which would then be too late again.
   */
  private abortAfterFetches(gang: Job): void {
    gang.gangAttemptAborted = gang.attempts.size > 0;
    for (const attempt of attemptsOf(gang))
      if (attempt.state !== 'fetching') this.stopNow(attempt, 'gang-start-timeout');
  }

  /** Called for each reported attempt of a gang: after an abort, stops attempts that have fetched their image. */
  attemptReported(gang: Job, attempt: TaskAttempt): void {
    if (gang.gangAttemptAborted && attempt.state === 'waiting')
      this.stopNow(attempt, 'gang-attempt-aborted');
  }

  private stopNow(attempt: TaskAttempt, reason: StopReason): void {
    this.deps.table.stop(attempt, { graceS: 0, reason, replaced: false }, this.deps.now());
  }
}
