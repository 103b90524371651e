/**
 * What the nodes vouch for to each other, so that short of the state service they still know two things: which
 * cancellations were confirmed, and that nobody else has claimed the leadership. Each node tells all others, every
 * now and then, what it confirmed of late and which claim it knows of; and for each of them the time, by that
 * one's own clock, of the last message it had from it. Whoever reads its own time there knows that the statement
 * was made after it. Together the statements of all nodes cover everything up to the earliest of these times.
 */
import { DRIFT } from '../runtime.js';

/** Confirmations are repeated for so long: a statement covers no more than that. */
const TOLD_MS = 60_000;

export interface Attestation {
  t: 'attest';
  from: string;
  /** Another process has another one: it remembers nothing of what an earlier one confirmed. */
  life: string;
  upMs: number;
  /** The sender's clock. */
  at: number;
  /** By node: its process and clock in the last message that the sender had from it. */
  heard: Record<string, { life: string; at: number }>;
  /** The latest claim that the sender knows of, its own included. */
  claim: number;
  /** A claim of its own may be on its way. */
  claiming: boolean;
  cancelled: string[];
}

interface Coverage {
  life: string;
  /** By our clock: everything that this peer confirmed in between is known here. */
  from: number;
  to: number;
  claim: number;
  /** Until then it had claimed nothing newer than `claim`. */
  claimTo: number;
}

export class Attestations {
  private readonly coverage = new Map<string, Coverage>();
  private readonly heard: Attestation['heard'] = {};
  private readonly confirmed = new Map<string, number>();
  private readonly beganAt: number;

  constructor(
    private readonly self: string,
    private readonly life: string,
    private readonly peers: string[],
    private readonly now: () => number,
  ) {
    this.beganAt = now();
  }

  /** We tell a user that the job is cancelled. Called before the answer goes out. */
  confirm(id: string): void {
    this.confirmed.delete(id);
    this.confirmed.set(id, this.now());
  }

  statement(claim: number, claiming: boolean): Attestation {
    const now = this.now();
    for (const [id, at] of this.confirmed) {
      if (now - at < TOLD_MS * DRIFT) break;
      this.confirmed.delete(id);
    }
    return {
      t: 'attest',
      from: this.self,
      life: this.life,
      upMs: now - this.beganAt,
      at: now,
      heard: { ...this.heard },
      claim,
      claiming,
      cancelled: [...this.confirmed.keys()],
    };
  }

  /** A message of another node; it may be late. The cancellations in it are learnt by the caller. */
  recordStatement(m: Attestation): void {
    if (!this.peers.includes(m.from)) return;
    this.heard[m.from] = { life: m.life, at: m.at };
    const echo = Object.hasOwn(m.heard, this.self) ? m.heard[this.self] : null;
    // Clocks of processes have nothing in common: what an earlier one of ours said is no time of ours.
    if (!echo || echo.life !== this.life) return;
    const to = echo.at;
    const now = this.now();
    const from = now - Math.min(m.upMs, TOLD_MS) / DRIFT;
    const old = this.coverage.get(m.from);
    if (old && old.life === m.life && to < old.to) return;
    const goesOn = old !== undefined && old.life === m.life && from <= old.to;
    const c: Coverage = goesOn
      ? old
      : { life: m.life, from, to, claim: m.claim, claimTo: m.claiming ? -Infinity : to };
    if (goesOn) {
      c.from = Math.min(c.from, from);
      c.to = Math.max(c.to, to);
      if (m.claim > c.claim) c.claim = m.claim;
      if (!m.claiming) c.claimTo = Math.max(c.claimTo, to);
    }
    this.coverage.set(m.from, c);
  }

  /** Known to be complete up to `asOf`: until when it is by what all the others vouch for. */
  completeFrom(asOf: number): number {
    let until = Infinity;
    for (const p of this.peers) {
      const c = this.coverage.get(p);
      if (!c || c.from > asOf) return asOf;
      until = Math.min(until, c.to);
    }
    return until < Infinity ? Math.max(asOf, until) : asOf;
  }

  /** We surely led until `validUntil`: until when no other node had made a newer claim. */
  unclaimedUntil(claim: number, validUntil: number): number {
    let until = Infinity;
    for (const p of this.peers) {
      const c = this.coverage.get(p);
      if (!c || c.from > validUntil || c.claim > claim) return validUntil;
      until = Math.min(until, c.claimTo);
    }
    return until < Infinity ? Math.max(validUntil, until) : validUntil;
  }
}
