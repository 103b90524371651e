/** Whether the leader still hears workers: one that hears none is partitioned from them, and another should lead. */

/** With this many machines, a heartbeat or two that are late don't look like silence. */
const LARGE_FLEET_MACHINES = 30;
const LARGE_FLEET_TIMEOUT_MS = 3500;
const SMALL_FLEET_TIMEOUT_MS = 4000;
const SMALL_FLEET_TIMEOUT_HEARTBEATS = 2.5;

/** Detects that no worker at all is heard any more. */
export class WorkerContact {
  private readonly smallFleetTimeoutMs: number;

  /** `lastHeartbeatAt`: of any worker, or when the term began. */
  constructor(
    heartbeatIntervalS: number,
    private lastHeartbeatAt: number,
  ) {
    this.smallFleetTimeoutMs = Math.max(
      SMALL_FLEET_TIMEOUT_MS,
      heartbeatIntervalS * 1000 * SMALL_FLEET_TIMEOUT_HEARTBEATS,
    );
  }

  recordHeartbeat(now: number): void {
    this.lastHeartbeatAt = now;
  }

  /**
   * `machineCount`: machines that are expected to send heartbeats. `isLagging`: heartbeats may wait unread, so that
   * silence says less.
   */
  isLost(machineCount: number, isLagging: boolean, now: number): boolean {
    const timeoutMs =
      machineCount >= LARGE_FLEET_MACHINES && !isLagging
        ? LARGE_FLEET_TIMEOUT_MS
        : this.smallFleetTimeoutMs;
    return machineCount > 0 && now - this.lastHeartbeatAt > timeoutMs;
  }
}
