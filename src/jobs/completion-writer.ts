/** Writes finished tasks and terminal states of jobs to the state service. */
import type { Conversion } from '@millring/rollout';
import type { CompareAndSwapResult, Mutation, Precondition } from '@millring/state-access';
import type { Runtime } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import { CompletionBatch } from './completion-batch.js';
import type { Job } from './job.js';
import type { JobTable } from './job-table.js';
import { FinishedRecordTable } from './finished-record-table.js';
import { FinishedRecordWriter } from './finished-record-writer.js';
import { isSegment } from './record-layout.js';
import { terminalKey, finishedKey, liveKey } from './records.js';

/** Dependencies of the completion writer. */
export interface CompletionWriterDependencies {
  runtime: Runtime;
  store: StateStore;
  jobs: JobTable;
  /** Maximum number of mutations of one compare-and-swap. */
  maxMutations: number;
  /** Mutations per second that all nodes together may request of the state service. */
  writesPerS: number;
  /** Maximum size of a value, in bytes of JSON. */
  maxValueBytes: number;
  isLeader(): boolean;
  leaderPrecondition(): Precondition;
  /** Precondition of every write of a segment, see `record-layout.ts`; null while no segments may be written. */
  segmentPrecondition(): Precondition | null;
  /** Whether no attempt of the job can be on any machine. Only then may a cancelled job become terminal. */
  hasNoAttempts(job: Job): boolean;
  /** Called once the terminal state of a job is stored. */
  jobBecameTerminal(job: Job): void;
}

/** The live record of a job that becomes terminal is removed, and its terminal record is put. */
const MUTATIONS_PER_TERMINAL_JOB = 2;
/** The state service allows this many preconditions per mutation of a compare-and-swap. */
const PRECONDITIONS_PER_MUTATION = 4;

type Failure = Exclude<CompareAndSwapResult, { kind: 'committed' }>;

/** Delay until the jobs of a batch that was not committed are written again, by the kind of failure. */
const RETRY_DELAY_MS: Record<Failure['kind'], number> = {
  rejected: 200,
  conflict: 700,
  indeterminate: 700,
  invalid: 5000,
};

function isSegmentKey(key: string): boolean {
  return isSegment(Number(key.slice(key.lastIndexOf('/') + 1)));
}

/** Stores terminal states and finished tasks of jobs in batches, with terminal jobs first. */
export class CompletionWriter {
  private writing = false;
  private readonly records: FinishedRecordTable;
  private readonly finishedRecordWriter: FinishedRecordWriter;
  /** Earliest time of the next write for a job, by the index of the job. */
  private readonly nextWriteAt = new Map<number, number>();
  /** Keys of stored records of finished tasks whose job is terminal. */
  private readonly orphanedKeys = new Set<string>();
  /** Maximum number of mutations of one batch; reduced after a batch was refused because of its size. */
  private maxMutations: number;

  constructor(private readonly deps: CompletionWriterDependencies) {
    this.maxMutations = deps.maxMutations;
    this.records = new FinishedRecordTable(deps.jobs, deps.maxValueBytes);
    this.finishedRecordWriter = new FinishedRecordWriter(
      this.records,
      deps.runtime.clock,
      deps.writesPerS,
    );
  }

  /** Notes that a record of the job's finished tasks is stored. */
  noteWritten(job: Job, recordNumber: number): void {
    this.records.noteWritten(job, recordNumber);
  }

  /** Notes that a record of finished tasks is stored although its job is terminal. */
  recordOrphan(key: string): void {
    this.orphanedKeys.add(key);
  }

  /**
   * Returns how far the replacement of segments by chunks has come, including the removal of segments whose job is
   * terminal.
   */
  conversion(): Conversion {
    const conversion = this.records.conversion();
    const orphans = [...this.orphanedKeys].filter(isSegmentKey).length;
    if (conversion.kind === 'refused' || orphans === 0) return conversion;
    const ofLiveJobs = conversion.kind === 'running' ? conversion.remaining : 0;
    return { kind: 'running', remaining: orphans + ofLiveJobs };
  }

  /** Writes the mutations that are due, unless a write is in progress. */
  tick(): void {
    if (this.writing || !this.deps.isLeader()) return;
    const now = this.deps.runtime.clock.now();
    const batch = new CompletionBatch(
      this.deps.leaderPrecondition(),
      this.maxMutations,
      this.deps.maxMutations * PRECONDITIONS_PER_MUTATION,
    );
    this.addTerminalJobs(batch, now);
    this.addFinishedRecords(batch, now);
    this.addOrphans(batch);
    if (batch.mutations.length > 0) void this.write(batch);
  }

