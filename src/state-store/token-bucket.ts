/** A token bucket on the steady clock, for requests within a rate that others set. */

/**
 * Holds at most `burst` tokens and gains `ratePerS` of them a second. Starts full. The level may become negative,
 * by `acquireUnconditionally`.
 */
export class TokenBucket {
  private level: number;
  private refilledAt: number;

  constructor(
    private readonly ratePerS: number,
    private readonly burst: number,
    /** Steady milliseconds. */
    private readonly now: () => number,
  ) {
    this.level = burst;
    this.refilledAt = now();
  }

  private refill(): void {
    const now = this.now();
    const gained = ((now - this.refilledAt) / 1000) * this.ratePerS;
    this.level = Math.min(this.burst, this.level + gained);
    this.refilledAt = now;
  }

  /** Takes `count` tokens if at least `reserve` are left afterwards; otherwise takes none and returns false. */
  tryAcquire(count = 1, reserve = 0): boolean {
    this.refill();
    if (this.level < count + reserve) return false;
    this.level -= count;
    return true;
  }

  /** For what must go out whatever the level; later callers wait until it is made up for. */
  acquireUnconditionally(count = 1): void {
    this.refill();
    this.level -= count;
  }
}
