/** Writes finished tasks and the ends of jobs to the state service. */
import type { Mutation, Precondition, CompareAndSwapResult } from '@millring/state-access';
import type { Conversion } from '@millring/rollout';
import type { Runtime } from '../runtime.js';
import { TokenBucket } from '../state-store/token-bucket.js';
import type { StateStore } from '../state-store/client.js';
import type { Job, JobTable } from './job-table.js';
import { type FinishedRecord, isSegment } from './finished-records.js';
import { CompletionBatch } from './completion-batch.js';
import { ProgressRecords } from './progress-records.js';
import { endedKey, finishedKey, liveKey } from './records.js';

export interface CompletionWriterDependencies {
  runtime: Runtime;
  store: StateStore;
  jobs: JobTable;
  txnOps: number;
  writeRps: number;
  valueBytes: number;
  isLeader(): boolean;
  leaderPrecondition(): Precondition;
  /** Every write of a segment rests on it, see `finished-records.ts`. Null: none may be written now. */
  segmentPrecondition(): Precondition | null;
  /** A cancelled job may end once nothing of it can be anywhere. */
  hasNoAttempts(job: Job): boolean;
  jobEnded(job: Job): void;
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
const RETRY_MS: Record<Exclude<CompareAndSwapResult['kind'], 'committed'>, number> = {
  rejected: 200,
  conflict: 700,
  indeterminate: 700,
  invalid: 5000,
};

function isSegmentKey(key: string): boolean {
  return isSegment(Number(key.slice(key.lastIndexOf('/') + 1)));
}

/** Makes the leader's knowledge of finished tasks durable: compact, in batches, the ends of jobs first. */
export class CompletionWriter {
  private writing = false;
  private readonly records: ProgressRecords;
  private readonly notBefore = new Map<number, number>();
  private readonly partial: TokenBucket;
  private readonly orphanedKeys = new Set<string>();
  /** Changes in one transaction: fewer once one was refused for its size. */
  private maxChanges: number;

  constructor(private readonly deps: CompletionWriterDependencies) {
    this.maxChanges = deps.txnOps;
    this.records = new ProgressRecords(deps.jobs, deps.valueBytes);
    const perS = Math.max(0.5, deps.writeRps * PARTIAL_SHARE);
    this.partial = new TokenBucket(perS, Math.max(2, perS), () => deps.runtime.clock.now());
  }

  noteWritten(job: Job, recordNumber: number): void {
    this.records.noteWritten(job, recordNumber);
  }

  /** How many segments are left to replace by records in the older form. */
  conversion(): Conversion {
    const conversion = this.records.conversion();
    const recordOrphan = [...this.orphanedKeys].filter(isSegmentKey).length;
    if (conversion.kind === 'refused' || recordOrphan === 0) return conversion;
    return {
      kind: 'running',
      remaining: recordOrphan + (conversion.kind === 'running' ? conversion.remaining : 0),
    };
  }

  /** A record of finished tasks whose job has ended. */
  leftOver(key: string): void {
    this.orphanedKeys.add(key);
  }

  tick(): void {
    if (this.writing || !this.deps.isLeader()) return;
    const now = this.deps.runtime.clock.now();
    const batch = new CompletionBatch(
      this.deps.leaderPrecondition(),
      this.maxChanges,
      this.deps.txnOps * GUARDS_PER_CHANGE,
    );
    this.addEnds(batch, now);
    this.addProgress(batch, now);
    this.addLeftOvers(batch);
    if (batch.changes.length > 0) void this.write(batch);
  }

  private addEnds(batch: CompletionBatch, now: number): void {
    for (const job of this.deps.jobs.all()) {
      const over = job.jobCancelled ? this.deps.hasNoAttempts(job) : job.isComplete();
      if (!over || job.ended !== 'no' || this.mustWait(job, now)) continue;
      const changes = this.endChanges(job);
      if (!batch.hasRoom(changes.length)) return;
      batch.add(changes);
      batch.guardJob(job);
      batch.ends.push(job);
    }
  }

  /** What of a large job doesn't go into one transaction is removed afterwards: with the job ended nobody reads it. */
  private endChanges(job: Job): Mutation[] {
    const numbers = [...this.records.numbersOf(job)].slice(
      0,
      Math.max(0, this.maxChanges - LEAST_CHANGES),
    );
    const value = { state: job.jobCancelled ? 'cancelled' : 'done', tasks: job.spec.tasks };
    return [
      { remove: liveKey(job.spec.id) },
      { put: endedKey(job.spec.id), value },
      ...numbers.map((number): Mutation => ({ remove: finishedKey(job.spec.id, number) })),
    ];
  }

