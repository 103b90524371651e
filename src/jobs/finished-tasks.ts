/** The finished tasks of a job, one bit per task, and those that are not stored yet. */
import { TASKS_PER_CHUNK } from './record-layout.js';

const BITS_PER_BYTE = 8;

function chunkOf(taskNumber: number): number {
  return Math.floor(taskNumber / TASKS_PER_CHUNK);
}

/** The finished tasks of one job. They are stored chunk by chunk; a finished task never becomes unfinished. */
export class FinishedTasks {
  /** One bit per task, the lowest bit of each byte first. */
  readonly bits: Uint8Array;
  /** Chunks with tasks that are not durable yet, with the time at which the first of these tasks finished. */
  readonly dirtyChunks = new Map<number, number>();
  private setCount = 0;

  constructor(private readonly tasks: number) {
    this.bits = new Uint8Array(Math.ceil(tasks / BITS_PER_BYTE));
  }

  count(): number {
    return this.setCount;
  }

  has(taskNumber: number): boolean {
    return (this.bits[taskNumber >> 3] & (1 << (taskNumber & 7))) !== 0;
  }

  /** Marks a task as finished. Returns false if it already was, or if the job has no such task. */
  add(taskNumber: number): boolean {
    if (taskNumber >= this.tasks || this.has(taskNumber)) return false;
    this.bits[taskNumber >> 3] |= 1 << (taskNumber & 7);
    this.setCount++;
    return true;
  }

  /** Marks the chunk of a finished task that no record contains yet. */
  markDirty(taskNumber: number, now: number): void {
    const chunk = chunkOf(taskNumber);
    if (!this.dirtyChunks.has(chunk)) this.dirtyChunks.set(chunk, now);
  }

  /** Marks all finished tasks to be written again. Returns the chunks that contain any of them. */
  markAllDirty(now: number): Set<number> {
    const chunks = new Set<number>();
    const bytesPerChunk = TASKS_PER_CHUNK / BITS_PER_BYTE;
    for (let chunk = 0; chunk * TASKS_PER_CHUNK < this.tasks; chunk++) {
      const bytes = this.bits.subarray(chunk * bytesPerChunk, (chunk + 1) * bytesPerChunk);
      if (!bytes.some((byte) => byte !== 0)) continue;
      chunks.add(chunk);
      if (!this.dirtyChunks.has(chunk)) this.dirtyChunks.set(chunk, now);
    }
    return chunks;
  }

  /** Whether a stored record contains the task, so that a new leader knows that it is finished. */
  isDurable(taskNumber: number): boolean {
    return this.has(taskNumber) && !this.dirtyChunks.has(chunkOf(taskNumber));
  }
}
