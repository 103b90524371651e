/** Starts gangs, replaces their missing tasks and aborts them. No task is started or preempted until all tasks fit. */
import type { Job } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { StopReason } from '../workers/stop-reason.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { AttemptStopper } from './attempt-stopper.js';
import { placementGroups, totalTaskSlots } from './gang-capacity.js';
import {
  attemptsOf,
  gangAttemptNumber,
  gangState,
  missingTasks,
  remainingWaitMs,
} from './gang-state.js';
import {
  MachineCandidates,
  type SelectionContext,
  imageFetchSeconds,
} from './machine-candidates.js';
import { satisfiesConstraints } from './machine-constraints.js';
import type { Reservations } from './reservations.js';
import type { TeamUsage } from './team-usage.js';

/**
 * A waiting gang that was last started, or became known, this long ago goes first among the jobs of its rank (see
 * `servingOrder`) and reserves machines or its team's limit.
 */
const GANG_STARVATION_THRESHOLD_MS = 10_000;
/** How long a gang that was not placed waits until it is tried again. */
const RETRY_INTERVAL_MS = 500;
/** A replacement task must have its image at least this long before the first waiting task gives up. */
const REPLACEMENT_MARGIN_MS = 500;

/** Dependencies of `GangScheduler`. */
export interface GangSchedulerDependencies {
  table: MachineTable;
  stopper: AttemptStopper;
  usage: TeamUsage;
  reservations: Reservations;
  /** Seconds that a task that has its image waits for the others before it gives up. */
  gangWaitS: number;
  now(): number;
  nextAttemptNumber(): number;
}

/**
 * `no-capacity`: the machines can't take all missing tasks. `not-now`: the gang is stopping, was aborted just now, or
 * does not fit under its team's limit.
 */
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

  /**
   * Whether the job is a gang without attempts whose last start, or else the time when it became known, was more than
   * `GANG_STARVATION_THRESHOLD_MS` ago, whether it waits for capacity, its team's limit or a delay.
   */
  isStarvedGang(job: Job): boolean {
    if (job.spec.kind !== 'gang' || job.attempts.size > 0) return false;
    return this.deps.now() - job.lastStartAt > GANG_STARVATION_THRESHOLD_MS;
  }

  /**
   * Starts all tasks of a gang, or the missing tasks of one that is starting. Aborts a running gang with missing tasks,
   * and a starting one whose missing tasks can't be started. Does nothing to a gang that is stopping.
   */
  place(gang: Job, options: GangPlacementOptions): GangPlacement {
    const state = gangState(gang);
    if (state === 'stopping') return 'not-now';
    if (state === 'running') {
      this.abortGang(gang, 'gang-member-lost');
      return 'not-now';
    }
    gang.nextStartAt = this.deps.now() + RETRY_INTERVAL_MS;
    const placement = this.placeMissing(gang, options);
    // A part of a gang must not occupy capacity that other jobs, or the gang as a whole, could use.
    if (state === 'starting' && placement !== 'placed')
      this.abortGang(gang, 'gang-member-unschedulable');
    return placement;
  }

  private placeMissing(gang: Job, options: GangPlacementOptions): GangPlacement {
    const tasks = missingTasks(gang);
    if (!this.fitsOrReservesTeamLimit(gang, tasks.length)) return 'not-now';
    const attemptNumber = gangAttemptNumber(gang) ?? this.deps.nextAttemptNumber();
    const allowed = allowedMachines(gang, options.machines);
    for (const group of placementGroups(gang, allowed)) {
      const slots = totalTaskSlots(gang, group);
      if (!options.mayPreempt && slots < tasks.length) continue;
      const candidates = new MachineCandidates(gang, group, options.context);
      const victims = this.addAllOrNone(gang, tasks, candidates, attemptNumber);
      if (!victims) continue;
      for (const victim of victims) this.deps.stopper.stopNow(victim, 'preempted');
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

  /**
   * Whether the tasks fit under the team's limit. If not, reserves the limit for a starved gang that will fit once the
   * team's arrays have ended.
   */
  private fitsOrReservesTeamLimit(gang: Job, tasks: number): boolean {
    const { usage, reservations } = this.deps;
    const request = { spec: gang.spec, tasks, headroomCpus: 0 };
    if (usage.mayStart(request)) return true;
    if (!this.isStarvedGang(gang)) return false;
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
   * rejected or had to leave its machine is replaced with the same attempt number. Otherwise the whole gang stops and
   * restarts.
   */
  attemptEnded(gang: Job, attempt: TaskAttempt): void {
    const { cause, stop, startSent } = attempt;
    if (!startSent || gang.isComplete()) return;
    const isReplaceable =
      cause === null || cause === 'no_room' || cause === 'busy' || stop?.replaced === true;
    if (isReplaceable && gangState(gang) === 'starting') return;
    if (cause === 'incomplete') this.abortAfterFetches(gang);
    else this.abortGang(gang, 'gang-member-lost');
  }

  /** Stops the whole gang immediately; progress since its last checkpoint is lost. */
  private abortGang(gang: Job, reason: StopReason): void {
    gang.gangAttemptAborted = gang.attempts.size > 0;
    for (const attempt of attemptsOf(gang)) this.deps.stopper.stopNow(attempt, reason);
  }

  /**
   * Aborts a start of the gang whose tasks were not all ready in time. Tasks that still fetch their image continue
   * until they have it: an aborted fetch would start from scratch with the next start of the gang, which would then be
   * too late again.
   */
  private abortAfterFetches(gang: Job): void {
    gang.gangAttemptAborted = gang.attempts.size > 0;
    for (const attempt of attemptsOf(gang))
      if (attempt.state !== 'fetching') this.deps.stopper.stopNow(attempt, 'gang-start-timeout');
  }

  /** Called for each reported attempt of a gang: after an abort, stops attempts that have fetched their image. */
  attemptReported(gang: Job, attempt: TaskAttempt): void {
    if (gang.gangAttemptAborted && attempt.state === 'waiting')
      this.deps.stopper.stopNow(attempt, 'gang-attempt-aborted');
  }
}
