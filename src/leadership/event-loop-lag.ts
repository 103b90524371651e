/**
 * Whether this controller keeps up. A timer that fires late means that everything else waits as long: answers and reports
 * lie unread, so for a while nobody's silence says anything.
 */
import type { Log } from '../runtime.js';

/** A timer that fires so late counts as being behind. */
const LAG_THRESHOLD_MS = 300;
/** For so long after that, answers may still wait unread. */
const LAG_AFTERMATH_MS = 2500;

export class EventLoopLag {
  private laggedAt = -Infinity;

  constructor(
    private readonly intervalMs: number,
    private firedAt: number,
    private readonly log: Log,
  ) {}

  /** The timer has fired; by how much later than it should have. */
  timerFired(now: number): number {
    const lateMs = now - this.firedAt - this.intervalMs;
    this.firedAt = now;
    if (lateMs > LAG_THRESHOLD_MS) {
      this.laggedAt = now;
      this.log.info({ lateMs: Math.round(lateMs) }, 'behind its timers');
    }
    return lateMs;
  }

  /** Now or a moment ago. */
  isLagging(now: number): boolean {
    return now - this.laggedAt < LAG_AFTERMATH_MS;
  }
}
