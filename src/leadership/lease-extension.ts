/**
 * Extension of worker leases by followers while the leader can't be reached. A worker kills its tasks when nobody
 * answers its heartbeats for a lease, so a short partition between zones, or a leader's crash, would cost all the work
 * behind it. Followers therefore hold a grant of the leader: for `leaseExtensionMs` from when they asked for it they may
 * answer heartbeats with the worker's own token and no commands. That renews the lease and does nothing else.
 *
 * It stays safe because every grant is bounded by its follower's own clock, counted from when it was asked for; the
 * leader, and any later leader, adds that time before it takes a worker's lease for expired.
 */
import { MAX_CLOCK_DRIFT } from '../runtime.js';
import { epochOfToken } from './leader-record.js';

/** No answer for so long: the leader is out of reach. */
const CONTACT_TIMEOUT_MS = 1200;
/** How often a follower asks the leader for a grant. */
export const REQUEST_INTERVAL_MS = 400;
/** Kept in reserve of the time within which the tasks of a cancelled job must be gone. */
const CANCELLATION_MARGIN_S = 4;
const MAX_EXTENSION_MS = 20_000;

/**
 * For how long followers may extend leases. Tasks must be gone `cancelS` after a cancellation even on an unreachable
 * machine whose lease is extended up to the limit.
 */
export function leaseExtensionMs(cancelS: number, leaseS: number): number {
  const spareMs = (cancelS - leaseS - CANCELLATION_MARGIN_S) * 1000;
  return Math.max(0, Math.min(MAX_EXTENSION_MS, spareMs));
}

/** The leader's answer to a request. */
export interface LeaseExtensionGrant {
  /** The leader's term. */
  epoch: number;
  /** May the follower extend leases at all? */
  mayExtend: boolean;
}

/** The follower's side. */
export class LeaseExtender {
  private grant: { epoch: number; until: number } | null = null;
  private lastContactAt = -Infinity;

  constructor(private readonly extensionMs: number) {}

  /** `requestedAt`: when this node asked, by its own clock. */
  recordGrant({ epoch, mayExtend }: LeaseExtensionGrant, requestedAt: number, now: number): void {
    this.lastContactAt = Math.max(this.lastContactAt, now);
    if (!mayExtend) return;
    const until = requestedAt + this.extensionMs / MAX_CLOCK_DRIFT;
    const { grant } = this;
    if (grant === null || epoch > grant.epoch || until > grant.until) this.grant = { epoch, until };
  }

  /**
   * Also in a new term, as long as its leader is out of reach and the worker has not heard of it: two zones may
   * be partitioned, and the new leader in the other. It counts what former leaders granted, see `LeaseExtensionGrants`.
   */
  mayRenew(workerToken: number, now: number): boolean {
    const { grant } = this;
    if (!grant || now >= grant.until) return false;
    if (now - this.lastContactAt < CONTACT_TIMEOUT_MS) return false;
    return epochOfToken(workerToken) === grant.epoch;
  }
}

/** The leader's side: until when anyone may have extended worker leases on its behalf. */
export class LeaseExtensionGrants {
  private latestGrantAt: number;
  private readonly lastContactByPeer = new Map<string, number>();

  constructor(
    private readonly extensionMs: number,
    private readonly termBeganAt: number,
  ) {
    // Grants of former leaders, and a former leader's own extensions, end at most so long after our term began.
    this.latestGrantAt = termBeganAt;
  }

  /** `granted`: the peer was told that it may extend leases. */
  recordRequest(peer: string, granted: boolean, now: number): void {
    this.lastContactByPeer.set(peer, now);
    if (granted) this.latestGrantAt = now;
  }

  /** No lease was extended by a follower after this time. */
  extendableUntil(): number {
    return this.latestGrantAt + this.extensionMs * MAX_CLOCK_DRIFT;
  }

  /** Has the peer fallen silent, so recently that it may still hold a grant? */
  isOutOfContact(peer: string, now: number): boolean {
    const lastContactAt = this.lastContactByPeer.get(peer);
    if (lastContactAt === undefined) return false;
    const sinceContactMs = now - lastContactAt;
    return sinceContactMs > CONTACT_TIMEOUT_MS && sinceContactMs < this.extensionMs;
  }

  /** A peer not heard in this term may hold a grant of a former leader: as if it had asked when the term began. */
  lastContactAt(peer: string): number {
    return this.lastContactByPeer.get(peer) ?? this.termBeganAt;
  }

  isInContact(peer: string, now: number): boolean {
    return now - (this.lastContactByPeer.get(peer) ?? -Infinity) <= CONTACT_TIMEOUT_MS;
  }
}
