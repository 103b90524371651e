/**
 * How the finished tasks of a job are divided into records, and how the records are numbered.
 *
 * The tasks of a job are divided into blocks of 8192 tasks. There are two layouts of the records:
 * - Chunks: one record for each block; its number is that of the block.
 * - Segments (a feature enabled by the rollout): records that each state which tasks they cover, as few as the maximum
 *   size of a value allows. All segments of a job have the same size; when one no longer fits, all are split in half
 *   under new numbers.
 *
 * A task is finished if any record contains it, so records in both layouts and of several sizes may coexist while one
 * replaces the other.
 */

/** Number of tasks of a block. A chunk fits into the smallest maximum size of a value that settings allow. */
export const TASKS_PER_BLOCK = 8192;

/**
 * Number of tasks of a segment at the last split level. Such a segment fits into the smallest maximum size of a value
 * that settings allow, however random the bits.
 */
const TASKS_PER_SMALLEST_SEGMENT = 2048;
/** The split level with the smallest segments. */
export const MAX_SPLIT_LEVEL = 6;
/**
 * Chunks have lower numbers. A build without support for segments removes the segments of a job together with the job,
 * in the same way as chunks.
 */
const FIRST_SEGMENT_NUMBER = 1000;
const NUMBERS_PER_SPLIT_LEVEL = 100;

/**
 * Layout of a job's records. At split level 0, one segment covers the maximum number of tasks of a job; each further
 * level halves the segments.
 */
export type Layout = { kind: 'chunks' } | { kind: 'segments'; splitLevel: number };

/** The layout that all versions support. */
export const CHUNK_LAYOUT: Layout = { kind: 'chunks' };

/** Whether segments are worthwhile: only if a job has more tasks than the smallest segment covers. */
export function mayUseSegments(tasks: number): boolean {
  return tasks > TASKS_PER_SMALLEST_SEGMENT;
}

/** Whether the record with this number is a segment; otherwise it is a chunk. */
export function isSegment(recordNumber: number): boolean {
  return recordNumber >= FIRST_SEGMENT_NUMBER;
}

/** Returns the record number of a segment. */
export function segmentNumber(splitLevel: number, segment: number): number {
  return FIRST_SEGMENT_NUMBER + splitLevel * NUMBERS_PER_SPLIT_LEVEL + segment;
}

/** Number of tasks that each segment of a split level covers. */
export function tasksPerSegment(splitLevel: number): number {
  return TASKS_PER_SMALLEST_SEGMENT << (MAX_SPLIT_LEVEL - splitLevel);
}

/** Returns the layout of the record with this number. */
export function layoutOf(recordNumber: number): Layout {
  if (!isSegment(recordNumber)) return CHUNK_LAYOUT;
  const splitLevel = Math.floor((recordNumber - FIRST_SEGMENT_NUMBER) / NUMBERS_PER_SPLIT_LEVEL);
  return { kind: 'segments', splitLevel };
}

/** Whether two layouts are equal. */
export function isSameLayout(one: Layout, other: Layout): boolean {
  if (one.kind === 'chunks' || other.kind === 'chunks') return one.kind === other.kind;
  return one.splitLevel === other.splitLevel;
}

/** Returns the layout with segments of half the size, or the same layout if there is none. */
export function finerLayout(layout: Layout): Layout {
  if (layout.kind === 'chunks') return layout;
  return { kind: 'segments', splitLevel: Math.min(MAX_SPLIT_LEVEL, layout.splitLevel + 1) };
}

/** Maximum size of a chunk of a job with `tasks` tasks, in bytes of JSON. */
export function maxChunkBytes(tasks: number): number {
  const bytes = Math.ceil(Math.min(tasks, TASKS_PER_BLOCK) / 8);
  const base64Length = Math.ceil(bytes / 3) * 4;
  const quotes = 2;
  return base64Length + quotes;
}
