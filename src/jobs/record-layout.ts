/**
 * How the finished tasks of a job are cut into records, and how these are numbered.
 *
 * Chunks: one record for each 8192 tasks. Segments (a feature of the rollout): records that each tell which tasks they
 * cover, as few as fit into the largest value. A job's segments are all of one size; when one does not fit any more, all
 * are split in halves under new numbers. A task is finished if any record says so, so that records of both forms, and of
 * several sizes, may stand side by side while one replaces the other.
 */

/** Small enough for the least value size that settings allow. */
export const TASKS_PER_CHUNK = 8192;

/** What fits into the least value size that settings allow, however random the bits. */
const TASKS_PER_SMALLEST_SEGMENT = 2048;
/** The split with the smallest segments. */
export const FINEST_SPLIT = 6;
/** Chunks have the numbers below. A build that knows no segments removes these with the job like any chunk. */
const FIRST_SEGMENT_NUMBER = 1000;
const NUMBERS_PER_SPLIT = 100;

/** How a job's records are cut: `split` halvings of one segment that covers all the tasks a job may have. */
export type Layout = { kind: 'chunks' } | { kind: 'segments'; split: number };

/** The layout that all versions know. */
export const CHUNK_LAYOUT: Layout = { kind: 'chunks' };

/** Segments pay only where a job has more tasks than the smallest of them covers. */
export function mayUseSegments(tasks: number): boolean {
  return tasks > TASKS_PER_SMALLEST_SEGMENT;
}

/** Whether a record of this number is a segment, or else a chunk. */
export function isSegment(recordNumber: number): boolean {
  return recordNumber >= FIRST_SEGMENT_NUMBER;
}

/** The number of a segment's record. */
export function segmentNumber(split: number, segment: number): number {
  return FIRST_SEGMENT_NUMBER + split * NUMBERS_PER_SPLIT + segment;
}

/** Tasks that each segment of a split covers. */
export function tasksPerSegment(split: number): number {
  return TASKS_PER_SMALLEST_SEGMENT << (FINEST_SPLIT - split);
}

/** The layout to which a record of this number belongs. */
export function layoutOf(recordNumber: number): Layout {
  if (!isSegment(recordNumber)) return CHUNK_LAYOUT;
  const split = Math.floor((recordNumber - FIRST_SEGMENT_NUMBER) / NUMBERS_PER_SPLIT);
  return { kind: 'segments', split };
}

/** Whether records of both are cut alike. */
export function isSameLayout(one: Layout, other: Layout): boolean {
  if (one.kind === 'chunks' || other.kind === 'chunks') return one.kind === other.kind;
  return one.split === other.split;
}

/** The layout with smaller records, or the same where there are none. */
export function finerLayout(layout: Layout): Layout {
  if (layout.kind === 'chunks') return layout;
  return { kind: 'segments', split: Math.min(FINEST_SPLIT, layout.split + 1) };
}

/** The longest text of a chunk of a job with so many tasks, as counted against the size of a value. */
export function maxChunkBytes(tasks: number): number {
  const bytes = Math.ceil(Math.min(tasks, TASKS_PER_CHUNK) / 8);
  const base64Length = Math.ceil(bytes / 3) * 4;
  const quotes = 2;
  return base64Length + quotes;
}
