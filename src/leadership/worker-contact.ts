/** Whether the leader still hears workers: one that hears none is cut off from them, and another should lead. */

/** With this many machines, no report at all for QUIET_MS means that we are cut off from them. */
const MANY = 30;
const QUIET_MS = 3500;
/** The same with fewer machines, of which a report or two may be late. */
const QUIET_FEW_MS = 4000;
const QUIET_FEW_REPORTS = 2.5;

export class WorkerContact {
  private readonly quietFewMs: number;

  /** `heardAt`: when a worker was last heard, or the term began. */
  constructor(
    reportS: number,
    private heardAt: number,
  ) {
    this.quietFewMs = Math.max(QUIET_FEW_MS, reportS * 1000 * QUIET_FEW_REPORTS);
  }

  heard(now: number): void {
    this.heardAt = now;
  }

  /** `machines`: how many are expected to report. `behind`: reports wait unread, so that less follows from quiet. */
  isLost(machines: number, behind: boolean, now: number): boolean {
    const quietMs = machines >= MANY && !behind ? QUIET_MS : this.quietFewMs;
    return machines > 0 && now - this.heardAt > quietMs;
  }
}
