/**
 * Leader election: a key in the state service, attached to a lease, names the leader. Its revision gives the
 * fencing token.
 */
import type { Precondition, KeyValue } from '@millring/state-access';
import type { PlatformSettings } from '../settings/platform.js';
import { DRIFT, type World, sleep } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import { isMap } from '../wire/cbor.js';

const KEY = 'leader';
/** Tokens leave this much room below the claim's revision, for raising the token of one machine. */
export const TOKEN_SPAN = 2 ** 20;
const WATCH_MS = 10_000;
/** How soon a process that may not lead looks again. */
const INELIGIBLE_MS = 500;
/** Without a claim nothing may be written: no key ever has this revision. */
const NO_REVISION = Number.MAX_SAFE_INTEGER;

/**
 * following: another node leads, or nobody. claiming: a claim is on its way. leading: our lease surely
 * lives. paused: our lease may have ended, nothing may be started or answered; if a renewal still finds the
 * lease alive nobody can have claimed in between, so `leading` goes on where it stood.
 */
export type LeadershipState = 'following' | 'claiming' | 'leading' | 'paused';

const NEXT: Record<LeadershipState, LeadershipState[]> = {
  following: ['claiming'],
  claiming: ['leading', 'following'],
  leading: ['paused', 'following'],
  paused: ['leading', 'following'],
};

export interface Claim {
  /** The revision of our claim: it grows from leader to leader. */
  revision: number;
  lease: number;
}

export interface LeadershipEvents {
  /** A new claim succeeded: tables must be rebuilt. */
  elected(claim: Claim): void;
  /** The claim is over for good. */
  deposed(): void;
  /** Leading again after a pause. */
  resumed(): void;
}

export class Leadership {
  private state: LeadershipState = 'following';
  private claim: Claim | null = null;
  private validUntil = 0;
  private claimNotBefore = 0;
  /** The leader as last read, also when it is this node. */
  private known: string | null = null;
  private seen = 0;

  constructor(
    private readonly world: World,
    private readonly settings: Pick<PlatformSettings, 'node'>,
    private readonly ttlMs: number,
    private readonly store: StateStore,
    private readonly events: LeadershipEvents,
    /** May this process lead at all now? */
    private readonly isEligible: () => boolean = () => true,
  ) {}

  private become(next: LeadershipState, why: string): void {
    if (next === this.state) return;
    if (!NEXT[this.state].includes(next)) throw new Error(`leadership: ${this.state} -> ${next}`);
    this.world.log.info({ from: this.state, to: next, why }, 'leadership');
    const before = this.state;
    this.state = next;
    if (next === 'leading') {
      if (before === 'paused') this.events.resumed();
      else if (this.claim) this.events.elected(this.claim);
    } else if (next === 'following' && before !== 'claiming') {
      this.claim = null;
      this.events.deposed();
    }
  }

  /** The only question that entitles this node to act. The clock is asked each time, since timers may be late. */
  leads(): boolean {
    if (this.state === 'leading' && this.world.clock.now() >= this.validUntil)
      this.become('paused', 'lease may end');
    return this.state === 'leading';
  }

  /** Whom workers should report to; null when that is not known. */
  leader(): string | null {
    if (this.leads()) return this.settings.node;
    return this.state === 'following' && this.known !== this.settings.node ? this.known : null;
  }

  /** Our claim surely stands, or stood, until then. */
  validTo(): number {
    return this.validUntil;
  }

  /** The latest claim that this node has seen, whoever made it. */
  latestClaim(): number {
    return this.seen;
  }

  isClaiming(): boolean {
    return this.state === 'claiming';
  }

  current(): Claim | null {
    return this.claim;
  }

  /** Guards every write of the leader: one that arrives after the claim has gone changes nothing. */
  guard(): Precondition {
    return { key: KEY, version: this.claim?.revision ?? NO_REVISION };
  }

  run(): void {
    void this.followLoop();
    this.tick();
  }

  private tick(): void {
    this.leads();
    this.world.clock.after(100, () => {
      this.tick();
    });
  }

