/** Limits how many machines that seem dead are deleted in a round, so that a misjudgement stays small. */

/** Of all machines: in a large cluster more of them may be deleted in a round. */
const MAX_SHARE_PER_ROUND = 0.12;

/** A sliding window over the last round's deletions. */
export class DeletionBudget {
  private deletedAt: number[] = [];

  /** `machineCount` is asked at each use; `roundMs` is the length of a round, `minPerRound` allowed in any cluster. */
  constructor(
    private readonly machineCount: () => number,
    private readonly minPerRound: number,
    private readonly roundMs: number,
  ) {}

  /** Forgets deletions older than a round; to be called before `tryAcquire` at a new time. */
  expire(now: number): void {
    this.deletedAt = this.deletedAt.filter((at) => now - at < this.roundMs);
  }

  /** Takes one deletion from the budget; false if it is used up. */
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
