/** Fencing tokens of machines: how they are advanced, and whether machines show them. */
import type { Machine } from './machine.js';

/**
 * Each command carries a token, and a worker refuses lower ones than it has seen. So a command whose fate is not known
 * can surely not be executed any more once the machine has shown a higher token.
 */
export class FencingTokens {
  constructor(
    /** Of this leader, above all of former leaders. */
    private readonly baseToken: number,
  ) {}

  tokenFor(machine: Machine): number {
    return this.baseToken + machine.tokenOffset;
  }

  advance(machine: Machine): number {
    machine.tokenOffset++;
    return this.tokenFor(machine);
  }

  /**
   * The token for the answer to a heartbeat. Now and then it is raised, so that the next heartbeat tells whether
   * answers reach the machine at all: one whose heartbeats arrive, but to which no answers get through, would
   * otherwise look well until its lease ends.
   */
  requestAck(machine: Machine, now: number, intervalMs: number): number {
    if (machine.pendingTokenAck) {
      machine.pendingTokenAck.heartbeats++;
      return this.tokenFor(machine);
    }
    const isDue = now - machine.tokenConfirmedAt > intervalMs;
    if (isDue && !machine.inFlight && machine.shownToken >= this.tokenFor(machine))
      this.advance(machine);
    const token = this.tokenFor(machine);
    if (machine.shownToken < token) machine.pendingTokenAck = { token, since: now, heartbeats: 0 };
    return token;
  }
}

/** A heartbeat carried this token: the machine has seen it. */
export function recordShownToken(machine: Machine, token: number, now: number): void {
  machine.shownToken = Math.max(machine.shownToken, token);
  if (!machine.pendingTokenAck || machine.shownToken < machine.pendingTokenAck.token) return;
  machine.pendingTokenAck = null;
  machine.tokenConfirmedAt = now;
}
