/**
 * What the leader knows of a live job: which tasks are finished, which may be on a machine, which wait. What an attempt
 * is beyond its task number is left open, so that this module does not depend on machines.
 */
import type { JobSpec } from '../wire/model.js';
import { FinishedTasks } from './finished-tasks.js';
import { type StartableTasks, TaskQueue } from './task-queue.js';

/** Whether a job's end is stored. `ending`: the write is under way. */
export type JobEndState = 'live' | 'ending' | 'ended';

/** Jobs with the same key can be placed on the same machines, and compete for them alike. */
function shapeKeyOf(spec: JobSpec): string {
  return [
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.types?.join('+'),
    spec.zone,
    spec.spot,
    spec.kind,
    spec.priority,
  ].join('|');
}

/** What a job needs of an attempt at one of its tasks. */
export interface JobAttempt {
  readonly taskNumber: number;
}

/** A job's tasks and their state. `Job` is the type to use. */
export class TrackedJob<Attempt extends JobAttempt> implements StartableTasks {
  jobCancelled = false;
  readonly finished: FinishedTasks;
  /** Attempts that may be on a machine, by task number; normally one each. */
  readonly attempts = new Map<number, Attempt[]>();
  /** Tasks that run as far as is known: counted as they change, since there are many. */
  running = 0;
  private readonly queue: TaskQueue;
  private startableCount: number;
  /** When a task of it was last started, or it became known. */
  startedAt: number;
  /** After failures the job's next start waits until then. */
  notBefore = 0;
  failures = 0;
  /** Machines (by index) on which a task of this job failed since one last succeeded. */
  readonly failedOn = new Set<number>();
  /** Tasks moved once already: a task moves at most once. */
  readonly moved = new Set<number>();
  /** Of a gang: its attempt was given up, and nothing starts before all its tasks are gone. */
  gangAttemptAborted = false;
  readonly shapeKey: string;
  endState: JobEndState = 'live';

  constructor(
    /** Dense index, assigned when the job becomes known. */
    readonly index: number,
    readonly spec: JobSpec,
    /** Of its live record, as it was last read. */
    public version: number,
    /** Time of day of the acceptance, in milliseconds. */
    readonly acceptedAt: number,
    /** Surely created after the leader's term began: no former leader can have started any task of it. */
    readonly createdInThisTerm: boolean,
    now: number,
  ) {
    this.startedAt = now;
    this.finished = new FinishedTasks(spec.tasks);
    this.queue = new TaskQueue(spec.tasks, this);
    this.startableCount = spec.tasks;
    this.shapeKey = shapeKeyOf(spec);
  }

  isFinished(taskNumber: number): boolean {
    return this.finished.has(taskNumber);
  }

  get finishedCount(): number {
    return this.finished.count();
  }

  isStartable(taskNumber: number): boolean {
    return !this.finished.has(taskNumber) && !this.attempts.has(taskNumber);
  }

  /** Tasks that are neither finished nor possibly on a machine. */
  pending(): number {
    return this.jobCancelled ? 0 : this.startableCount;
  }

  /** Finished tasks as they were stored, one bit each. */
  loadFinished(firstTask: number, bits: Uint8Array): void {
    for (let i = 0; i < bits.length * 8; i++)
      if ((bits[i >> 3] & (1 << (i & 7))) !== 0) this.addFinished(firstTask + i);
  }

  private addFinished(taskNumber: number): boolean {
    if (!this.finished.add(taskNumber)) return false;
    if (!this.attempts.has(taskNumber)) this.startableCount--;
    return true;
  }

  /** The task is done; it has to be stored. */
  finish(taskNumber: number, now: number): void {
    if (this.addFinished(taskNumber)) this.finished.markDirty(taskNumber, now);
  }

  /** A gang's tasks complete together: one that is done tells it of all. */
  finishAll(now: number): void {
    for (let taskNumber = 0; taskNumber < this.spec.tasks; taskNumber++)
      this.finish(taskNumber, now);
  }

  /** What is stored tells that the task need not be started again. */
  isDurable(taskNumber: number): boolean {
    return this.endState === 'ended' || this.finished.isDurable(taskNumber);
  }

  isComplete(): boolean {
    return this.finished.count() === this.spec.tasks;
  }

  addAttempt(attempt: Attempt): void {
    const list = this.attempts.get(attempt.taskNumber);
    if (list) {
      list.push(attempt);
      return;
    }
    this.attempts.set(attempt.taskNumber, [attempt]);
    if (!this.finished.has(attempt.taskNumber)) this.startableCount--;
  }

  removeAttempt(attempt: Attempt): void {
    const { taskNumber } = attempt;
    const list = this.attempts.get(taskNumber);
    const position = list?.indexOf(attempt) ?? -1;
    if (!list || position < 0) return;
    list.splice(position, 1);
    if (list.length > 0) return;
    this.attempts.delete(taskNumber);
    if (this.attempts.size === 0) this.gangAttemptAborted = false;
    if (this.finished.has(taskNumber)) return;
    this.startableCount++;
    this.queue.requeue(taskNumber);
  }

  /** The task to start next; null: there is none. It stays next until an attempt of it is added. */
  peekNextTask(): number | null {
    return this.queue.peek();
  }
}
