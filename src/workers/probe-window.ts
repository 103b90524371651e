/**
 * How many requests may be under way before a probe is sent. After a takeover every machine is probed, and with hundreds of
 * them that is more than a small controller can do beside their reports: answers then wait unread until they time out, and
 * are asked for again. So the window follows how late timers fire, as congestion windows do: it grows step by step while
 * this controller keeps up, and halves when it doesn't.
 */
const SMALLEST = 8;
/** Share of all requests that probes may take. */
const LARGEST_SHARE = 0.8;
const FIRST = 48;
const STEP = 12;
/** A timer that fires this late: answers have waited at least as long. */
const LATE_MS = 120;
/** After so many timers on time this controller keeps up again. */
const ON_TIME_IN_A_ROW = 10;

export class ProbeWindow {
  private readonly largest: number;
  private current: number;
  private onTimeInARow = ON_TIME_IN_A_ROW;

  constructor(mostRequests: number) {
    this.largest = Math.max(SMALLEST, Math.floor(mostRequests * LARGEST_SHARE));
    this.current = Math.min(FIRST, this.largest);
  }

  size(): number {
    return this.current;
  }

  /** Timers fired late a moment ago. A request takes several turns of the event loop, so its answer may wait far longer. */
  isCongested(): boolean {
    return this.onTimeInARow < ON_TIME_IN_A_ROW;
  }

  timerFired(lateMs: number): void {
    if (lateMs > LATE_MS) {
      this.onTimeInARow = 0;
      this.current = Math.max(SMALLEST, this.current >> 1);
      return;
    }
    this.onTimeInARow++;
    this.current = Math.min(this.largest, this.current + STEP);
  }
}
