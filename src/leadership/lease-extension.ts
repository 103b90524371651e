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
import { TOKEN_SPAN } from './leadership.js';

/** No answer for so long: the leader is out of reach. */
const CONTACT_MS = 1200;
export const ASK_MS = 400;

/** Tasks must be gone `cancel_s` after a cancellation also when their machine is kept, and cut off, till the end. */
export function leaseExtensionMs(cancelS: number, leaseS: number): number {
  return Math.max(0, Math.min(20_000, (cancelS - leaseS - 4) * 1000));
}

/** The follower's side. */
export class LeaseExtender {
  private grant: { revision: number; until: number } | null = null;
  private contactAt = -Infinity;

  constructor(private readonly lengthMs: number) {}

  granted(askedAt: number, revision: number, keep: boolean, now: number): void {
    this.contactAt = Math.max(this.contactAt, now);
    const until = askedAt + this.lengthMs / DRIFT;
    if (keep && (this.grant === null || revision > this.grant.revision || until > this.grant.until))
      this.grant = { revision, until };
  }

  /**
   * Also after a new claim, as long as its leader is out of reach and the worker has not heard of it: two zones may
   * be apart, and the new leader in the other. It counts what former leaders granted, see `LeaseExtensionGrants`.
   */
  mayAnswer(workerToken: number, now: number): boolean {
    const g = this.grant;
    if (!g || now >= g.until || now - this.contactAt < CONTACT_MS) return false;
    return Math.floor(workerToken / TOKEN_SPAN) === g.revision;
  }
}

/** The leader's side: until when anyone may have kept worker leases on its behalf. */
export class LeaseExtensionGrants {
  private latest: number;
  private readonly contact = new Map<string, number>();

  constructor(
    private readonly lengthMs: number,
    private readonly began: number,
  ) {
    // LeaseExtensionGrants of former leaders, and a former leader's own, last at most so long after our claim.
    this.latest = began;
  }

  asked(from: string, keep: boolean, now: number): void {
    this.contact.set(from, now);
    if (keep) this.latest = now;
  }

  /** No lease was kept after this time. */
  keptUntil(): number {
    return this.latest + this.lengthMs * DRIFT;
  }

  outOfContact(peer: string, now: number): boolean {
    const at = this.contact.get(peer);
    return at !== undefined && now - at > CONTACT_MS && now - at < this.lengthMs;
  }

  /** Never since our claim: it may hold a grant of a former leader, so as if it had asked then. */
  contactAt(peer: string): number {
    return this.contact.get(peer) ?? this.began;
  }

  inContact(peer: string, now: number): boolean {
    return now - (this.contact.get(peer) ?? -Infinity) <= CONTACT_MS;
  }
}
