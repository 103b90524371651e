/** A token bucket on the steady clock. */
export class TokenBucket {
  private level: number;
  private at: number;

  constructor(
    private readonly perS: number,
    private readonly burst: number,
    private readonly now: () => number,
  ) {
    this.level = burst;
    this.at = now();
  }

  private refill(): void {
    const t = this.now();
    this.level = Math.min(this.burst, this.level + ((t - this.at) / 1000) * this.perS);
    this.at = t;
  }

  /** Takes `n` if at least `rest` are left then. */
  tryAcquire(n = 1, rest = 0): boolean {
    this.refill();
    if (this.level < n + rest) return false;
    this.level -= n;
    return true;
  }

  /** For what must go out whatever the level; later takers wait for it. */
  acquireUnconditionally(n = 1): void {
    this.refill();
    this.level -= n;
  }
}
