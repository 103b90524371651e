/** Limits how many apparently dead machines are deleted in a time window, to limit the damage of a false detection. */

/** Share of all machines that may be deleted in a window; in a large cluster this allows more than `minPerWindow`. */
const MAX_SHARE_PER_WINDOW = 0.12;

/** Counts the deletions in a sliding time window. */
export class DeletionBudget {
  private deletedAt: number[] = [];

  /**
   * `machineCount` is called at each use. `windowMs` is the length of the window, `minPerWindow` the number of
   * deletions allowed in a cluster of any size.
   */
  constructor(
    private readonly machineCount: () => number,
    private readonly minPerWindow: number,
    private readonly windowMs: number,
  ) {}

  /** Drops deletions older than the window. Must be called before `tryAcquire` whenever `now` has changed. */
  expire(now: number): void {
    this.deletedAt = this.deletedAt.filter((at) => now - at < this.windowMs);
  }

  /** Takes one deletion from the budget; returns false if the budget is used up. */
  tryAcquire(now: number): boolean {
    const perWindow = Math.max(
      this.minPerWindow,
      Math.ceil(this.machineCount() * MAX_SHARE_PER_WINDOW),
    );
    if (this.deletedAt.length >= perWindow) return false;
    this.deletedAt.push(now);
    return true;
  }
}
