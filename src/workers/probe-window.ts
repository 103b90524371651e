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

export class ProbeWindow {
  private readonly largest: number;
  private current: number;

  constructor(mostRequests: number) {
    this.largest = Math.max(SMALLEST, Math.floor(mostRequests * LARGEST_SHARE));
    this.current = Math.min(FIRST, this.largest);
  }

  size(): number {
    return this.current;
  }

  /** This controller was behind of late. */
  isShrunk(): boolean {
    return this.current < Math.min(FIRST, this.largest);
  }

  timerFired(lateMs: number): void {
    if (lateMs > LATE_MS) this.current = Math.max(SMALLEST, this.current >> 1);
    else this.current = Math.min(this.largest, this.current + STEP);
  }
}
