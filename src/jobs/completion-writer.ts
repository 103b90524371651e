/** Writes finished tasks and the ends of jobs to the state service. */
import type { World } from '../runtime.js';
import { Bucket } from '../state-store/budget.js';
import type { StateStore, TxnResult } from '../state-store/client.js';
import type { Change, Guard } from '../wire/state.js';
import type { Job, JobTable } from './job-table.js';
import { endedKey, finishedKey, liveKey, packFinished } from './records.js';

export interface CompletionWriterDeps {
  world: World;
  store: StateStore;
  jobs: JobTable;
  txnOps: number;
  writeRps: number;
  leads(): boolean;
  leaderGuard(): Guard;
  /** A cancelled job may end once nothing of it can be anywhere. */
  surelyEmpty(job: Job): boolean;
  ended(job: Job): void;
}

/**
 * Progress is written as seldom as is useful: a job's end does not need it, and what a new leader has not read
 * it learns from the machines, which keep results until told to forget, or by a start that ends at once. So it
 * takes a small part of the changes, which submissions, ends and machines need more.
 */
const PARTIAL_MS = 5000;
const PARTIAL_SHARE = 0.2;
/** A job's end removes one record and puts another. */
const LEAST_CHANGES = 2;

/** The state service allows this many conditions per change of a transaction. */
const GUARDS_PER_CHANGE = 4;
/** When the jobs of a transaction that was not applied are tried again. */
const RETRY_MS: Record<Exclude<TxnResult['kind'], 'applied'>, number> = {
  refused: 200,
  conflict: 700,
  unknown: 700,
  invalid: 5000,
};

/** One transaction: the ends of jobs, progress of others, and records whose job has ended. */
class Batch {
  readonly guards: Guard[];
  readonly changes: Change[] = [];
  readonly jobs = new Set<Job>();
  readonly ends: Job[] = [];
  readonly progress: { job: Job; chunk: number; count: number }[] = [];
  readonly removed: string[] = [];

  constructor(
    leaderGuard: Guard,
    private readonly mostChanges: number,
    private readonly mostGuards: number,
  ) {
    this.guards = [leaderGuard];
  }

  hasRoom(changes: number): boolean {
    return this.changes.length + changes <= this.mostChanges && this.guards.length < this.mostGuards - 1;
  }

  add(changes: Change[]): void {
    this.changes.push(...changes);
  }

  /** The transaction rests on the job's record as it was last read. */
  guardJob(job: Job): void {
    if (this.jobs.has(job)) return;
    this.jobs.add(job);
    this.guards.push({ key: liveKey(job.spec.id), version: job.version });
  }

  removes(key: string): boolean {
    return this.changes.some((change) => 'remove' in change && change.remove === key);
  }
}

/** Makes the leader's knowledge of finished tasks durable: compact, in batches, the ends of jobs first. */
export class CompletionWriter {
  private busy = false;
  private readonly written = new Map<number, Set<number>>();
  private readonly notBefore = new Map<number, number>();
  private readonly partial: Bucket;
  private readonly leftOvers = new Set<string>();
  /** Changes in one transaction: fewer once one was refused for its size. */
  private most: number;

  constructor(private readonly deps: CompletionWriterDeps) {
    this.most = deps.txnOps;
    const perS = Math.max(0.5, deps.writeRps * PARTIAL_SHARE);
    this.partial = new Bucket(perS, Math.max(2, perS), () => deps.world.clock.now());
  }

  noteWritten(job: Job, chunk: number): void {
    let s = this.written.get(job.index);
    if (!s) this.written.set(job.index, (s = new Set()));
    s.add(chunk);
  }

  /** A record of finished tasks whose job has ended. */
  leftOver(key: string): void {
    this.leftOvers.add(key);
  }

  tick(): void {
    if (this.busy || !this.deps.leads()) return;
    const now = this.deps.world.clock.now();
    const batch = new Batch(this.deps.leaderGuard(), this.most, this.deps.txnOps * GUARDS_PER_CHANGE);
    this.addEnds(batch, now);
    this.addProgress(batch, now);
    this.addLeftOvers(batch);
    if (batch.changes.length > 0) void this.write(batch);
  }

