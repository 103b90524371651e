/** Which tasks of a job are finished, one bit a task, and which of that is not stored yet. */
import { TASKS_PER_CHUNK } from './record-layout.js';

const BITS_PER_BYTE = 8;

function chunkOf(taskNumber: number): number {
  return Math.floor(taskNumber / TASKS_PER_CHUNK);
}

/** The finished tasks of one job. They are stored chunk by chunk; a finished task never becomes unfinished. */
export class FinishedTasks {
  /** One bit a task, the lowest of each byte first. */
  readonly bits: Uint8Array;
  /** Chunks with tasks that are not durable yet, and when the oldest of these finished. */
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

  /** False if the task was finished already, or the job has no such task. */
  add(taskNumber: number): boolean {
    if (taskNumber >= this.tasks || this.has(taskNumber)) return false;
    this.bits[taskNumber >> 3] |= 1 << (taskNumber & 7);
    this.setCount++;
    return true;
  }

  /** The task is finished, and no record tells of it yet. */
  markDirty(taskNumber: number, now: number): void {
    const chunk = chunkOf(taskNumber);
    if (!this.dirtyChunks.has(chunk)) this.dirtyChunks.set(chunk, now);
  }

  /** All that is finished has to be written again. Returns the chunks that hold any of it. */
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

  /** A record of the task is stored, so that a new leader knows that it is finished. */
  isDurable(taskNumber: number): boolean {
    return this.has(taskNumber) && !this.dirtyChunks.has(chunkOf(taskNumber));
  }
}
