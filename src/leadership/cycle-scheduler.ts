/** Decides when scheduling cycles run. */
import type { Clock } from '../runtime.js';
import type { TermLifecycle } from './term-lifecycle.js';

/** Events come in bursts: one cycle serves them all. */
const MIN_DELAY_MS = 4;
/**
 * Between cycles so many times the last one's duration passes, which leaves most of the processor to whatever else
 * waits: a renewal or a heartbeat is never behind more than one cycle.
 */
const DELAY_FACTOR = 4;
const MAX_COUNTED_CYCLE_MS = 100;

/** Runs a requested cycle soon, and at most one at a time. */
export class CycleScheduler {
  private isScheduled = false;
  private lastCycleMs = 0;

  /** `runCycle` returns true if there is more to do at once. */
  constructor(
    private readonly clock: Clock,
    private readonly lifecycle: TermLifecycle,
    private readonly runCycle: (now: number) => boolean,
  ) {}

  /** Something has changed that may let tasks start. */
  request(): void {
    if (this.isScheduled || !this.lifecycle.isServing()) return;
    this.isScheduled = true;
    this.clock.after(MIN_DELAY_MS + DELAY_FACTOR * this.lastCycleMs, () => {
      this.isScheduled = false;
      this.run();
    });
  }

  private run(): void {
    if (!this.lifecycle.isLeader()) return;
    const beganAt = this.clock.now();
    const hasMore = this.runCycle(beganAt);
    this.lastCycleMs = Math.min(MAX_COUNTED_CYCLE_MS, this.clock.now() - beganAt);
    if (hasMore) this.request();
  }
}
