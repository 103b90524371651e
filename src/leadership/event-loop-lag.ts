/**
 * Whether this controller keeps up. A timer that fires late means that everything else waits as long: responses and
 * heartbeats lie unread, so for a while nobody's silence says anything.
 */
import type { Log } from '../runtime.js';

/** A timer that fires so late counts as lag. */
const LAG_THRESHOLD_MS = 300;
/** For so long after that, messages may still wait unread. */
const LAG_AFTERMATH_MS = 2500;

/** Measures by how much a periodic timer is late. */
export class EventLoopLag {
  private laggedAt = -Infinity;

  constructor(
    private readonly intervalMs: number,
    private firedAt: number,
    private readonly log: Log,
  ) {}

  /** The timer has fired. Returns by how many milliseconds later than it should have. */
  timerFired(now: number): number {
    const lateMs = now - this.firedAt - this.intervalMs;
    this.firedAt = now;
    if (lateMs > LAG_THRESHOLD_MS) {
      this.laggedAt = now;
      this.log.info({ lateMs: Math.round(lateMs) }, 'event loop lags');
    }
    return lateMs;
  }

  /** Is there lag now, or was there a moment ago? */
  isLagging(now: number): boolean {
    return now - this.laggedAt < LAG_AFTERMATH_MS;
  }
}
