/** Fencing tokens of machines: advancing them, and tracking which tokens the machines have reported. */
import type { Machine } from './machine.js';

/**
 * Each command carries a token, and a worker refuses tokens lower than the highest that it has seen. So a command whose
 * outcome is unknown can no longer be executed once the machine has reported a higher token.
 */
export class FencingTokens {
  constructor(
    /** Lowest token of this leader, higher than all tokens of former leaders. */
    private readonly baseToken: number,
  ) {}

  tokenFor(machine: Machine): number {
    return this.baseToken + machine.tokenOffset;
  }

  advance(machine: Machine): number {
    machine.tokenOffset++;
    return this.tokenFor(machine);
  }

  /** Advances the token for a machine unless it is above the given one already. */
  ensureAbove(machine: Machine, token: number): void {
    if (this.tokenFor(machine) <= token) this.advance(machine);
  }

  /**
   * Returns the token for a heartbeat response. It is advanced once the last acknowledgement is older than
   * `intervalMs`, so that the next heartbeat shows whether responses reach the machine. A machine whose heartbeats
   * arrive, but that receives no responses, would otherwise seem healthy until its lease expires.
   */
  requestAck(machine: Machine, now: number, intervalMs: number): number {
    if (machine.pendingTokenAck) {
      machine.pendingTokenAck.heartbeats++;
      return this.tokenFor(machine);
    }
    const isDue = now - machine.tokenAcknowledgedAt > intervalMs;
    if (isDue && !machine.inFlight && machine.reportedToken >= this.tokenFor(machine))
      this.advance(machine);
    const token = this.tokenFor(machine);
    if (machine.reportedToken < token)
      machine.pendingTokenAck = { token, since: now, heartbeats: 0 };
    return token;
  }
}

/** Records the token that a heartbeat reported: the machine refuses lower ones from now on. */
export function recordReportedToken(machine: Machine, token: number, now: number): void {
  machine.reportedToken = Math.max(machine.reportedToken, token);
  if (!machine.pendingTokenAck || machine.reportedToken < machine.pendingTokenAck.token) return;
  machine.pendingTokenAck = null;
  machine.tokenAcknowledgedAt = now;
}