  private addEnds(batch: Batch, now: number): void {
    for (const job of this.deps.jobs.all()) {
      const over = job.cancelled ? this.deps.surelyEmpty(job) : job.complete();
      if (!over || job.ended !== 'no' || this.mustWait(job, now)) continue;
      const changes = this.endChanges(job);
      if (!batch.hasRoom(changes.length)) return;
      batch.add(changes);
      batch.guardJob(job);
      batch.ends.push(job);
    }
  }

  /** What of a large job doesn't go into one transaction is removed afterwards: with the job ended nobody reads it. */
  private endChanges(job: Job): Change[] {
    const chunks = [...(this.written.get(job.index) ?? [])].slice(0, Math.max(0, this.most - LEAST_CHANGES));
    const value = { state: job.cancelled ? 'cancelled' : 'done', tasks: job.spec.tasks };
    return [
      { remove: liveKey(job.spec.id) },
      { put: endedKey(job.spec.id), value },
      ...chunks.map((chunk): Change => ({ remove: finishedKey(job.spec.id, chunk) })),
    ];
  }

  private addProgress(batch: Batch, now: number): void {
    for (const job of this.deps.jobs.all()) {
      if (job.cancelled || job.complete() || this.mustWait(job, now)) continue;
      for (const [chunk, since] of job.dirty) {
        if (now - since < PARTIAL_MS || !batch.hasRoom(1) || !this.partial.take()) continue;
        const value = packFinished(job.finished, chunk);
        batch.add([{ put: finishedKey(job.spec.id, chunk), value }]);
        batch.guardJob(job);
        batch.progress.push({ job, chunk, count: job.finishedCount });
      }
    }
  }

  private addLeftOvers(batch: Batch): void {
    for (const key of this.leftOvers) {
      if (!batch.hasRoom(1)) return;
      batch.add([{ remove: key }]);
      batch.removed.push(key);
    }
  }

  private mustWait(job: Job, now: number): boolean {
    return (this.notBefore.get(job.index) ?? 0) > now;
  }

  private async write(batch: Batch): Promise<void> {
    this.busy = true;
    for (const job of batch.ends) job.ended = 'writing';
    // Marked before the answer: a record written without an answer must be removed with the job, too.
    for (const { job, chunk } of batch.progress) this.noteWritten(job, chunk);
    const result = await this.deps.store.txn(batch.guards, batch.changes);
    this.busy = false;
    for (const job of batch.ends) job.ended = result.kind === 'applied' ? 'yes' : 'no';
    if (result.kind === 'applied') this.applied(batch);
    else this.failed(batch, result);
  }

  private applied(batch: Batch): void {
    const now = this.deps.world.clock.now();
    // Until here the numbers stay dirty, so that nothing is forgotten by a machine before it is durable.
    for (const { job, chunk, count } of batch.progress) {
      if (job.finishedCount === count) job.dirty.delete(chunk);
      else job.dirty.set(chunk, now);
    }
    for (const key of batch.removed) this.leftOvers.delete(key);
    for (const job of batch.ends) this.ended(job, batch);
  }

  private ended(job: Job, batch: Batch): void {
    for (const chunk of this.written.get(job.index) ?? []) {
      const key = finishedKey(job.spec.id, chunk);
      if (!batch.removes(key)) this.leftOvers.add(key);
    }
    this.written.delete(job.index);
    this.notBefore.delete(job.index);
    this.deps.ended(job);
  }

  private failed(batch: Batch, result: Exclude<TxnResult, { kind: 'applied' }>): void {
    const now = this.deps.world.clock.now();
    if (result.kind === 'invalid') this.shrink(batch);
    // A conflict or a lost answer: the watch tells what became of these jobs; no hurry meanwhile.
    const conflicting = result.kind === 'conflict' ? new Set(result.failed) : null;
    for (const job of batch.jobs)
      if (!conflicting || conflicting.has(liveKey(job.spec.id)))
        this.notBefore.set(job.index, now + RETRY_MS[result.kind]);
  }

  /** Too large, though within the limits that we know: smaller ones from now on. What is as small as can be waits long. */
  private shrink(batch: Batch): void {
    const { length } = batch.changes;
    if (length > LEAST_CHANGES) this.most = Math.max(LEAST_CHANGES, length >> 1);
    else for (const key of batch.removed) this.leftOvers.delete(key);
  }
}
