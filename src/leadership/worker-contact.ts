/** Whether the leader still hears workers: one that hears none is cut off from them, and another should lead. */

/** With this many machines, no report at all for QUIET_MS means that we are cut off from them. */
const LARGE_FLEET_MACHINES = 30;
const LARGE_FLEET_SILENCE_MS = 3500;
/** The same with fewer machines, of which a report or two may be late. */
const SMALL_FLEET_SILENCE_MS = 4000;
const SMALL_FLEET_SILENCE_HEARTBEATS = 2.5;

export class WorkerContact {
  private readonly smallFleetSilenceMs: number;

  /** `heardAt`: when a worker was last heard, or the term began. */
  constructor(
    reportS: number,
    private lastHeartbeatAt: number,
  ) {
    this.smallFleetSilenceMs = Math.max(
      SMALL_FLEET_SILENCE_MS,
      reportS * 1000 * SMALL_FLEET_SILENCE_HEARTBEATS,
    );
  }

  recordHeartbeat(now: number): void {
    this.lastHeartbeatAt = now;
  }

  /** `machines`: how many are expected to report. `behind`: reports wait unread, so that less follows from quiet. */
  isLost(machines: number, behind: boolean, now: number): boolean {
    const quietMs =
      machines >= LARGE_FLEET_MACHINES && !behind
        ? LARGE_FLEET_SILENCE_MS
        : this.smallFleetSilenceMs;
    return machines > 0 && now - this.lastHeartbeatAt > quietMs;
  }
}
