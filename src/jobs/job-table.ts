/**
 * The live jobs as the leader knows them: which tasks are finished, which may be on a machine, which wait.
 */
import type { JobSpec } from '../wire/model.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import { CHUNK } from './records.js';

/** One live job in the leader's tables. */
export class Job {
  jobCancelled = false;
  readonly finished: Uint8Array;
  finishedCount = 0;
  /** Chunks of `finished` with numbers not yet durable, and when the oldest of them came. */
  readonly dirty = new Map<number, number>();
  /** Entries that may be on a machine, by task number; normally one each. */
  readonly attempts = new Map<number, TaskAttempt[]>();
  /** Tasks that run as far as is known: counted as they change, since there are many. */
  running = 0;
  private readonly requeued: number[] = [];
  private readonly isRequeued = new Set<number>();
  private nextUnstarted = 0;
  private waiting: number;
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
  ended: 'no' | 'writing' | 'yes' = 'no';

  constructor(
    /** Dense index, assigned when the job becomes known. */
    readonly index: number,
    readonly spec: JobSpec,
    public version: number,
    /** Time of day of the acceptance, in milliseconds. */
    readonly acceptedAt: number,
    /** Surely created after the leader's claim: no former leader can have started any task of it. */
    readonly createdInThisTerm: boolean,
    now: number,
  ) {
    this.startedAt = now;
    this.finished = new Uint8Array(Math.ceil(spec.tasks / 8));
    this.waiting = spec.tasks;
    const s = spec;
    this.shapeKey = [
      s.cpus,
      s.gpus,
      s.memoryGb,
      s.types?.join('+'),
      s.zone,
      s.spot,
      s.kind,
      s.priority,
    ].join('|');
  }

  isFinished(taskNumber: number): boolean {
    return (this.finished[taskNumber >> 3] & (1 << (taskNumber & 7))) !== 0;
  }

  /** Tasks that are neither finished nor possibly on a machine. */
  pending(): number {
    return this.jobCancelled ? 0 : this.waiting;
  }

  /** Finished tasks as they were stored, one bit each. */
  loadFinished(firstTask: number, bits: Uint8Array): void {
    for (let i = 0; i < bits.length * 8; i++) {
      const taskNumber = firstTask + i;
      if (taskNumber < this.spec.tasks && (bits[i >> 3] & (1 << (i & 7))) !== 0)
        this.setFinished(taskNumber);
    }
  }

  private setFinished(taskNumber: number): boolean {
    if (this.isFinished(taskNumber)) return false;
    this.finished[taskNumber >> 3] |= 1 << (taskNumber & 7);
    this.finishedCount++;
    if (!this.attempts.has(taskNumber)) this.waiting--;
    return true;
  }

  finish(taskNumber: number, now: number): void {
    if (taskNumber >= this.spec.tasks || !this.setFinished(taskNumber)) return;
    const chunk = Math.floor(taskNumber / CHUNK);
    if (!this.dirty.has(chunk)) this.dirty.set(chunk, now);
  }

  /** All that is finished has to be written again: the chunks that hold any of it. */
  markAllDirty(now: number): Set<number> {
    const chunks = new Set<number>();
    const bytesPerChunk = CHUNK / 8;
    for (let chunk = 0; chunk * CHUNK < this.spec.tasks; chunk++) {
      const bytes = this.finished.subarray(chunk * bytesPerChunk, (chunk + 1) * bytesPerChunk);
      if (!bytes.some((byte) => byte !== 0)) continue;
      chunks.add(chunk);
      if (!this.dirty.has(chunk)) this.dirty.set(chunk, now);
    }
    return chunks;
  }

  /** A gang's tasks complete together: one that is done tells it of all. */
  finishAll(now: number): void {
    for (let taskNumber = 0; taskNumber < this.spec.tasks; taskNumber++)
      this.finish(taskNumber, now);
  }

  isDurable(taskNumber: number): boolean {
    return (
      this.ended === 'yes' ||
      (this.isFinished(taskNumber) && !this.dirty.has(Math.floor(taskNumber / CHUNK)))
    );
  }

  isComplete(): boolean {
    return this.finishedCount === this.spec.tasks;
  }

  addAttempt(e: TaskAttempt): void {
    const list = this.attempts.get(e.taskNumber);
    if (list) {
      list.push(e);
      return;
    }
    this.attempts.set(e.taskNumber, [e]);
    if (!this.isFinished(e.taskNumber)) this.waiting--;
  }

  removeAttempt(e: TaskAttempt): void {
    const list = this.attempts.get(e.taskNumber);
    const i = list?.indexOf(e) ?? -1;
    if (!list || i < 0) return;
    list.splice(i, 1);
    if (list.length > 0) return;
    this.attempts.delete(e.taskNumber);
    if (this.attempts.size === 0) this.gangAttemptAborted = false;
    if (this.isFinished(e.taskNumber)) return;
    this.waiting++;
    if (e.taskNumber < this.nextUnstarted && !this.isRequeued.has(e.taskNumber)) {
      this.isRequeued.add(e.taskNumber);
      this.requeued.push(e.taskNumber);
    }
  }

  /** A task to start next, or -1. The caller holds it or gives it back by not taking it. */
  peekNextTask(): number {
    while (this.requeued.length > 0) {
      const taskNumber = this.requeued[this.requeued.length - 1];
      if (!this.isFinished(taskNumber) && !this.attempts.has(taskNumber)) return taskNumber;
      this.requeued.pop();
      this.isRequeued.delete(taskNumber);
    }
    while (this.nextUnstarted < this.spec.tasks) {
      if (!this.isFinished(this.nextUnstarted) && !this.attempts.has(this.nextUnstarted))
        return this.nextUnstarted;
      this.nextUnstarted++;
    }
    return -1;
  }
}

/** The leader's live jobs. */
/** Tasks of a job, as its users are told. */
export interface Progress {
  done: number;
  running: number;
}

export class JobTable {
  private readonly byId = new Map<string, Job>();
  private nextIndex = 0;

  all(): IterableIterator<Job> {
    return this.byId.values();
  }

  size(): number {
    return this.byId.size;
  }

  /** Of all jobs. */
  progress(): [string, Progress][] {
    return [...this.byId.values()].map((job) => [job.spec.id, progressOf(job)]);
  }

  progressOf(id: string): Progress | undefined {
    const job = this.byId.get(id);
    return job && progressOf(job);
  }

  get(id: string): Job | undefined {
    return this.byId.get(id);
  }

  add(spec: JobSpec, version: number, at: number, fresh: boolean, now: number): Job {
    const job = new Job(this.nextIndex++, spec, version, at, fresh, now);
    this.byId.set(spec.id, job);
    return job;
  }

  remove(job: Job): void {
    this.byId.delete(job.spec.id);
  }
}

function progressOf(job: Job): Progress {
  return { done: job.finishedCount, running: job.running };
}
