/** Limits on requests as the stand-ins enforce them: buckets that fill up over time. */

/** A bucket that fills at a steady rate up to a burst. */
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

  /** Is there enough in the bucket for so many at this time? */
  has(count: number, nowMs: number): boolean {
    this.refill(nowMs);
    return this.level >= count;
  }

  take(count: number): void {
    this.level -= count;
  }
}
