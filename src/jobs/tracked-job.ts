/**
 * The leader's state of a live job: which tasks are finished, which may be on a machine, and which are pending. The
 * type of attempts is a parameter that requires only a task number, so that this module does not depend on machines.
 */
import type { JobSpec } from '../wire/model.js';
import { FinishedTasks } from './finished-tasks.js';
import { type StartableTasks, TaskQueue } from './task-queue.js';

/** Whether the terminal state of a job is stored. `live`: no; `ending`: its write is in progress; `ended`: yes. */
export type JobEndState = 'live' | 'ending' | 'ended';

/** Returns a key that is equal for jobs that can be placed on the same machines and compete for them equally. */
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

/** The properties of a task attempt that a job uses. */
export interface JobAttempt {
  readonly taskNumber: number;
}

/** A live job with the state of its tasks. Use the alias `Job`, which fixes the type parameter; see `job.ts`. */
export class TrackedJob<Attempt extends JobAttempt> implements StartableTasks {
  jobCancelled = false;
  readonly finished: FinishedTasks;
  /** Attempts that may be on a machine, by task number; normally one per task. */
  readonly attempts = new Map<number, Attempt[]>();
  /** Number of tasks known to be running. Updated on each change, since jobs can have many tasks. */
  running = 0;
  private readonly queue: TaskQueue;
  private startableCount: number;
  /** When a task of the job was last started, or when the leader learned of the job if none was started since. */
  lastStartAt: number;
  /** Earliest time of the next start of a task of the job, after failures. */
  nextStartAt = 0;
  failures = 0;
  /** Machines (by index) on which a task of this job failed since a task of it last succeeded. */
  readonly failedOn = new Set<number>();
  /** Tasks that were already moved: a task is moved at most once. */
  readonly moved = new Set<number>();
  /**
   * Only for gangs: the current attempt of the whole gang, whose tasks share one attempt number, was aborted. No task
   * starts before all tasks of the gang have exited or were removed.
   */
  gangAttemptAborted = false;
  readonly shapeKey: string;
  endState: JobEndState = 'live';

  constructor(
    /** Dense index, assigned when the leader learns of the job. */
    readonly index: number,
    readonly spec: JobSpec,
    /** Version of the live record at the last read. */
    public version: number,
    /** Wall-clock time of the acceptance, in milliseconds since the Unix epoch. */
    readonly acceptedAt: number,
    /**
     * Whether the job is guaranteed to have been created after the leader's term began, so that no former leader can
     * have started its tasks.
     */
    readonly createdInThisTerm: boolean,
    now: number,
  ) {
    this.lastStartAt = now;
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

  /** Number of tasks that are neither finished nor possibly on a machine; 0 if the job is cancelled. */
  pending(): number {
    return this.jobCancelled ? 0 : this.startableCount;
  }

  /** Adds finished tasks from a stored record, with one bit per task. */
  loadFinished(firstTask: number, bits: Uint8Array): void {
    for (let i = 0; i < bits.length * 8; i++)
      if ((bits[i >> 3] & (1 << (i & 7))) !== 0) this.addFinished(firstTask + i);
  }

  private addFinished(taskNumber: number): boolean {
    if (!this.finished.add(taskNumber)) return false;
    if (!this.attempts.has(taskNumber)) this.startableCount--;
    return true;
  }

  /** Marks a task as finished, and its block to be written. */
  finish(taskNumber: number, now: number): void {
    if (this.addFinished(taskNumber)) this.finished.markDirty(taskNumber, now);
  }

  /** Marks all tasks as finished. The tasks of a gang complete together, so one finished task implies all. */
  finishAll(now: number): void {
    for (let taskNumber = 0; taskNumber < this.spec.tasks; taskNumber++)
      this.finish(taskNumber, now);
  }

  /** Whether the stored state shows that the task need not be restarted: it is finished, or its job is terminal. */
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

  /** Returns the task to start next, or null. The result is the same until an attempt of that task is added. */
  peekNextTask(): number | null {
    return this.queue.peek();
  }
}
