/** Which records of finished tasks stand in the state service for each live job, and how the next ones are cut. */
import { type Conversion } from '@millring/rollout';
import {
  CHUNK_LAYOUT,
  type ChunkRecords,
  type Layout,
  chunkBytes,
  finerLayout,
  isSegment,
  layoutOf,
  mayUseSegments,
  recordsOfChunk,
  sameLayout,
} from './finished-records.js';
import type { Job, JobTable } from './job-table.js';

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

export class ProgressRecords {
  private readonly byJob = new Map<number, JobRecords>();

  constructor(
    private readonly jobs: JobTable,
    /** The largest value: smaller once one was refused for its size. */
    private valueBytes: number,
  ) {}

  /** A record of the job stands there, or may: one written without an answer must be removed with the job, too. */
  noteWritten(job: Job, recordNumber: number): void {
    const records = this.of(job);
    records.numbers.add(recordNumber);
    const layout = layoutOf(recordNumber);
    if (
      layout.kind === 'segments' &&
      (records.layout.kind === 'chunks' || layout.split > records.layout.split)
    )
      records.layout = layout;
  }

  private of(job: Job): JobRecords {
    let records = this.byJob.get(job.index);
    if (!records)
      this.byJob.set(
        job.index,
        (records = { layout: CHUNK_LAYOUT, numbers: new Set(), toRewrite: null }),
      );
    return records;
  }

  numbersOf(job: Job): Iterable<number> {
    return this.byJob.get(job.index)?.numbers ?? [];
  }

  forget(job: Job): void {
    this.byJob.delete(job.index);
  }

  forgetNumber(job: Job, recordNumber: number): void {
    this.byJob.get(job.index)?.numbers.delete(recordNumber);
  }

  usesSegments(job: Job): boolean {
    return this.byJob.get(job.index)?.layout.kind === 'segments';
  }

  /** Follows whether segments may be written now. A job that has to change has all its tasks written again. */
  adapt(job: Job, segmentsAllowed: boolean, now: number): void {
    const uses = this.usesSegments(job);
    if (uses && !segmentsAllowed) this.change(job, CHUNK_LAYOUT, now);
    if (
      !uses &&
      segmentsAllowed &&
      job.finished.dirtyChunks.size > 0 &&
      mayUseSegments(job.spec.tasks)
    )
      this.change(job, { kind: 'segments', split: 0 }, now);
  }

  private change(job: Job, layout: Layout, now: number): void {
    const records = this.of(job);
    records.layout = layout;
    records.toRewrite = job.finished.markAllDirty(now);
  }

  /** The records that make a chunk durable. Null: they did not fit, and from now on the job's are cut smaller. */
  recordsFor(job: Job, chunk: number, now: number): Extract<ChunkRecords, { kind: 'fits' }> | null {
    const { layout } = this.of(job);
    const result = recordsOfChunk(
      job.finished.bits,
      job.spec.tasks,
      chunk,
      layout,
      this.valueBytes,
    );
    if (result.kind === 'fits') return result;
    this.change(job, finerLayout(layout), now);
    return null;
  }

  /** Records in another layout than the job's present one, once all they tell is durable in that. */
  stale(job: Job, now: number): number[] {
    const records = this.byJob.get(job.index);
    if (!records) return [];
    const stale = [...records.numbers].filter(
      (number) => !sameLayout(layoutOf(number), records.layout),
    );
    if (stale.length === 0) return [];
    if (records.toRewrite !== null) return records.toRewrite.size === 0 ? stale : [];
    // Left by a leader that ended midway: each may tell what no other does.
    this.change(job, records.layout, now);
    return [];
  }

  /** The chunks were written in that layout. */
  noteDurable(job: Job, chunks: number[], layout: Layout): void {
    const records = this.of(job);
    if (!sameLayout(records.layout, layout)) return;
    for (const chunk of chunks) records.toRewrite?.delete(chunk);
  }

  layoutOf(job: Job): Layout {
    return this.of(job).layout;
  }

  /** A value of this size was refused. */
  refusedAt(bytes: number): void {
    this.valueBytes = Math.min(this.valueBytes, Math.floor(bytes / 2));
  }

  /** Segments that are left, while they are being replaced by chunks. */
  conversion(): Conversion {
    let remaining = 0;
    for (const job of this.jobs.all()) {
      const segments = [...this.numbersOf(job)].filter(isSegment).length;
      if (segments === 0) continue;
      if (chunkBytes(job.spec.tasks) > this.valueBytes)
        return {
          kind: 'refused',
          reason: `finished tasks of ${job.spec.id} don't fit into a value of ${this.valueBytes} bytes as they were stored before`,
        };
      remaining += segments;
    }
    return remaining === 0 ? { kind: 'done' } : { kind: 'running', remaining };
  }
}
