/**
 * The stored forms of finished task numbers, with one bit per task: chunks as base64 text, and segments as compressed
 * bits with the range that they cover. `record-layout.ts` defines which record contains which tasks.
 */
import { deflateSync, inflateSync } from 'fflate';
import * as z from 'zod/mini';
import { MAX_TASKS } from '../wire/model.js';
import {
  MAX_SPLIT_LEVEL,
  type Layout,
  TASKS_PER_BLOCK,
  isSegment,
  segmentNumber,
  tasksPerSegment,
} from './record-layout.js';

/** One record of a job's finished tasks. */
interface FinishedRecord {
  number: number;
  value: unknown;
}

/** The encoded records for one block of tasks. */
export interface BlockRecords {
  kind: 'fits';
  records: FinishedRecord[];
  /** All blocks that the records cover completely. */
  blocks: number[];
}

/** `too-large`: a record of this layout does not fit into a value. */
export type BlockRecordsResult = BlockRecords | { kind: 'too-large' };

/** The content of a record: one bit per task, starting at `firstTask`. */
export type FinishedRecordContent =
  | { kind: 'readable'; firstTask: number; bits: Uint8Array }
  | { kind: 'unreadable'; reason: string };

const segmentSchema = z.object({
  from: z.int().check(z.gte(0), z.lt(MAX_TASKS), z.multipleOf(8)),
  tasks: z.int().check(z.gte(1), z.lte(tasksPerSegment(0))),
  deflated: z.string(),
});

type Segment = z.infer<typeof segmentSchema>;

/**
 * Returns the records that make a block of tasks durable. `finished` has one bit per task of the whole job.
 * `maxValueBytes` is the maximum size of a value, in bytes of JSON. Segments of the last split level are assumed to
 * fit.
 */
export function recordsOfBlock(
  finished: Uint8Array,
  tasks: number,
  block: number,
  layout: Layout,
  maxValueBytes: number,
): BlockRecordsResult {
  if (layout.kind === 'chunks')
    return {
      kind: 'fits',
      records: [{ number: block, value: packChunk(finished, block) }],
      blocks: [block],
    };
  const size = tasksPerSegment(layout.splitLevel);
  const records: FinishedRecord[] = [];
  const first = Math.floor((block * TASKS_PER_BLOCK) / size);
  const end = Math.min(tasks, (block + 1) * TASKS_PER_BLOCK);
  for (let segment = first; segment * size < end; segment++) {
    const value = packSegment(finished, segment * size, Math.min(size, tasks - segment * size));
    if (layout.splitLevel < MAX_SPLIT_LEVEL && JSON.stringify(value).length > maxValueBytes)
      return { kind: 'too-large' };
    records.push({ number: segmentNumber(layout.splitLevel, segment), value });
  }
  const blocks = blocksWithin(first * size, Math.max(size, TASKS_PER_BLOCK), tasks);
  return { kind: 'fits', records, blocks };
}

/** Encodes a chunk as base64 text, since bodies contain no binary values. */
function packChunk(finished: Uint8Array, block: number): string {
  const bytesPerBlock = TASKS_PER_BLOCK / 8;
  const bits = finished.subarray(block * bytesPerBlock, (block + 1) * bytesPerBlock);
  return Buffer.from(bits).toString('base64');
}

function packSegment(finished: Uint8Array, from: number, tasks: number): Segment {
  const bits = finished.subarray(from / 8, Math.ceil((from + tasks) / 8));
  return { from, tasks, deflated: Buffer.from(deflateSync(bits)).toString('base64') };
}

function blocksWithin(from: number, size: number, tasks: number): number[] {
  const blocks: number[] = [];
  for (let task = from; task < Math.min(tasks, from + size); task += TASKS_PER_BLOCK)
    blocks.push(task / TASKS_PER_BLOCK);
  return blocks;
}

/** Reads a record. The tasks of an unreadable record count as unfinished, which is safe: they are started again. */
export function readFinishedRecord(recordNumber: number, value: unknown): FinishedRecordContent {
  return isSegment(recordNumber) ? readSegment(value) : readChunk(recordNumber, value);
}

function readSegment(value: unknown): FinishedRecordContent {
  const segment = segmentSchema.safeParse(value);
  if (!segment.success) return unreadable(segment.error.issues[0].message);
  const { from, tasks, deflated } = segment.data;
  const length = Math.ceil(tasks / 8);
  try {
    // One extra byte of room, so that content that is too long is detected.
    const bits = inflateSync(Buffer.from(deflated, 'base64'), { out: new Uint8Array(length + 1) });
    if (bits.length === length) return { kind: 'readable', firstTask: from, bits };
    return unreadable(`${bits.length} bytes instead of ${length}`);
  } catch (error) {
    return unreadable(error instanceof Error ? error.message : 'not compressed data');
  }
}

function readChunk(block: number, value: unknown): FinishedRecordContent {
  if (typeof value !== 'string') return unreadable('not a string');
  const bits = Buffer.from(value, 'base64');
  return { kind: 'readable', firstTask: block * TASKS_PER_BLOCK, bits };
}

function unreadable(reason: string): FinishedRecordContent {
  return { kind: 'unreadable', reason };
}
