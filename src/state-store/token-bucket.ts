/** A token bucket on the monotonic clock, which keeps requests within a given rate. */

/**
 * Holds at most `burst` tokens and gains `ratePerS` of them per second. Starts full. `acquireUnconditionally` can make
 * the number of tokens negative.
 */
export class TokenBucket {
  private level: number;
  private refilledAt: number;

  constructor(
    private readonly ratePerS: number,
    private readonly burst: number,
    /** Returns the time of the monotonic clock, in milliseconds. */
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

  /**
   * Takes `count` tokens even if they are not available, for requests that must not be delayed. Later calls of
   * `tryAcquire` fail until the bucket is refilled.
   */
  acquireUnconditionally(count = 1): void {
    this.refill();
    this.level -= count;
  }
}
