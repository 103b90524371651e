/** How many requests may be under way before a probe is sent. */

/** Window sizes, in requests under way. */
const MIN_WINDOW = 8;
const INITIAL_WINDOW = 48;
const WINDOW_INCREASE = 12;
/** Share of all requests that probes may take. */
const MAX_WINDOW_SHARE = 0.8;
/** A timer that fires this late: answers have waited at least as long. */
const LATE_MS = 120;
/** After so many timers on time this controller keeps up again. */
const MIN_TIMERS_ON_TIME = 10;

/**
 * After a failover every machine is probed, and with hundreds of them that is more than a small controller can do
 * beside their heartbeats: answers then wait unread until they time out, and are asked for again. So the window follows
 * how late timers fire, as congestion windows do: it grows step by step while this controller keeps up, and halves when
 * it doesn't.
 */
export class ProbeWindow {
  private readonly maxWindow: number;
  private window: number;
  private timersOnTime = MIN_TIMERS_ON_TIME;

  constructor(maxRequests: number) {
    this.maxWindow = Math.max(MIN_WINDOW, Math.floor(maxRequests * MAX_WINDOW_SHARE));
    this.window = Math.min(INITIAL_WINDOW, this.maxWindow);
  }

  size(): number {
    return this.window;
  }

  /** Timers fired late a moment ago. A request takes several turns of the event loop, so its answer may wait far longer. */
  isCongested(): boolean {
    return this.timersOnTime < MIN_TIMERS_ON_TIME;
  }

  timerFired(lateMs: number): void {
    if (lateMs > LATE_MS) {
      this.timersOnTime = 0;
      this.window = Math.max(MIN_WINDOW, this.window >> 1);
      return;
    }
    this.timersOnTime++;
    this.window = Math.min(this.maxWindow, this.window + WINDOW_INCREASE);
  }
}
