/**
 * The stored forms of finished task numbers, one bit a task.
 *
 * Chunks: one record for each 8192 tasks, the bits as base64 text. Segments (a feature of the rollout): records that
 * each tell which tasks they cover, compressed, as few as fit into the largest value. A job's segments are all of one
 * size; when one does not fit any more, all are split in halves under new numbers. A task is finished if any record
 * says so, so that records of both forms, and of several sizes, may stand side by side while one replaces the other.
 */
import { deflateSync, inflateSync } from 'fflate';
import * as z from 'zod/mini';
import { MAX_TASKS } from '../wire/model.js';
import { TASKS_PER_CHUNK, packChunk } from './records.js';

/** Tasks of the smallest segment: what fits into the least value size that settings allow, however random the bits. */
const SMALLEST_SEGMENT = 2048;
const FINEST_SPLIT = 6;
/** Chunks have the numbers below. A build that knows no segments removes these with the job like any chunk. */
const FIRST_SEGMENT_NUMBER = 1000;
const NUMBERS_PER_SPLIT = 100;

/** How a job's records are cut: `split` halvings of one segment that covers all the tasks a job may have. */
export type Layout = { kind: 'chunks' } | { kind: 'segments'; split: number };

export const CHUNK_LAYOUT: Layout = { kind: 'chunks' };

export interface FinishedRecord {
  number: number;
  value: unknown;
}

/** The records of one chunk of tasks, and all chunks that they cover completely. */
export type ChunkRecords =
  { kind: 'fits'; records: FinishedRecord[]; chunks: number[] } | { kind: 'too-large' };

const segmentSchema = z.object({
  from: z.int().check(z.gte(0), z.lt(MAX_TASKS), z.multipleOf(8)),
  tasks: z.int().check(z.gte(1), z.lte(segmentTasks(0))),
  deflated: z.string(),
});

export type FinishedTasks =
  | { kind: 'readable'; firstTask: number; bits: Uint8Array }
  | { kind: 'unreadable'; reason: string };

/** Segments pay only where a job has more tasks than the smallest of them covers. */
export function mayUseSegments(tasks: number): boolean {
  return tasks > SMALLEST_SEGMENT;
}

export function isSegment(recordNumber: number): boolean {
  return recordNumber >= FIRST_SEGMENT_NUMBER;
}

export function layoutOf(recordNumber: number): Layout {
  if (!isSegment(recordNumber)) return CHUNK_LAYOUT;
  const split = Math.floor((recordNumber - FIRST_SEGMENT_NUMBER) / NUMBERS_PER_SPLIT);
  return { kind: 'segments', split };
}

export function sameLayout(one: Layout, other: Layout): boolean {
  if (one.kind === 'chunks' || other.kind === 'chunks') return one.kind === other.kind;
  return one.split === other.split;
}

/** The layout with smaller records, or the same where there are none. */
export function finerLayout(layout: Layout): Layout {
  if (layout.kind === 'chunks') return layout;
  return { kind: 'segments', split: Math.min(FINEST_SPLIT, layout.split + 1) };
}

function segmentTasks(split: number): number {
  return SMALLEST_SEGMENT << (FINEST_SPLIT - split);
}

/** The longest text of a chunk of a job with so many tasks, as counted against the size of a value. */
export function chunkBytes(tasks: number): number {
  const bytes = Math.ceil(Math.min(tasks, TASKS_PER_CHUNK) / 8);
  const quotes = 2;
  return Math.ceil(bytes / 3) * 4 + quotes;
}

/** The records that make a chunk of tasks durable. `valueBytes`: the largest value. */
export function recordsOfChunk(
  finished: Uint8Array,
  tasks: number,
  chunk: number,
  layout: Layout,
  valueBytes: number,
): ChunkRecords {
  if (layout.kind === 'chunks')
    return {
      kind: 'fits',
      records: [{ number: chunk, value: packChunk(finished, chunk) }],
      chunks: [chunk],
    };
  const size = segmentTasks(layout.split);
  const records: FinishedRecord[] = [];
  const first = Math.floor((chunk * TASKS_PER_CHUNK) / size);
  const end = Math.min(tasks, (chunk + 1) * TASKS_PER_CHUNK);
  for (let segment = first; segment * size < end; segment++) {
    const value = packSegment(finished, segment * size, Math.min(size, tasks - segment * size));
    if (layout.split < FINEST_SPLIT && JSON.stringify(value).length > valueBytes)
      return { kind: 'too-large' };
    const number = FIRST_SEGMENT_NUMBER + layout.split * NUMBERS_PER_SPLIT + segment;
    records.push({ number, value });
  }
  return {
    kind: 'fits',
    records,
    chunks: chunksWithin(first * size, Math.max(size, TASKS_PER_CHUNK), tasks),
  };
}

function packSegment(
  finished: Uint8Array,
  from: number,
  tasks: number,
): z.infer<typeof segmentSchema> {
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
export function readFinishedRecord(recordNumber: number, value: unknown): FinishedTasks {
  if (!isSegment(recordNumber)) return readChunk(recordNumber, value);
  const segment = segmentSchema.safeParse(value);
  if (!segment.success) return { kind: 'unreadable', reason: segment.error.issues[0].message };
  const { from, tasks, deflated } = segment.data;
  const length = Math.ceil(tasks / 8);
  try {
    // Room for one byte too many, so that a longer content shows.
    const bits = inflateSync(Buffer.from(deflated, 'base64'), { out: new Uint8Array(length + 1) });
    if (bits.length === length) return { kind: 'readable', firstTask: from, bits };
    return { kind: 'unreadable', reason: `${bits.length} bytes in place of ${length}` };
  } catch (error) {
    return {
      kind: 'unreadable',
      reason: error instanceof Error ? error.message : 'not compressed data',
    };
  }
}

function readChunk(chunk: number, value: unknown): FinishedTasks {
  if (typeof value !== 'string') return { kind: 'unreadable', reason: 'not a text' };
  return {
    kind: 'readable',
    firstTask: chunk * TASKS_PER_CHUNK,
    bits: Buffer.from(value, 'base64'),
  };
}