  private addTerminalJobs(batch: CompletionBatch, now: number): void {
    for (const job of this.deps.jobs.all()) {
      const isTerminal = job.jobCancelled ? this.deps.hasNoAttempts(job) : job.isComplete();
      if (!isTerminal || job.endState !== 'live' || this.mustWait(job, now)) continue;
      const mutations = this.terminalMutations(job);
      if (!batch.hasRoom(mutations.length)) return;
      batch.add(mutations);
      batch.requireJob(job);
      batch.terminalJobs.push(job);
    }
  }

  /**
   * Returns the mutations that make a job terminal and remove its records of finished tasks. Records that exceed one
   * batch are removed later as orphans: no node reads them once the job is terminal.
   */
  private terminalMutations(job: Job): Mutation[] {
    const { id, tasks } = job.spec;
    const maxRecords = Math.max(0, this.maxMutations - MUTATIONS_PER_TERMINAL_JOB);
    const recordNumbers = [...this.records.recordNumbersOf(job)].slice(0, maxRecords);
    const value = { state: job.jobCancelled ? 'cancelled' : 'done', tasks };
    return [
      { remove: liveKey(id) },
      { put: terminalKey(id), value },
      ...recordNumbers.map((number): Mutation => ({ remove: finishedKey(id, number) })),
    ];
  }

  private addFinishedRecords(batch: CompletionBatch, now: number): void {
    const segmentPrecondition = this.deps.segmentPrecondition();
    for (const job of this.deps.jobs.all()) {
      if (job.jobCancelled || job.isComplete() || this.mustWait(job, now)) continue;
      this.finishedRecordWriter.addTo(batch, job, segmentPrecondition, now);
    }
  }

  private addOrphans(batch: CompletionBatch): void {
    for (const key of this.orphanedKeys) {
      if (!batch.hasRoom(1)) return;
      batch.add([{ remove: key }]);
      batch.orphanedKeys.push(key);
    }
  }

  private mustWait(job: Job, now: number): boolean {
    return (this.nextWriteAt.get(job.index) ?? 0) > now;
  }

  private async write(batch: CompletionBatch): Promise<void> {
    this.writing = true;
    for (const job of batch.terminalJobs) job.endState = 'ending';
    const result = await this.deps.store.compareAndSwap(batch.preconditions, batch.mutations);
    this.writing = false;
    for (const job of batch.terminalJobs)
      job.endState = result.kind === 'committed' ? 'ended' : 'live';
    if (result.kind === 'committed') this.committed(batch);
    else this.failed(batch, result);
  }

  private committed(batch: CompletionBatch): void {
    this.finishedRecordWriter.committed(batch, this.deps.runtime.clock.now());
    for (const key of batch.orphanedKeys) this.orphanedKeys.delete(key);
    for (const job of batch.terminalJobs) this.jobBecameTerminal(job, batch);
  }

  private jobBecameTerminal(job: Job, batch: CompletionBatch): void {
    for (const number of this.records.recordNumbersOf(job)) {
      const key = finishedKey(job.spec.id, number);
      if (!batch.removes(key)) this.orphanedKeys.add(key);
    }
    this.records.forget(job);
    this.nextWriteAt.delete(job.index);
    this.deps.jobBecameTerminal(job);
  }

  private failed(batch: CompletionBatch, result: Failure): void {
    const now = this.deps.runtime.clock.now();
    if (result.kind === 'invalid') this.shrink(batch);
    // After a conflict or a missing response, the watch reports the actual state of these jobs.
    for (const job of batch.jobs)
      if (result.kind !== 'conflict' || batch.concerns(result.failed, job))
        this.nextWriteAt.set(job.index, now + RETRY_DELAY_MS[result.kind]);
  }

  /**
   * Makes later batches smaller after one was refused although it was within the known limits. A batch of the minimum
   * size cannot shrink further: its jobs are retried only after the long delay for `invalid`, and its orphaned records
   * are given up, since no delay applies to them and each tick would try to remove them again.
   */
  private shrink(batch: CompletionBatch): void {
    const { length } = batch.mutations;
    const largestBytes = batch.largestSegmentBytes();
    if (largestBytes > 0) this.records.noteValueRefused(largestBytes);
    if (length > MUTATIONS_PER_TERMINAL_JOB)
      this.maxMutations = Math.max(MUTATIONS_PER_TERMINAL_JOB, length >> 1);
    else for (const key of batch.orphanedKeys) this.orphanedKeys.delete(key);
  }
}
