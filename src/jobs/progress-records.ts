/** Which records of finished tasks stand in the state service for each live job, and how the next ones are cut. */
import { type Conversion } from '@millring/rollout';
import { type ChunkRecords, recordsOfChunk } from './finished-records.js';
import type { Job } from './job.js';
import type { JobTable } from './job-table.js';
import {
  CHUNK_LAYOUT,
  type Layout,
  finerLayout,
  isSameLayout,
  isSegment,
  layoutOf,
  maxChunkBytes,
  mayUseSegments,
} from './record-layout.js';

interface JobRecords {
  layout: Layout;
  /** Numbers of all records that stand there, or may. */
  numbers: Set<number>;
  /**
   * Chunks not yet written in this layout since it was chosen; null if this leader has not chosen it. What ends
   * meanwhile was told by no record in another layout, so that it need not be waited for.
   */
  toRewrite: Set<number> | null;
}

/** The stored records of finished tasks of all live jobs. */
export class ProgressRecords {
  private readonly byJob = new Map<number, JobRecords>();

  constructor(
    private readonly jobs: JobTable,
    /** The largest value, counted as JSON: smaller once one was refused for its size. */
    private valueBytes: number,
  ) {}

  /** A record of the job stands there, or may: one written without an answer must be removed with the job, too. */
  noteWritten(job: Job, recordNumber: number): void {
    const records = this.recordsOf(job);
    records.numbers.add(recordNumber);
    const layout = layoutOf(recordNumber);
    if (
      layout.kind === 'segments' &&
      (records.layout.kind === 'chunks' || layout.split > records.layout.split)
    )
      records.layout = layout;
  }

  private recordsOf(job: Job): JobRecords {
    let records = this.byJob.get(job.index);
    if (!records) {
      records = { layout: CHUNK_LAYOUT, numbers: new Set(), toRewrite: null };
      this.byJob.set(job.index, records);
    }
    return records;
  }

  numbersOf(job: Job): Iterable<number> {
    return this.byJob.get(job.index)?.numbers ?? [];
  }

  /** The job has ended. */
  forget(job: Job): void {
    this.byJob.delete(job.index);
  }

  /** The record was removed. */
  forgetNumber(job: Job, recordNumber: number): void {
    this.byJob.get(job.index)?.numbers.delete(recordNumber);
  }

  usesSegments(job: Job): boolean {
    return this.byJob.get(job.index)?.layout.kind === 'segments';
  }

  /** Follows whether segments may be written now. A job that has to change has all its tasks written again. */
  chooseLayout(job: Job, segmentsAllowed: boolean, now: number): void {
    const usesSegments = this.usesSegments(job);
    if (usesSegments && !segmentsAllowed) this.switchLayout(job, CHUNK_LAYOUT, now);
    const hasProgress = job.finished.dirtyChunks.size > 0;
    if (!usesSegments && segmentsAllowed && hasProgress && mayUseSegments(job.spec.tasks))
      this.switchLayout(job, { kind: 'segments', split: 0 }, now);
  }

  private switchLayout(job: Job, layout: Layout, now: number): void {
    const records = this.recordsOf(job);
    records.layout = layout;
    records.toRewrite = job.finished.markAllDirty(now);
  }

  /** The records that make a chunk durable. Null: they did not fit, and from now on the job's are cut smaller. */
  recordsFor(job: Job, chunk: number, now: number): ChunkRecords | null {
    const { layout } = this.recordsOf(job);
    const result = recordsOfChunk(
      job.finished.bits,
      job.spec.tasks,
      chunk,
      layout,
      this.valueBytes,
    );
    if (result.kind === 'fits') return result;
    this.switchLayout(job, finerLayout(layout), now);
    return null;
  }

  /** Records in another layout than the job's present one, once all they tell is durable in that. */
  supersededRecords(job: Job, now: number): number[] {
    const records = this.byJob.get(job.index);
    if (!records) return [];
    const inOtherLayouts = [...records.numbers].filter(
      (number) => !isSameLayout(layoutOf(number), records.layout),
    );
    if (inOtherLayouts.length === 0) return [];
    if (records.toRewrite !== null) return records.toRewrite.size === 0 ? inOtherLayouts : [];
    // Left by a leader that ended midway: each may tell what no other does.
    this.switchLayout(job, records.layout, now);
    return [];
  }

  /** The chunks were written in that layout. */
  noteDurable(job: Job, chunks: number[], layout: Layout): void {
    const records = this.recordsOf(job);
    if (!isSameLayout(records.layout, layout)) return;
    for (const chunk of chunks) records.toRewrite?.delete(chunk);
  }

  layoutOf(job: Job): Layout {
    return this.recordsOf(job).layout;
  }

  /** A value of so many bytes was refused. */
  noteValueRefused(bytes: number): void {
    this.valueBytes = Math.min(this.valueBytes, Math.floor(bytes / 2));
  }

  /** Segments that are left, while they are being replaced by chunks. */
  conversion(): Conversion {
    let remaining = 0;
    for (const job of this.jobs.all()) {
      const segments = [...this.numbersOf(job)].filter(isSegment).length;
      if (segments === 0) continue;
      if (maxChunkBytes(job.spec.tasks) > this.valueBytes)
        return {
          kind: 'refused',
          reason: `finished tasks of ${job.spec.id} don't fit into a value of ${this.valueBytes} bytes as they were stored before`,
        };
      remaining += segments;
    }
    return remaining === 0 ? { kind: 'done' } : { kind: 'running', remaining };
  }
}
