/**
 * The stored forms of finished task numbers, one bit a task: chunks as base64 text, segments compressed with the range
 * that they cover. `record-layout.ts` tells which tasks stand in which record.
 */
import { deflateSync, inflateSync } from 'fflate';
import * as z from 'zod/mini';
import { MAX_TASKS } from '../wire/model.js';
import {
  FINEST_SPLIT,
  type Layout,
  TASKS_PER_CHUNK,
  isSegment,
  segmentNumber,
  tasksPerSegment,
} from './record-layout.js';

/** One record of a job's finished tasks. */
interface FinishedRecord {
  number: number;
  value: unknown;
}

/** The records of one chunk of tasks, and all chunks that they cover completely. */
export interface ChunkRecords {
  kind: 'fits';
  records: FinishedRecord[];
  chunks: number[];
}

/** `too-large`: a record of this layout does not fit into a value. */
export type ChunkRecordsResult = ChunkRecords | { kind: 'too-large' };

/** What a record tells: one bit a task, from `firstTask` on. */
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
 * The records that make a chunk of tasks durable. `finished`: one bit a task of the whole job. `valueBytes`: the largest
 * value, counted as JSON. Segments of the finest split are taken to fit.
 */
export function recordsOfChunk(
  finished: Uint8Array,
  tasks: number,
  chunk: number,
  layout: Layout,
  valueBytes: number,
): ChunkRecordsResult {
  if (layout.kind === 'chunks')
    return {
      kind: 'fits',
      records: [{ number: chunk, value: packChunk(finished, chunk) }],
      chunks: [chunk],
    };
  const size = tasksPerSegment(layout.split);
  const records: FinishedRecord[] = [];
  const first = Math.floor((chunk * TASKS_PER_CHUNK) / size);
  const end = Math.min(tasks, (chunk + 1) * TASKS_PER_CHUNK);
  for (let segment = first; segment * size < end; segment++) {
    const value = packSegment(finished, segment * size, Math.min(size, tasks - segment * size));
    if (layout.split < FINEST_SPLIT && JSON.stringify(value).length > valueBytes)
      return { kind: 'too-large' };
    records.push({ number: segmentNumber(layout.split, segment), value });
  }
  const chunks = chunksWithin(first * size, Math.max(size, TASKS_PER_CHUNK), tasks);
  return { kind: 'fits', records, chunks };
}

/** As text, since no body holds anything binary. */
function packChunk(finished: Uint8Array, chunk: number): string {
  const bytesPerChunk = TASKS_PER_CHUNK / 8;
  const bits = finished.subarray(chunk * bytesPerChunk, (chunk + 1) * bytesPerChunk);
  return Buffer.from(bits).toString('base64');
}

function packSegment(finished: Uint8Array, from: number, tasks: number): Segment {
  const bits = finished.subarray(from / 8, Math.ceil((from + tasks) / 8));
  return { from, tasks, deflated: Buffer.from(deflateSync(bits)).toString('base64') };
}

function chunksWithin(from: number, size: number, tasks: number): number[] {
  const chunks: number[] = [];
  for (let task = from; task < Math.min(tasks, from + size); task += TASKS_PER_CHUNK)
    chunks.push(task / TASKS_PER_CHUNK);
  return chunks;
}

/** A record that can't be read tells of no finished task, which is safe: such tasks are started once more. */
export function readFinishedRecord(recordNumber: number, value: unknown): FinishedRecordContent {
  return isSegment(recordNumber) ? readSegment(value) : readChunk(recordNumber, value);
}

function readSegment(value: unknown): FinishedRecordContent {
  const segment = segmentSchema.safeParse(value);
  if (!segment.success) return unreadable(segment.error.issues[0].message);
  const { from, tasks, deflated } = segment.data;
  const length = Math.ceil(tasks / 8);
  try {
    // Room for one byte too many, so that a longer content shows.
    const bits = inflateSync(Buffer.from(deflated, 'base64'), { out: new Uint8Array(length + 1) });
    if (bits.length === length) return { kind: 'readable', firstTask: from, bits };
    return unreadable(`${bits.length} bytes in place of ${length}`);
  } catch (error) {
    return unreadable(error instanceof Error ? error.message : 'not compressed data');
  }
}

function readChunk(chunk: number, value: unknown): FinishedRecordContent {
  if (typeof value !== 'string') return unreadable('not a text');
  const bits = Buffer.from(value, 'base64');
  return { kind: 'readable', firstTask: chunk * TASKS_PER_CHUNK, bits };
}

function unreadable(reason: string): FinishedRecordContent {
  return { kind: 'unreadable', reason };
}
