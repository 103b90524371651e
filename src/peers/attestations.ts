/**
 * What the nodes attest to each other, so that without the state service they still know two things: which
 * cancellations were confirmed, and that no other node has been elected. Each node tells all others, every now and
 * then, what it confirmed of late and the highest epoch it knows of; and for each of them the time, by that one's own
 * clock, of the last message it had from it. Whoever reads its own time there knows that the attestation was made after
 * it. Together the attestations of all nodes cover everything up to the earliest of these times.
 */
import { DRIFT } from '../runtime.js';
import type { AttestationMessage } from './peer-messages.js';

/** Confirmations are repeated for so long: an attestation covers no more than that. */
const CONFIRMATION_RETENTION_MS = 60_000;

/** The process and send time, by the sender's clock, of a message. */
interface MessageOrigin {
  processId: string;
  sentAt: number;
}

/** What a peer's attestations cover, in times of our own clock. */
interface Coverage {
  processId: string;
  /** Everything that the peer confirmed between `from` and `to` is known here. */
  from: number;
  to: number;
  highestEpoch: number;
  /** Until then it was not elected in an epoch newer than `highestEpoch`. */
  notElectedUntil: number;
}

/** What this node attests, and what the others attest to it. */
export class Attestations {
  private readonly coverageByPeer = new Map<string, Coverage>();
  private readonly lastReceived = new Map<string, MessageOrigin>();
  /** When which cancellation was confirmed here, in order of time. */
  private readonly confirmedAt = new Map<string, number>();
  private readonly startedAt: number;

  /** `processId` tells this process apart from earlier ones of the same node. */
  constructor(
    private readonly self: string,
    private readonly processId: string,
    private readonly peers: string[],
    private readonly now: () => number,
  ) {
    this.startedAt = now();
  }

  /** A user is about to be told that the job is cancelled: called before the response goes out. */
  recordConfirmation(id: string): void {
    this.confirmedAt.delete(id);
    this.confirmedAt.set(id, this.now());
  }

  /** The message in which this node vouches for what it did until now. */
  attest(highestSeenEpoch: number, isCandidate: boolean): AttestationMessage {
    const now = this.now();
    this.dropOldConfirmations(now);
    return {
      t: 'attest',
      from: this.self,
      life: this.processId,
      upMs: now - this.startedAt,
      at: now,
      heard: this.lastReceivedFields(),
      claim: highestSeenEpoch,
      claiming: isCandidate,
      cancelled: [...this.confirmedAt.keys()],
    };
  }

  private dropOldConfirmations(now: number): void {
    for (const [id, at] of this.confirmedAt) {
      if (now - at < CONFIRMATION_RETENTION_MS * DRIFT) break;
      this.confirmedAt.delete(id);
    }
  }

  private lastReceivedFields(): AttestationMessage['heard'] {
    const fields: AttestationMessage['heard'] = {};
    for (const [peer, { processId, sentAt }] of this.lastReceived)
      fields[peer] = { life: processId, at: sentAt };
    return fields;
  }

  /** An attestation of a peer; it may be late. Learning the cancellations in it is left to the caller. */
  recordAttestation(message: AttestationMessage): void {
    const { from: peer, life: processId } = message;
    if (!this.peers.includes(peer)) return;
    this.lastReceived.set(peer, { processId, sentAt: message.at });
    const madeAfter = this.echoedTime(message);
    if (madeAfter === null) return;
    const previous = this.coverageByPeer.get(peer);
    if (previous?.processId === processId && madeAfter < previous.to) return;
    const current = coverageOf(message, madeAfter, this.now());
    this.coverageByPeer.set(peer, previous ? mergeCoverage(previous, current) : current);
  }

  /** The time of our own last message that the peer had received, or null if it had none of this process. */
  private echoedTime({ heard }: AttestationMessage): number | null {
    const echo = Object.hasOwn(heard, this.self) ? heard[this.self] : null;
    // Clocks of processes have nothing in common: the time of an earlier one of ours says nothing.
    return echo && echo.life === this.processId ? echo.at : null;
  }

  /** Until when all confirmed cancellations are known here, given that they are until `knownUntil`. */
  completeUntil(knownUntil: number): number {
    let until = Infinity;
    for (const peer of this.peers) {
      const coverage = this.coverageByPeer.get(peer);
      if (!coverage || coverage.from > knownUntil) return knownUntil;
      until = Math.min(until, coverage.to);
    }
    return until < Infinity ? Math.max(knownUntil, until) : knownUntil;
  }

  /** Until when no other node was elected after `epoch`, given that we led in it until `leaseValidUntil`. */
  uncontestedUntil(epoch: number, leaseValidUntil: number): number {
    let until = Infinity;
    for (const peer of this.peers) {
      const coverage = this.coverageByPeer.get(peer);
      if (!coverage || coverage.from > leaseValidUntil || coverage.highestEpoch > epoch)
        return leaseValidUntil;
      until = Math.min(until, coverage.notElectedUntil);
    }
    return until < Infinity ? Math.max(leaseValidUntil, until) : leaseValidUntil;
  }
}

/** What a single attestation covers that was made after the time `madeAfter`. */
function coverageOf(message: AttestationMessage, madeAfter: number, now: number): Coverage {
  return {
    processId: message.life,
    from: now - Math.min(message.upMs, CONFIRMATION_RETENTION_MS) / DRIFT,
    to: madeAfter,
    highestEpoch: message.claim,
    notElectedUntil: message.claiming ? -Infinity : madeAfter,
  };
}

/** Both together, or only the current one if there is a gap between them or they are of different processes. */
function mergeCoverage(previous: Coverage, current: Coverage): Coverage {
  if (previous.processId !== current.processId || current.from > previous.to) return current;
  return {
    processId: current.processId,
    from: Math.min(previous.from, current.from),
    to: Math.max(previous.to, current.to),
    highestEpoch: Math.max(previous.highestEpoch, current.highestEpoch),
    notElectedUntil: Math.max(previous.notElectedUntil, current.notElectedUntil),
  };
}
