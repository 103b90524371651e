/**
 * Attestations that controllers exchange, so that without the state service they still know two things: which
 * cancellations were confirmed, and that no other controller has been elected. Each controller periodically sends to
 * its peers, which are all other controllers, what it confirmed recently, the highest epoch it knows of, and for each
 * peer the send time, by the peer's clock, of the last attestation received from it. A controller that finds a send
 * time of its own in an attestation knows that the attestation was made after that time. Together the attestations of
 * all peers cover everything up to the earliest of these times.
 */
import { MAX_CLOCK_DRIFT } from '../runtime.js';
import { isMap } from '../wire/cbor.js';
import type { AttestationMessage } from './peer-messages.js';

/** How long a confirmation is repeated in attestations: no attestation covers a longer period. */
const CONFIRMATION_RETENTION_MS = 60_000;

/** The process that sent an attestation, and the send time by its clock. */
interface MessageOrigin {
  processId: string;
  sentAt: number;
}

/** What a peer's attestations cover. All times are of this controller's clock. */
interface Coverage {
  processId: string;
  /** Send time of the latest of them by the peer's clock. */
  sentAt: number;
  /** All cancellations that the peer confirmed between `from` and `to` are known here. */
  from: number;
  to: number;
  highestEpoch: number;
  /** Time until which the peer was not elected in an epoch newer than `highestEpoch`. */
  notElectedUntil: number;
}

/** Creates the attestations of this controller and evaluates those of its peers. */
export class Attestations {
  private readonly coverageByPeer = new Map<string, Coverage>();
  private readonly lastReceived = new Map<string, MessageOrigin>();
  /** Time at which this controller last confirmed each cancellation, by job id, the oldest first. */
  private readonly confirmedAt = new Map<string, number>();
  private readonly startedAt: number;

  /** `processId` distinguishes this process from earlier ones of the same controller. */
  constructor(
    private readonly self: string,
    private readonly processId: string,
    private readonly peers: string[],
    private readonly now: () => number,
  ) {
    this.startedAt = now();
  }

  /** Records that the cancellation of a job is being confirmed to a user. Called before the response is sent. */
  recordConfirmation(id: string): void {
    this.confirmedAt.delete(id);
    this.confirmedAt.set(id, this.now());
  }

  /** Creates the message in which this controller attests what it did until now. */
  attest(highestSeenEpoch: number, isCandidate: boolean): AttestationMessage {
    const now = this.now();
    this.dropOldConfirmations(now);
    return {
      t: 'attest',
      from: this.self,
      life: this.processId,
      upMs: now - this.startedAt,
      at: now,
      heard: this.heard(),
      claim: highestSeenEpoch,
      claiming: isCandidate,
      cancelled: [...this.confirmedAt.keys()],
    };
  }

  private dropOldConfirmations(now: number): void {
    for (const [id, at] of this.confirmedAt) {
      if (now - at < CONFIRMATION_RETENTION_MS * MAX_CLOCK_DRIFT) break;
      this.confirmedAt.delete(id);
    }
  }

  /** By peer: process and send time of the last attestation received, as messages tell it. */
  heard(): AttestationMessage['heard'] {
    const fields: AttestationMessage['heard'] = {};
    for (const [peer, { processId, sentAt }] of this.lastReceived)
      fields[peer] = { life: processId, at: sentAt };
    return fields;
  }

  /**
   * Evaluates an attestation of a peer. The caller records the cancellations in it. Returns false, and changes nothing,
   * if the attestation is late: a newer one was received before, perhaps of a newer process of the peer.
   */
  recordAttestation(message: AttestationMessage): boolean {
    const { from: peer, life: processId } = message;
    if (!this.peers.includes(peer)) return false;
    const madeAfter = this.echoedTime(message.heard);
    const previous = this.coverageByPeer.get(peer);
    if (previous && madeAfter !== null && madeAfter < previous.to) return false;
    this.lastReceived.set(peer, { processId, sentAt: message.at });
    if (madeAfter === null) return true;
    const current = coverageOf(message, madeAfter, this.now());
    this.coverageByPeer.set(peer, previous ? mergeCoverage(previous, current) : current);
    return true;
  }

  /**
   * Returns the send time of the last attestation of this process that the sender of a message had received, by what the
   * message tells of the attestations that its sender `heard`; null if it had received none. The message was composed
   * after this time.
   */
  echoedTime(heard: AttestationMessage['heard']): number | null {
    const echo = Object.hasOwn(heard, this.self) ? heard[this.self] : null;
    // Clocks of different processes are unrelated: a send time of an earlier process of this controller is of no use.
    return isMap(echo) && echo.life === this.processId ? echo.at : null;
  }

  /** Send time of the latest attestation of this process that the peer is known to have received; -Infinity if none. */
  acknowledgedAt(peer: string): number {
    return this.coverageByPeer.get(peer)?.to ?? -Infinity;
  }

  /**
   * Returns the send time, by the peer's clock, of an attestation that the peer made after `since`; null if none is
   * known. If this process's present connection to the peer exists since then, the process at its other end made the
   * attestation: only that process can have received what was sent over the connection.
   */
  sendTimeSince(peer: string, since: number): number | null {
    const coverage = this.coverageByPeer.get(peer);
    return coverage && coverage.to > since ? coverage.sentAt : null;
  }

  /**
   * Returns the time until which all confirmed cancellations are known here, given that they are known until
   * `knownUntil`.
   */
  completeUntil(knownUntil: number): number {
    let until = Infinity;
    for (const peer of this.peers) {
      const coverage = this.coverageByPeer.get(peer);
      if (!coverage || coverage.from > knownUntil) return knownUntil;
      until = Math.min(until, coverage.to);
    }
    return until < Infinity ? Math.max(knownUntil, until) : knownUntil;
  }

  /**
   * Returns the time until which no other controller was elected after `epoch`, given that this one led in `epoch`
   * until `leaseValidUntil`.
   */
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

/** Returns what a single attestation covers, given that it was made after `madeAfter`. */
function coverageOf(message: AttestationMessage, madeAfter: number, now: number): Coverage {
  return {
    processId: message.life,
    sentAt: message.at,
    from: now - Math.min(message.upMs, CONFIRMATION_RETENTION_MS) / MAX_CLOCK_DRIFT,
    to: madeAfter,
    highestEpoch: message.claim,
    notElectedUntil: message.claiming ? -Infinity : madeAfter,
  };
}

/** Merges two coverages. Returns only the current one if there is a gap between them or the processes differ. */
function mergeCoverage(previous: Coverage, current: Coverage): Coverage {
  if (previous.processId !== current.processId || current.from > previous.to) return current;
  return {
    processId: current.processId,
    sentAt: Math.max(previous.sentAt, current.sentAt),
    from: Math.min(previous.from, current.from),
    to: Math.max(previous.to, current.to),
    highestEpoch: Math.max(previous.highestEpoch, current.highestEpoch),
    notElectedUntil: Math.max(previous.notElectedUntil, current.notElectedUntil),
  };
}
