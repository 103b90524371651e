/** Limits how many apparently dead machines are deleted in a round, to limit the damage of a false detection. */

/** Share of all machines that may be deleted in a round; in a large cluster this allows more than `minPerRound`. */
const MAX_SHARE_PER_ROUND = 0.12;

/** A sliding window over the deletions of the last round. */
export class DeletionBudget {
  private deletedAt: number[] = [];

  /**
   * `machineCount` is called at each use. `roundMs` is the length of a round, `minPerRound` the number of deletions
   * allowed in a cluster of any size.
   */
  constructor(
    private readonly machineCount: () => number,
    private readonly minPerRound: number,
    private readonly roundMs: number,
  ) {}

  /** Drops deletions older than a round. Must be called before `tryAcquire` whenever `now` has changed. */
  expire(now: number): void {
    this.deletedAt = this.deletedAt.filter((at) => now - at < this.roundMs);
  }

  /** Takes one deletion from the budget; returns false if the budget is used up. */
  tryAcquire(now: number): boolean {
    const perRound = Math.max(
      this.minPerRound,
      Math.ceil(this.machineCount() * MAX_SHARE_PER_ROUND),
    );
    if (this.deletedAt.length >= perRound) return false;
    this.deletedAt.push(now);
    return true;
  }
}
