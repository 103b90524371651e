/** Decides when scheduling cycles run. */
import type { Clock } from '../runtime.js';
import type { TermLifecycle } from './term-lifecycle.js';

/** Events come in bursts: the delay lets one cycle handle a whole burst. */
const MIN_DELAY_MS = 4;
/**
 * The delay before a cycle is extended by this many times the duration of the last cycle. This leaves most of the
 * processor time to other work: a lease renewal or a heartbeat never waits for more than one cycle.
 */
const DELAY_FACTOR = 4;
/** Upper bound of the cycle duration that the delay is computed from. */
const MAX_COUNTED_CYCLE_MS = 100;

/** Runs requested cycles after a short delay, one at a time. A request while one is scheduled is merged into it. */
export class CycleScheduler {
  private isScheduled = false;
  private lastCycleMs = 0;

  /** `runCycle` returns true if another cycle should follow immediately. */
  constructor(
    private readonly clock: Clock,
    private readonly lifecycle: TermLifecycle,
    private readonly runCycle: (now: number) => boolean,
  ) {}

  /** Requests a cycle, after a change that may allow tasks to start. */
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
