/** Rate limits that the simulated services enforce, as token buckets. */

/** A token bucket that fills at a constant rate up to the size of a burst. */
export class RateLimit {
  private level: number;
  private levelAt = 0;

  constructor(
    private readonly perS: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  private refill(nowMs: number): void {
    const seconds = (nowMs - this.levelAt) / 1000;
    this.level = Math.min(this.burst, this.level + seconds * this.perS);
    this.levelAt = nowMs;
  }

  /** Whether the bucket contains at least `count` tokens at this time. */
  has(count: number, nowMs: number): boolean {
    this.refill(nowMs);
    return this.level >= count;
  }

  take(count: number): void {
    this.level -= count;
  }
}