  /** Gives the claim back, so that a node that hears the workers can take it. */
  async handOver(why: string): Promise<void> {
    const claim = this.claim;
    if (!claim || this.state === 'claiming') return;
    this.claimNotBefore = this.world.clock.now() + 8000 + this.world.random() * 2000;
    this.become('following', why);
    await this.store.revokeLease(claim.lease);
  }

  private async followLoop(): Promise<void> {
    const { clock } = this.world;
    for (;;) {
      const r = await this.store.get(KEY);
      if (r.kind === 'unavailable') {
        await sleep(clock, 300);
        continue;
      }
      if (r.kind === 'absent') {
        this.known = null;
        if (this.state === 'leading' || this.state === 'paused')
          this.become('following', 'key is gone');
        const wait = this.claimNotBefore - clock.now();
        if (!this.isEligible()) await sleep(clock, INELIGIBLE_MS);
        else if (wait > 0) await this.waitForChange(r.revision, Math.min(wait, WATCH_MS));
        else await this.tryClaim();
        continue;
      }
      await this.noticeLeader(r.entry);
      await this.waitForChange(r.entry.version, WATCH_MS);
    }
  }

  private async noticeLeader(pair: KeyValue): Promise<void> {
    const v = isMap(pair.value) ? pair.value : {};
    this.known = typeof v.node === 'string' ? v.node : null;
    this.seen = Math.max(this.seen, pair.version);
    const mine = this.claim !== null && pair.version === this.claim.revision;
    if (mine) return;
    if (this.state === 'leading' || this.state === 'paused')
      this.become('following', 'another claim stands');
    // The key of an earlier life of this very node: that process has ended, so its lease can be ended at once.
    if (this.known === this.settings.node && typeof v.lease === 'number')
      await this.store.revokeLease(v.lease);
  }

  private async waitForChange(after: number, waitMs: number): Promise<void> {
    const w = await this.store.watch(KEY, after, Math.round(waitMs));
    if (w.kind === 'unavailable') await sleep(this.world.clock, 250);
  }

  private async tryClaim(): Promise<void> {
    const { clock } = this.world;
    this.become('claiming', 'no leader');
    const sent = clock.now();
    const lease = await this.store.grantLease(this.ttlMs);
    if (lease === null) {
      this.become('following', 'no lease');
      await sleep(clock, 200 + this.world.random() * 200);
      return;
    }
    const value = { node: this.settings.node, lease };
    const t = await this.store.compareAndSwap(
      [{ key: KEY, version: 0 }],
      [{ put: KEY, value, lease }],
      true,
    );
    let revision = t.kind === 'committed' ? t.revision : 0;
    if (t.kind === 'indeterminate') {
      // The claim may have been applied without an answer: the lease in the key tells.
      const r = await this.store.get(KEY);
      if (r.kind === 'found' && isMap(r.entry.value) && r.entry.value.lease === lease)
        revision = r.entry.version;
    }
    if (revision === 0) {
      this.become('following', `claim ${t.kind}`);
      void this.store.revokeLease(lease);
      await sleep(clock, 50 + this.world.random() * 100);
      return;
    }
    this.claim = { revision, lease };
    this.seen = Math.max(this.seen, revision);
    this.known = this.settings.node;
    this.setValid(sent);
    this.become('leading', 'claimed');
    void this.renewLoop(this.claim);
  }

  /** Counted from when the request was sent, by our own clock, drift taken off. */
  private setValid(sent: number): void {
    this.validUntil = Math.max(this.validUntil, sent + this.ttlMs / DRIFT - 20);
  }

  private async renewLoop(claim: Claim): Promise<void> {
    const { clock } = this.world;
    while (this.claim === claim) {
      await sleep(clock, this.ttlMs / 4);
      if (this.claim !== claim) return;
      const sent = clock.now();
      const r = await this.store.renewLease(claim.lease, this.ttlMs, Math.max(300, this.ttlMs / 3));
      if (this.claim !== claim) return;
      if (r === 'expired') {
        this.become('following', 'lease ended');
      } else if (r === 'renewed') {
        this.leads();
        this.setValid(sent);
        if (this.state === 'paused' && clock.now() < this.validUntil)
          this.become('leading', 'lease is alive');
      }
    }
  }
}
