/** The stored records of finished tasks of each live job, and the layout of the records written next. */
import { type Conversion } from '@millring/rollout';
import { type BlockRecords, recordsOfBlock } from './finished-records.js';
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
  /** Numbers of all records that are stored, or may be. */
  numbers: Set<number>;
  /**
   * Blocks not yet written in this layout since this leader chose it; null if this leader has not chosen it. Blocks
   * that become dirty later are not added: their new tasks are in no record of another layout.
   */
  toRewrite: Set<number> | null;
}

/** The stored records of finished tasks of all live jobs. */
export class FinishedRecordTable {
  private readonly byJob = new Map<number, JobRecords>();

  constructor(
    private readonly jobs: JobTable,
    /** Maximum size of a value, in bytes of JSON; reduced after a value was refused because of its size. */
    private maxValueBytes: number,
  ) {}

  /**
   * Notes a record that is or may be stored. A record whose write got no response must be removed with the job, too.
   */
  noteWritten(job: Job, recordNumber: number): void {
    const records = this.entryOf(job);
    records.numbers.add(recordNumber);
    const layout = layoutOf(recordNumber);
    if (
      layout.kind === 'segments' &&
      (records.layout.kind === 'chunks' || layout.splitLevel > records.layout.splitLevel)
    )
      records.layout = layout;
  }

  private entryOf(job: Job): JobRecords {
    let records = this.byJob.get(job.index);
    if (!records) {
      records = { layout: CHUNK_LAYOUT, numbers: new Set(), toRewrite: null };
      this.byJob.set(job.index, records);
    }
    return records;
  }

  recordNumbersOf(job: Job): Iterable<number> {
    return this.byJob.get(job.index)?.numbers ?? [];
  }

  /** Drops the records of a job that has become terminal. */
  forget(job: Job): void {
    this.byJob.delete(job.index);
  }

  /** Drops a record that was removed from the state service. */
  forgetNumber(job: Job, recordNumber: number): void {
    this.byJob.get(job.index)?.numbers.delete(recordNumber);
  }

  usesSegments(job: Job): boolean {
    return this.byJob.get(job.index)?.layout.kind === 'segments';
  }

  /**
   * Switches to chunks if segments may not be written now, and otherwise to segments if the job has tasks to write.
   * After a switch, all finished tasks are written again.
   */
  chooseLayout(job: Job, segmentsAllowed: boolean, now: number): void {
    const usesSegments = this.usesSegments(job);
    if (usesSegments && !segmentsAllowed) this.switchLayout(job, CHUNK_LAYOUT, now);
    const hasDirtyBlocks = job.finished.dirtyBlocks.size > 0;
    if (!usesSegments && segmentsAllowed && hasDirtyBlocks && mayUseSegments(job.spec.tasks))
      this.switchLayout(job, { kind: 'segments', splitLevel: 0 }, now);
  }

  private switchLayout(job: Job, layout: Layout, now: number): void {
    const records = this.entryOf(job);
    records.layout = layout;
    records.toRewrite = job.finished.markAllDirty(now);
  }

  /**
   * Encodes the records that make a block durable. If one of them does not fit into a value, returns null and switches
   * the job to segments of half the size, so that all its finished tasks are written again.
   */
  encodeBlock(job: Job, block: number, now: number): BlockRecords | null {
    const { layout } = this.entryOf(job);
    const result = recordsOfBlock(
      job.finished.bits,
      job.spec.tasks,
      block,
      layout,
      this.maxValueBytes,
    );
    if (result.kind === 'fits') return result;
    this.switchLayout(job, finerLayout(layout), now);
    return null;
  }

  /**
   * Returns the numbers of the records that may be removed: those in other layouts than the job's present one, once all
   * their tasks are durable in that one. If the records in other layouts are from a former leader, the first call marks
   * all finished tasks to be written again.
   */
  supersededRecords(job: Job, now: number): number[] {
    const records = this.byJob.get(job.index);
    if (!records) return [];
    const inOtherLayouts = [...records.numbers].filter(
      (number) => !isSameLayout(layoutOf(number), records.layout),
    );
    if (inOtherLayouts.length === 0) return [];
    if (records.toRewrite !== null) return records.toRewrite.size === 0 ? inOtherLayouts : [];
    // A former leader's term ended during a change of layout, so any of these records may contain tasks that no other
    // record contains.
    this.switchLayout(job, records.layout, now);
    return [];
  }

  /** Notes that blocks are durable in a layout. */
  noteDurable(job: Job, blocks: number[], layout: Layout): void {
    const records = this.entryOf(job);
    if (!isSameLayout(records.layout, layout)) return;
    for (const block of blocks) records.toRewrite?.delete(block);
  }

  currentLayout(job: Job): Layout {
    return this.entryOf(job).layout;
  }

  /** Limits the size of values to half the size of a refused one. */
  noteValueRefused(bytes: number): void {
    this.maxValueBytes = Math.min(this.maxValueBytes, Math.floor(bytes / 2));
  }

  /** Returns how far the replacement of segments by chunks has come, with the number of remaining segments. */
  conversion(): Conversion {
    let remaining = 0;
    for (const job of this.jobs.all()) {
      const segments = [...this.recordNumbersOf(job)].filter(isSegment).length;
      if (segments === 0) continue;
      if (maxChunkBytes(job.spec.tasks) > this.maxValueBytes)
        return {
          kind: 'refused',
          reason: `finished tasks of ${job.spec.id} don't fit into a value of ${this.maxValueBytes} bytes as they were stored before`,
        };
      remaining += segments;
    }
    return remaining === 0 ? { kind: 'done' } : { kind: 'running', remaining };
  }
}
