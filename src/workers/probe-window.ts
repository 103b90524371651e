/** Limits the number of requests in flight while probes are sent. */

/** Window sizes, in requests in flight. */
const MIN_WINDOW = 8;
const INITIAL_WINDOW = 48;
const WINDOW_INCREASE = 12;
/** Maximum window as a share of the maximum number of requests in flight. */
const MAX_WINDOW_SHARE = 0.8;
/** A timer that fires with a longer delay than this is late; responses have waited unread for at least as long. */
const LATE_TIMER_MS = 120;
/** Number of consecutive firings of the timer on time after which this controller is no longer congested. */
const MIN_FIRINGS_ON_TIME = 10;

/**
 * Congestion window for probes. After a failover every machine is probed; with hundreds of machines, a small controller
 * cannot handle that in addition to their heartbeats. Responses then wait unread until they time out, and the probes
 * are repeated. So the window depends on the delay of a periodic timer: it grows step by step while the timer fires on
 * time, and is halved each time it fires late.
 */
export class ProbeWindow {
  private readonly maxWindow: number;
  private window: number;
  private firingsOnTime = MIN_FIRINGS_ON_TIME;

  constructor(maxRequests: number) {
    this.maxWindow = Math.max(MIN_WINDOW, Math.floor(maxRequests * MAX_WINDOW_SHARE));
    this.window = Math.min(INITIAL_WINDOW, this.maxWindow);
  }

  size(): number {
    return this.window;
  }

  /**
   * Whether the timer fired late recently. A request takes several turns of the event loop, so its response may be
   * delayed much longer than the timer.
   */
  isCongested(): boolean {
    return this.firingsOnTime < MIN_FIRINGS_ON_TIME;
  }

  /** Adjusts the window after the timer has fired `lateMs` late. */
  recordTimerDelay(lateMs: number): void {
    if (lateMs > LATE_TIMER_MS) {
      this.firingsOnTime = 0;
      this.window = Math.max(MIN_WINDOW, this.window >> 1);
      return;
    }
    this.firingsOnTime++;
    this.window = Math.min(this.maxWindow, this.window + WINDOW_INCREASE);
  }
}
