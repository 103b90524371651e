/**
 * Extension of worker leases by followers while the leader is unreachable. A worker kills its tasks when no node has
 * responded to its heartbeats for the duration of its lease, so a short partition between zones, or a crash of the
 * leader, would cost the work of all affected workers. Followers therefore hold a grant from the leader: for
 * `leaseExtensionMs` from the time they requested it, they may respond to heartbeats with the worker's own token and no
 * commands. Such a response renews the lease and does nothing else.
 *
 * This is safe because every grant is limited by the follower's own clock, counted from the time of the request; the
 * leader, and any later leader, adds that time before it considers a worker's lease expired.
 *
 * The clock of a process begins anew, so the time of a request means nothing to a later process of the same follower.
 * Both sides make sure of the process: the leader grants only what the process at the other end of its connection
 * requested (see `Attestations.sendTimeSince`), and the follower accepts only responses to its own requests. Each of
 * them suffices, so that it holds beside a build that does not.
 */
import { type Log, MAX_CLOCK_DRIFT } from '../runtime.js';
import { epochOfToken } from './leader-record.js';

/** A peer without contact for longer than this counts as unreachable: the leader for a follower, and vice versa. */
const CONTACT_TIMEOUT_MS = 1200;
/** Interval at which a follower requests a grant from the leader. */
export const REQUEST_INTERVAL_MS = 400;
/** Reserve within the time by which the tasks of a cancelled job must have exited. */
const CANCELLATION_MARGIN_S = 4;
const MAX_EXTENSION_MS = 20_000;

/**
 * Returns for how long followers may extend leases, in milliseconds. Tasks must have exited `cancelS` seconds after a
 * cancellation, even on an unreachable machine whose lease is extended up to the limit.
 */
export function leaseExtensionMs(cancelS: number, leaseS: number): number {
  const spareMs = (cancelS - leaseS - CANCELLATION_MARGIN_S) * 1000;
  return Math.max(0, Math.min(MAX_EXTENSION_MS, spareMs));
}

/** The leader's response to a follower's request to extend leases: a grant if `mayExtend`, and a refusal otherwise. */
export interface LeaseExtensionResponse {
  /** Epoch of the leader's term. */
  epoch: number;
  /** Whether the follower may extend leases. */
  mayExtend: boolean;
}

/** A grant that a follower holds: it may extend leases of the epoch's workers until a time of its own clock. */
interface HeldGrant {
  epoch: number;
  until: number;
}

/** The follower's side: the grant that this process holds. */
export class LeaseExtender {
  private grant: HeldGrant | null = null;
  private lastContactAt = -Infinity;
  /** Send times of this process's requests, oldest first, as long as a grant for them could still be valid. */
  private readonly requestTimes = new Set<number>();
  private isExtending = false;

  constructor(
    private readonly extensionMs: number,
    private readonly log: Log,
  ) {}

  /** Records that this process sends a request now, by its own clock. */
  recordRequest(now: number): void {
    for (const requestedAt of this.requestTimes) {
      if (now - requestedAt <= this.extensionMs) break;
      this.requestTimes.delete(requestedAt);
    }
    this.requestTimes.add(now);
  }

  /**
   * Records the leader's response to the request that this process sent at `requestedAt`. A response to any other
   * request has no effect: a former process of this controller sent it, by a clock of its own.
   */
  recordResponse(
    { epoch, mayExtend }: LeaseExtensionResponse,
    requestedAt: number,
    now: number,
  ): void {
    if (!this.requestTimes.has(requestedAt)) {
      this.log.info({ epoch, requestedAt, now }, 'ignoring a response to an unknown request');
      return;
    }
    this.lastContactAt = Math.max(this.lastContactAt, now);
    if (!mayExtend) return;
    const until = requestedAt + this.extensionMs / MAX_CLOCK_DRIFT;
    const { grant } = this;
    if (grant === null || epoch > grant.epoch || until > grant.until) this.grant = { epoch, until };
  }

  /**
   * Whether this node may renew the lease of a worker that holds the given token. It also may in a new term, as long as
   * the new leader is unreachable and the worker has no token from it: two zones may be partitioned, with the new
   * leader in the other one. The new leader takes the grants of former leaders into account, see
   * `LeaseExtensionGrants`.
   */
  mayRenew(workerToken: number, now: number): boolean {
    const { grant } = this;
    if (!grant) return false;
    const mayExtend = now < grant.until && now - this.lastContactAt >= CONTACT_TIMEOUT_MS;
    this.logChange(mayExtend, grant, now);
    return mayExtend && epochOfToken(workerToken) === grant.epoch;
  }

  private logChange(isExtending: boolean, { epoch, until }: HeldGrant, now: number): void {
    if (isExtending === this.isExtending) return;
    this.isExtending = isExtending;
    this.log.info(
      { extending: isExtending, epoch, grantLeftMs: Math.round(until - now) },
      'lease extension',
    );
  }
}

/** The leader's side: until when followers or former leaders may have extended worker leases. */
export class LeaseExtensionGrants {
  private latestGrantAt: number;
  private readonly lastContactByPeer = new Map<string, number>();

  constructor(
    private readonly extensionMs: number,
    private readonly termBeganAt: number,
  ) {
    // Grants of former leaders, and a former leader's own extensions, end at most `extensionMs` after this term began.
    this.latestGrantAt = termBeganAt;
  }

  /** `granted`: whether the response allowed the peer to extend leases. */
  recordRequest(peer: string, granted: boolean, now: number): void {
    this.lastContactByPeer.set(peer, now);
    if (granted) this.latestGrantAt = now;
  }

  /** The time after which no follower has extended a lease under the grants made so far. */
  extendableUntil(): number {
    return this.latestGrantAt + this.extensionMs * MAX_CLOCK_DRIFT;
  }

  /**
   * Whether contact with the peer was lost so recently that the peer may still hold a grant. Returns false for a peer
   * that has sent no request in this term.
   */
  hasRecentlyLostContact(peer: string, now: number): boolean {
    const lastContactAt = this.lastContactByPeer.get(peer);
    if (lastContactAt === undefined) return false;
    const sinceContactMs = now - lastContactAt;
    return sinceContactMs > CONTACT_TIMEOUT_MS && sinceContactMs < this.extensionMs;
  }

  /**
   * Time of the peer's last request. A peer that has sent none in this term may hold a grant from a former leader, so
   * it is treated as if it had sent one when the term began.
   */
  lastContactAt(peer: string): number {
    return this.lastContactByPeer.get(peer) ?? this.termBeganAt;
  }

  isInContact(peer: string, now: number): boolean {
    return now - (this.lastContactByPeer.get(peer) ?? -Infinity) <= CONTACT_TIMEOUT_MS;
  }
}
