/** The finished tasks of a job, one bit per task, and the blocks of tasks that are not stored yet. */
import { TASKS_PER_BLOCK } from './record-layout.js';

const BITS_PER_BYTE = 8;

function blockOf(taskNumber: number): number {
  return Math.floor(taskNumber / TASKS_PER_BLOCK);
}

/** The finished tasks of one job. They are stored block by block; a finished task never becomes unfinished. */
export class FinishedTasks {
  /** One bit per task, the lowest bit of each byte first. */
  readonly bits: Uint8Array;
  /**
   * Blocks with finished tasks that are not durable yet. The value is the time at which the first of these tasks
   * finished, or at which the block was marked to be written again or last written, in milliseconds of the monotonic
   * clock.
   */
  readonly dirtyBlocks = new Map<number, number>();
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

  /** Marks the block of a finished task to be written, since no record contains the task yet. */
  markDirty(taskNumber: number, now: number): void {
    const block = blockOf(taskNumber);
    if (!this.dirtyBlocks.has(block)) this.dirtyBlocks.set(block, now);
  }

  /** Marks all blocks with finished tasks to be written again, and returns them. */
  markAllDirty(now: number): Set<number> {
    const blocks = new Set<number>();
    const bytesPerBlock = TASKS_PER_BLOCK / BITS_PER_BYTE;
    for (let block = 0; block * TASKS_PER_BLOCK < this.tasks; block++) {
      const bytes = this.bits.subarray(block * bytesPerBlock, (block + 1) * bytesPerBlock);
      if (!bytes.some((byte) => byte !== 0)) continue;
      blocks.add(block);
      if (!this.dirtyBlocks.has(block)) this.dirtyBlocks.set(block, now);
    }
    return blocks;
  }

  /** Whether a stored record contains the task, so that a new leader knows that it is finished. */
  isDurable(taskNumber: number): boolean {
    return this.has(taskNumber) && !this.dirtyBlocks.has(blockOf(taskNumber));
  }
}
