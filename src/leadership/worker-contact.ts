/**
 * Detects whether the leader still receives heartbeats. A leader that receives none is partitioned from the workers,
 * and another node should lead.
 */

/**
 * At least this many machines send heartbeats so often that a shorter timeout is conclusive: one or two late heartbeats
 * are not mistaken for a loss of contact, since any machine's heartbeat restarts the timeout.
 */
const LARGE_FLEET_MACHINES = 30;
const LARGE_FLEET_TIMEOUT_MS = 3500;
const SMALL_FLEET_TIMEOUT_MS = 4000;
const SMALL_FLEET_TIMEOUT_HEARTBEATS = 2.5;

/** Detects that heartbeats arrive from no worker any more. */
export class WorkerContact {
  private readonly smallFleetTimeoutMs: number;

  /** `lastHeartbeatAt`: time of the last heartbeat of any worker, or of the start of the term. */
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
   * Whether contact with all workers is lost. `machineCount`: number of machines that are expected to send heartbeats.
   * `isLagging`: heartbeats may have arrived but not been read, so missing heartbeats are a weaker sign.
   */
  isLost(machineCount: number, isLagging: boolean, now: number): boolean {
    const timeoutMs =
      machineCount >= LARGE_FLEET_MACHINES && !isLagging
        ? LARGE_FLEET_TIMEOUT_MS
        : this.smallFleetTimeoutMs;
    return machineCount > 0 && now - this.lastHeartbeatAt > timeoutMs;
  }
}
