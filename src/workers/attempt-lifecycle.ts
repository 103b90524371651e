/** The life cycle of task attempts on machines: addition, state changes, removal, and the resources they occupy. */
import type { CommandBacklog } from './command-backlog.js';
import type { Machine } from './machine.js';
import {
  type AttemptState,
  type TaskAttempt,
  attemptKey,
  isAllowedTransition,
} from './task-attempt.js';

/** Callbacks of the machine table when attempts are added and when they end. */
export interface AttemptEvents {
  /** From now on the task may be on the machine. */
  attemptAdded(attempt: TaskAttempt): void;
  /** The attempt is `fencing`: its machine should report the token for it as soon as possible. */
  fenceRequired(attempt: TaskAttempt): void;
  /**
   * The task is guaranteed not to be on the machine any more; `attempt.state` indicates whether it exited or was
   * removed. Called once per attempt.
   */
  attemptEnded(attempt: TaskAttempt): void;
}

/** Adds attempts to machines. Attempts change their state only here. */
export class AttemptLifecycle {
  constructor(
    private readonly events: AttemptEvents,
    private readonly backlog: CommandBacklog,
  ) {}

  insert(attempt: TaskAttempt): TaskAttempt {
    const { machine } = attempt;
    machine.attempts.set(
      attemptKey(attempt.jobId, attempt.taskNumber, attempt.attemptNumber),
      attempt,
    );
    accountResources(attempt, 1);
    this.events.attemptAdded(attempt);
    this.backlog.markPending(machine);
    return attempt;
  }

  /**
   * Changes the state of an attempt; transitions that are not allowed are ignored. The resources of an attempt are
   * released only here, and the two final states have no successor. So a later event that ends the attempt again, such
   * as the refusal of a start whose machine has begun a new incarnation in the meantime, releases nothing twice.
   */
  transitionTo(attempt: TaskAttempt, next: AttemptState, now: number): void {
    if (next === attempt.state || !isAllowedTransition(attempt.state, next)) return;
    const isFinal = next === 'exited' || next === 'removed';
    if (isFinal) accountResources(attempt, -1);
    else adjustFetchCount(attempt, Number(next === 'fetching') - Number(isFetching(attempt)));
    if (attempt.state === 'running' && attempt.job) attempt.job.running--;
    attempt.state = next;
    attempt.startUnacknowledged = next === 'fencing';
    if (isFinal) this.afterFinalTransition(attempt, now);
    else if (next === 'fencing') this.requireFence(attempt);
    else if (next === 'waiting' || next === 'running') recordWaitingOrRunning(attempt, next, now);
  }

  private requireFence(attempt: TaskAttempt): void {
    this.backlog.markPending(attempt.machine);
    this.events.fenceRequired(attempt);
  }

  private afterFinalTransition(attempt: TaskAttempt, now: number): void {
    recordIfEmpty(attempt.machine, now);
    // The machine has to be sent a forget command for the attempt.
    if (attempt.state === 'exited') this.backlog.outstanding.add(attempt.machine);
    this.events.attemptEnded(attempt);
  }

  /**
   * Removes an attempt that is guaranteed not to be on the machine: it was never executed, was killed with its
   * incarnation, or the machine no longer exists.
   */
  remove(attempt: TaskAttempt, now: number): void {
    const key = attemptKey(attempt.jobId, attempt.taskNumber, attempt.attemptNumber);
    // The replacement of a gang task has the same key: a late event of the replaced task must not remove it.
    if (attempt.machine.attempts.get(key) === attempt) attempt.machine.attempts.delete(key);
    this.transitionTo(attempt, 'removed', now);
  }

  removeAll(machine: Machine, now: number): void {
    for (const attempt of [...machine.attempts.values()]) this.remove(attempt, now);
  }
}

function isFetching(attempt: TaskAttempt): boolean {
  return attempt.state === 'starting' || attempt.state === 'fetching';
}

function adjustFetchCount(attempt: TaskAttempt, change: number): void {
  if (!attempt.job) return;
  const { fetching } = attempt.machine;
  const count = (fetching.get(attempt.job.spec.image) ?? 0) + change;
  if (count > 0) fetching.set(attempt.job.spec.image, count);
  else fetching.delete(attempt.job.spec.image);
}

function accountResources(attempt: TaskAttempt, sign: 1 | -1): void {
  if (!attempt.job) return;
  const { cpus, gpus, memoryGb } = attempt.job.spec;
  attempt.machine.usedCpus += sign * cpus;
  attempt.machine.usedGpus += sign * gpus;
  attempt.machine.usedMemory += sign * memoryGb;
  if (attempt.job.spec.kind === 'service') attempt.machine.serviceTasks += sign;
  if (isFetching(attempt)) adjustFetchCount(attempt, sign);
}

/**
 * Records that a task waits for its gang or runs: the time of the change, that the machine has the task's image, and
 * the number of running tasks of the job.
 */
function recordWaitingOrRunning(
  attempt: TaskAttempt,
  state: 'waiting' | 'running',
  now: number,
): void {
  if (attempt.job) attempt.machine.images.add(attempt.job.spec.image);
  if (state === 'waiting') {
    attempt.waitingSince = now;
    return;
  }
  if (attempt.job) attempt.job.running++;
  // A task that was already running when it was discovered gets no start time: measured from here, its run time would
  // be too short, and other tasks would seem slow in comparison.
  if (!attempt.startTimeUnknown) attempt.runningSince = now;
}

/** Whether no task may be on the machine, whatever it uses; the machine may still report exited attempts. */
export function isEmpty(machine: Machine): boolean {
  for (const attempt of machine.attempts.values()) if (attempt.mayBeOnMachine()) return false;
  return true;
}

function recordIfEmpty(machine: Machine, now: number): void {
  if (isEmpty(machine)) machine.emptySince = now;
}
