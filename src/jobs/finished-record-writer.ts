/** Selects which finished tasks of incomplete jobs are written next. */
import type { Mutation, Precondition } from '@millring/state-access';
import type { Clock } from '../runtime.js';
import { TokenBucket } from '../state-store/token-bucket.js';
import type { CompletionBatch } from './completion-batch.js';
import type { Job } from './job.js';
import type { FinishedRecordTable } from './finished-record-table.js';
import { finishedKey } from './records.js';

/**
 * Finished tasks are written only after a delay, and with a small share of the mutations, which are more urgent for
 * submissions, terminal jobs and machines. A job that completes in the meantime does not need these records. A new
 * leader learns of finished tasks that no record contains in one of two ways: from machines, which keep results until
 * they receive a forget command; or by restarting the tasks, which finish at once since they are already done.
 */
const WRITE_DELAY_MS = 5000;
const SHARE_OF_WRITES = 0.2;
const MIN_RATE_PER_S = 0.5;
const MIN_BURST = 2;

/** Adds the records of finished tasks to batches, within a rate limit of its own. */
export class FinishedRecordWriter {
  private readonly budget: TokenBucket;

  constructor(
    private readonly records: FinishedRecordTable,
    clock: Clock,
    writesPerS: number,
  ) {
    const ratePerS = Math.max(MIN_RATE_PER_S, writesPerS * SHARE_OF_WRITES);
    this.budget = new TokenBucket(ratePerS, Math.max(MIN_BURST, ratePerS), () => clock.now());
  }

  /**
   * Adds the due records of a job to a batch, and the removal of superseded ones. `segmentPrecondition` is null while
   * no segments may be written.
   */
  addTo(
    batch: CompletionBatch,
    job: Job,
    segmentPrecondition: Precondition | null,
    now: number,
  ): void {
    this.records.chooseLayout(job, segmentPrecondition !== null, now);
    for (const [block, since] of job.finished.dirtyBlocks)
      if (now - since >= WRITE_DELAY_MS && !batch.covers(job, block))
        this.addBlock(batch, job, block, now);
    if (segmentPrecondition && this.records.usesSegments(job) && batch.jobs.has(job))
      batch.requireLevel(segmentPrecondition);
    this.addSuperseded(batch, job, now);
  }

  private addBlock(batch: CompletionBatch, job: Job, block: number, now: number): void {
    // Compression takes time, so the checks that may make it unnecessary come first.
    if (!batch.hasRoom(1) || !this.budget.tryAcquire(0, 1)) return;
    const blockRecords = this.records.encodeBlock(job, block, now);
    if (!blockRecords || !batch.hasRoom(blockRecords.records.length)) return;
    this.budget.acquireUnconditionally(blockRecords.records.length);
    batch.add(
      blockRecords.records.map(({ number, value }): Mutation => ({
        put: finishedKey(job.spec.id, number),
        value,
      })),
    );
    batch.requireJob(job);
    const layout = this.records.currentLayout(job);
    const { finishedCount } = job;
    batch.finishedRecords.push({ job, blocks: blockRecords.blocks, layout, finishedCount });
    // Noted before the write, since a record whose write got no response must be removed with the job, too.
    for (const record of blockRecords.records) this.records.noteWritten(job, record.number);
  }

  private addSuperseded(batch: CompletionBatch, job: Job, now: number): void {
    for (const recordNumber of this.records.supersededRecords(job, now)) {
      if (!batch.hasRoom(1) || !this.budget.tryAcquire()) return;
      batch.add([{ remove: finishedKey(job.spec.id, recordNumber) }]);
      batch.requireJob(job);
      batch.superseded.push({ job, recordNumber });
    }
  }

  /**
   * Handles a committed batch. Its blocks stay dirty until then, so that machines keep the results until they are
   * durable.
   */
  committed(batch: CompletionBatch, now: number): void {
    for (const { job, blocks, layout, finishedCount } of batch.finishedRecords) {
      this.records.noteDurable(job, blocks, layout);
      for (const block of blocks) {
        if (job.finishedCount === finishedCount) job.finished.dirtyBlocks.delete(block);
        else if (job.finished.dirtyBlocks.has(block)) job.finished.dirtyBlocks.set(block, now);
      }
    }
    for (const { job, recordNumber } of batch.superseded)
      this.records.forgetNumber(job, recordNumber);
  }
}
