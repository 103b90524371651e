/**
 * Keeping worker leases while the leader can't be reached. A worker kills its tasks when nobody answers its
 * reports for a lease, so a short cut between zones, or a leader's crash, would cost all the work behind it.
 * Followers therefore hold a grant of the leader: for `leaseExtensionMs` from when it was asked for they may answer
 * reports with the worker's own token and no orders. That renews the lease and does nothing else.
 *
 * It stays safe because every grant is bounded by its follower's own clock, counted from when it was asked
 * for; the leader, and any later leader, adds that time before it calls a worker's lease over.
 */
import { DRIFT } from '../runtime.js';
import { TOKENS_PER_EPOCH } from './leadership.js';

/** No answer for so long: the leader is out of reach. */
const CONTACT_TIMEOUT_MS = 1200;
export const REQUEST_INTERVAL_MS = 400;

/** Tasks must be gone `cancel_s` after a cancellation also when their machine is kept, and cut off, till the end. */
export function leaseExtensionMs(cancelS: number, leaseS: number): number {
  return Math.max(0, Math.min(20_000, (cancelS - leaseS - 4) * 1000));
}

/** The follower's side. */
export class LeaseExtender {
  private grant: { epoch: number; until: number } | null = null;
  private contactAt = -Infinity;

  constructor(private readonly extensionMs: number) {}

  recordGrant(askedAt: number, revision: number, keep: boolean, now: number): void {
    this.contactAt = Math.max(this.contactAt, now);
    const until = askedAt + this.extensionMs / DRIFT;
    if (keep && (this.grant === null || revision > this.grant.epoch || until > this.grant.until))
      this.grant = { epoch: revision, until };
  }

  /**
   * Also after a new claim, as long as its leader is out of reach and the worker has not heard of it: two zones may
   * be apart, and the new leader in the other. It counts what former leaders granted, see `LeaseExtensionGrants`.
   */
  mayRenew(workerToken: number, now: number): boolean {
    const g = this.grant;
    if (!g || now >= g.until || now - this.contactAt < CONTACT_TIMEOUT_MS) return false;
    return Math.floor(workerToken / TOKENS_PER_EPOCH) === g.epoch;
  }
}

/** The leader's side: until when anyone may have kept worker leases on its behalf. */
export class LeaseExtensionGrants {
  private latestGrantAt: number;
  private readonly contactByPeer = new Map<string, number>();

  constructor(
    private readonly extensionMs: number,
    private readonly termBeganAt: number,
  ) {
    // LeaseExtensionGrants of former leaders, and a former leader's own, last at most so long after our claim.
    this.latestGrantAt = termBeganAt;
  }

  recordRequest(from: string, keep: boolean, now: number): void {
    this.contactByPeer.set(from, now);
    if (keep) this.latestGrantAt = now;
  }

  /** No lease was kept after this time. */
  extendableUntil(): number {
    return this.latestGrantAt + this.extensionMs * DRIFT;
  }

  outOfContact(peer: string, now: number): boolean {
    const at = this.contactByPeer.get(peer);
    return at !== undefined && now - at > CONTACT_TIMEOUT_MS && now - at < this.extensionMs;
  }

  /** Never since our claim: it may hold a grant of a former leader, so as if it had asked then. */
  contactAt(peer: string): number {
    return this.contactByPeer.get(peer) ?? this.termBeganAt;
  }

  inContact(peer: string, now: number): boolean {
    return now - (this.contactByPeer.get(peer) ?? -Infinity) <= CONTACT_TIMEOUT_MS;
  }
}
