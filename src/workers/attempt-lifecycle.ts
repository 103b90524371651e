/** How task attempts come onto machines, change their state and go, and what they occupy meanwhile. */
import type { CommandBacklog } from './command-backlog.js';
import type { Machine } from './machine.js';
import {
  type AttemptState,
  type TaskAttempt,
  attemptKey,
  isAllowedTransition,
} from './task-attempt.js';

/** Told by the machine table as attempts come and go. */
export interface AttemptEvents {
  /** The task may now be on the machine. */
  attemptAdded(attempt: TaskAttempt): void;
  /** The task is surely not on the machine any more; `attempt.state` tells whether it exited or was removed. Told once. */
  attemptEnded(attempt: TaskAttempt): void;
}

/** Adds attempts to machines, and is the one place where their state changes. */
export class AttemptLifecycle {
  constructor(
    private readonly events: AttemptEvents,
    private readonly backlog: CommandBacklog,
  ) {}

  insert(attempt: TaskAttempt): TaskAttempt {
    const { machine } = attempt;
    machine.attempts.set(attemptKey(attempt.jobId, attempt.taskNumber, attempt.attempt), attempt);
    accountResources(attempt, 1);
    this.events.attemptAdded(attempt);
    this.backlog.markPending(machine);
    return attempt;
  }

  /**
   * What an attempt occupies is released here alone, and the two final states have no successor: whatever else tells
   * later that the attempt is gone, such as the refusal of a start whose machine has begun a new incarnation
   * meanwhile, releases nothing again.
   */
  transitionTo(attempt: TaskAttempt, next: AttemptState, now: number): void {
    if (next === attempt.state || !isAllowedTransition(attempt.state, next)) return;
    const isFinal = next === 'exited' || next === 'removed';
    if (isFinal) accountResources(attempt, -1);
    else if (isFetching(attempt) && next !== 'fetching') adjustFetchCount(attempt, -1);
    if (attempt.state === 'running' && attempt.job) attempt.job.running--;
    attempt.state = next;
    attempt.startUnacknowledged = false;
    if (isFinal) this.afterFinalTransition(attempt, now);
    else if (next === 'waiting' || next === 'running') recordImagePresent(attempt, next, now);
  }

  private afterFinalTransition(attempt: TaskAttempt, now: number): void {
    recordIfEmpty(attempt.machine, now);
    // It has to be told to forget the attempt.
    if (attempt.state === 'exited') this.backlog.outstanding.add(attempt.machine);
    this.events.attemptEnded(attempt);
  }

  /** Surely not on the machine: never executed, killed with its incarnation, or the machine is gone. */
  remove(attempt: TaskAttempt, now: number): void {
    const key = attemptKey(attempt.jobId, attempt.taskNumber, attempt.attempt);
    // A gang's replacement has the same number: a late word of the task that it replaces must not remove it.
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

function adjustFetchCount(attempt: TaskAttempt, sign: 1 | -1): void {
  if (!attempt.job) return;
  const { fetching } = attempt.machine;
  const count = (fetching.get(attempt.job.spec.image) ?? 0) + sign;
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

/** The machine has the attempt's image: the task waits for its gang, or runs. */
function recordImagePresent(attempt: TaskAttempt, state: 'waiting' | 'running', now: number): void {
  if (attempt.job) attempt.machine.images.add(attempt.job.spec.image);
  if (state === 'waiting') {
    attempt.waitingSince = now;
    return;
  }
  if (attempt.job) attempt.job.running++;
  // A former leader's tasks are seen in the middle: timed from here they would make all others look slow.
  if (!attempt.discovered) attempt.runningSince = now;
}

function recordIfEmpty(machine: Machine, now: number): void {
  for (const attempt of machine.attempts.values()) if (attempt.onMachine()) return;
  machine.emptySince = now;
}