  private addProgress(batch: CompletionBatch, now: number): void {
    const segmentGuard = this.deps.segmentPrecondition();
    for (const job of this.deps.jobs.all()) {
      if (job.jobCancelled || job.isComplete() || this.mustWait(job, now)) continue;
      this.records.adapt(job, segmentGuard !== null, now);
      for (const [chunk, since] of job.finished.dirtyChunks)
        if (now - since >= PARTIAL_MS && !batch.covers(job, chunk))
          this.addChunk(batch, job, chunk, now);
      if (segmentGuard && this.records.usesSegments(job) && batch.jobs.has(job))
        batch.guardLevel(segmentGuard);
      this.addReplaced(batch, job, now);
    }
  }

  private addChunk(batch: CompletionBatch, job: Job, chunk: number, now: number): void {
    // Compressing costs time, so it comes after what may make it useless.
    if (!batch.hasRoom(1) || !this.partial.tryAcquire(0, 1)) return;
    const made = this.records.recordsFor(job, chunk, now);
    if (!made || !batch.hasRoom(made.records.length)) return;
    this.partial.acquireUnconditionally(made.records.length);
    batch.add(made.records.map((record): Mutation => this.put(job, record)));
    batch.guardJob(job);
    const layout = this.records.layoutOf(job);
    batch.progress.push({ job, chunks: made.chunks, layout, count: job.finishedCount });
    // Marked before the answer: a record written without an answer must be removed with the job, too.
    for (const record of made.records) this.records.noteWritten(job, record.number);
  }

  private put(job: Job, record: FinishedRecord): Mutation {
    return { put: finishedKey(job.spec.id, record.number), value: record.value };
  }

  private addReplaced(batch: CompletionBatch, job: Job, now: number): void {
    for (const recordNumber of this.records.stale(job, now)) {
      if (!batch.hasRoom(1) || !this.partial.tryAcquire()) return;
      batch.add([{ remove: finishedKey(job.spec.id, recordNumber) }]);
      batch.guardJob(job);
      batch.replaced.push({ job, recordNumber });
    }
  }

  private addLeftOvers(batch: CompletionBatch): void {
    for (const key of this.orphanedKeys) {
      if (!batch.hasRoom(1)) return;
      batch.add([{ remove: key }]);
      batch.removed.push(key);
    }
  }

  private mustWait(job: Job, now: number): boolean {
    return (this.notBefore.get(job.index) ?? 0) > now;
  }

  private async write(batch: CompletionBatch): Promise<void> {
    this.writing = true;
    for (const job of batch.ends) job.ended = 'writing';
    const result = await this.deps.store.compareAndSwap(batch.guards, batch.changes);
    this.writing = false;
    for (const job of batch.ends) job.ended = result.kind === 'committed' ? 'yes' : 'no';
    if (result.kind === 'committed') this.applied(batch);
    else this.failed(batch, result);
  }

  private applied(batch: CompletionBatch): void {
    const now = this.deps.runtime.clock.now();
    // Until here the numbers stay dirty, so that nothing is forgotten by a machine before it is durable.
    for (const { job, chunks, layout, count } of batch.progress) {
      this.records.noteDurable(job, chunks, layout);
      for (const chunk of chunks) {
        if (job.finishedCount === count) job.finished.dirtyChunks.delete(chunk);
        else if (job.finished.dirtyChunks.has(chunk)) job.finished.dirtyChunks.set(chunk, now);
      }
    }
    for (const { job, recordNumber } of batch.replaced)
      this.records.forgetNumber(job, recordNumber);
    for (const key of batch.removed) this.orphanedKeys.delete(key);
    for (const job of batch.ends) this.ended(job, batch);
  }

  private ended(job: Job, batch: CompletionBatch): void {
    for (const number of this.records.numbersOf(job)) {
      const key = finishedKey(job.spec.id, number);
      if (!batch.removes(key)) this.orphanedKeys.add(key);
    }
    this.records.forget(job);
    this.notBefore.delete(job.index);
    this.deps.jobEnded(job);
  }

  private failed(
    batch: CompletionBatch,
    result: Exclude<CompareAndSwapResult, { kind: 'committed' }>,
  ): void {
    const now = this.deps.runtime.clock.now();
    if (result.kind === 'invalid') this.shrink(batch);
    // A conflict or a lost answer: the watch tells what became of these jobs; no hurry meanwhile.
    for (const job of batch.jobs)
      if (result.kind !== 'conflict' || batch.concerns(result.failed, job))
        this.notBefore.set(job.index, now + RETRY_MS[result.kind]);
  }

  /** Too large, though within the limits that we know: smaller ones from now on. What is as small as can be waits long. */
  private shrink(batch: CompletionBatch): void {
    const { length } = batch.changes;
    const largest = batch.largestSegment();
    if (largest > 0) this.records.refusedAt(largest);
    if (length > LEAST_CHANGES) this.maxChanges = Math.max(LEAST_CHANGES, length >> 1);
    else for (const key of batch.removed) this.orphanedKeys.delete(key);
  }
}
