/**
 * Detects that this controller's event loop lags. When a timer fires late, all other events are delayed as much:
 * responses and heartbeats have arrived but are not yet read. For some time, a missing heartbeat or response therefore
 * does not indicate that its sender is unreachable.
 */
import type { Log } from '../runtime.js';

/** A timer that fires later than this counts as lag. */
const LAG_THRESHOLD_MS = 300;
/** Time after a lag during which messages may still be unread. */
const RECENT_LAG_MS = 2500;

/** Measures how late a periodic timer fires. */
export class EventLoopLag {
  private laggedAt = -Infinity;

  constructor(
    private readonly intervalMs: number,
    private firedAt: number,
    private readonly log: Log,
  ) {}

  /**
   * Called each time the timer fires. Returns how many milliseconds late it fired, and logs and remembers a delay above
   * `LAG_THRESHOLD_MS`.
   */
  measure(now: number): number {
    const lateMs = now - this.firedAt - this.intervalMs;
    this.firedAt = now;
    if (lateMs > LAG_THRESHOLD_MS) {
      this.laggedAt = now;
      this.log.info({ lateMs: Math.round(lateMs) }, 'event loop lags');
    }
    return lateMs;
  }

  /** Whether the event loop lags now, or did within the last `RECENT_LAG_MS`. */
  isLagging(now: number): boolean {
    return now - this.laggedAt < RECENT_LAG_MS;
  }
}
