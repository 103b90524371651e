/**
 * Whether this controller keeps up. A timer that fires late means that everything else waits as long: answers and reports
 * lie unread, so for a while nobody's silence says anything.
 */
import type { Log } from '../runtime.js';

/** A timer that fires so late counts as being behind. */
const BEHIND_AFTER_MS = 300;
/** For so long after that, answers may still wait unread. */
const AFTERMATH_MS = 2500;

export class Lateness {
  private behindAt = -Infinity;

  constructor(
    private readonly intervalMs: number,
    private firedAt: number,
    private readonly log: Log,
  ) {}

  /** The timer has fired; by how much later than it should have. */
  timerFired(now: number): number {
    const lateMs = now - this.firedAt - this.intervalMs;
    this.firedAt = now;
    if (lateMs > BEHIND_AFTER_MS) {
      this.behindAt = now;
      this.log.info({ lateMs: Math.round(lateMs) }, 'behind its timers');
    }
    return lateMs;
  }

  /** Now or a moment ago. */
  isBehind(now: number): boolean {
    return now - this.behindAt < AFTERMATH_MS;
  }
}
