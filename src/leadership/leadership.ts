/**
 * Leader election: a key in the state service, attached to a lease, names the leader. Its revision gives the
 * fencing token.
 */
import type { Precondition, KeyValue } from '@millring/state-access';
import type { PlatformSettings } from '../settings/platform.js';
import { DRIFT, type Runtime, sleep } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import { isMap } from '../wire/cbor.js';

const LEADER_KEY = 'leader';
/** Tokens leave this much room below the claim's revision, for raising the token of one machine. */
export const TOKENS_PER_EPOCH = 2 ** 20;
const WATCH_MS = 10_000;
/** How soon a process that may not lead looks again. */
const INELIGIBLE_RETRY_MS = 500;
/** Without a claim nothing may be written: no key ever has this revision. */
const NO_REVISION = Number.MAX_SAFE_INTEGER;

/**
 * following: another node leads, or nobody. claiming: a claim is on its way. leading: our lease surely
 * lives. paused: our lease may have ended, nothing may be started or answered; if a renewal still finds the
 * lease alive nobody can have claimed in between, so `leading` goes on where it stood.
 */
export type LeadershipState = 'follower' | 'candidate' | 'leader' | 'suspended';

const TRANSITIONS: Record<LeadershipState, LeadershipState[]> = {
  follower: ['candidate'],
  candidate: ['leader', 'follower'],
  leader: ['suspended', 'follower'],
  suspended: ['leader', 'follower'],
};

export interface LeadershipTerm {
  /** The revision of our claim: it grows from leader to leader. */
  epoch: number;
  leaseId: number;
}

export interface LeadershipEvents {
  /** A new claim succeeded: tables must be rebuilt. */
  elected(claim: LeadershipTerm): void;
  /** The claim is over for good. */
  deposed(): void;
  /** Leading again after a pause. */
  resumed(): void;
}

export class Leadership {
  private state: LeadershipState = 'follower';
  private term: LeadershipTerm | null = null;
  private validUntilMs = 0;
  private campaignNotBefore = 0;
  /** The leader as last read, also when it is this node. */
  private observedLeader: string | null = null;
  private highestEpoch = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly settings: Pick<PlatformSettings, 'node'>,
    private readonly ttlMs: number,
    private readonly store: StateStore,
    private readonly events: LeadershipEvents,
    /** May this process lead at all now? */
    private readonly isEligible: () => boolean = () => true,
  ) {}

  private transitionTo(next: LeadershipState, why: string): void {
    if (next === this.state) return;
    if (!TRANSITIONS[this.state].includes(next))
      throw new Error(`leadership: ${this.state} -> ${next}`);
    this.runtime.log.info({ from: this.state, to: next, why }, 'leadership');
    const before = this.state;
    this.state = next;
    if (next === 'leader') {
      if (before === 'suspended') this.events.resumed();
      else if (this.term) this.events.elected(this.term);
    } else if (next === 'follower' && before !== 'candidate') {
      this.term = null;
      this.events.deposed();
    }
  }

  /** The only question that entitles this node to act. The clock is asked each time, since timers may be late. */
  isLeader(): boolean {
    if (this.state === 'leader' && this.runtime.clock.now() >= this.validUntilMs)
      this.transitionTo('suspended', 'lease may end');
    return this.state === 'leader';
  }

  /** Whom workers should report to; null when that is not known. */
  leaderName(): string | null {
    if (this.isLeader()) return this.settings.node;
    return this.state === 'follower' && this.observedLeader !== this.settings.node
      ? this.observedLeader
      : null;
  }

  /** Our claim surely stands, or stood, until then. */
  leaseValidUntil(): number {
    return this.validUntilMs;
  }

  /** The latest claim that this node has seen, whoever made it. */
  highestSeenEpoch(): number {
    return this.highestEpoch;
  }

  isCandidate(): boolean {
    return this.state === 'candidate';
  }

  currentTerm(): LeadershipTerm | null {
    return this.term;
  }

  /** Guards every write of the leader: one that arrives after the claim has gone changes nothing. */
  termPrecondition(): Precondition {
    return { key: LEADER_KEY, version: this.term?.epoch ?? NO_REVISION };
  }

  run(): void {
    void this.followLoop();
    this.tick();
  }

  private tick(): void {
    this.isLeader();
    this.runtime.clock.after(100, () => {
      this.tick();
    });
  }

  /** Gives the claim back, so that a node that hears the workers can take it. */
  async resign(why: string): Promise<void> {
    const claim = this.term;
    if (!claim || this.state === 'candidate') return;
    this.campaignNotBefore = this.runtime.clock.now() + 8000 + this.runtime.random() * 2000;
    this.transitionTo('follower', why);
    await this.store.revokeLease(claim.leaseId);
  }

  private async followLoop(): Promise<void> {
    const { clock } = this.runtime;
    for (;;) {
      const r = await this.store.get(LEADER_KEY);
      if (r.kind === 'unavailable') {
        await sleep(clock, 300);
        continue;
      }
      if (r.kind === 'absent') {
        this.observedLeader = null;
        if (this.state === 'leader' || this.state === 'suspended')
          this.transitionTo('follower', 'key is gone');
        const wait = this.campaignNotBefore - clock.now();
        if (!this.isEligible()) await sleep(clock, INELIGIBLE_RETRY_MS);
        else if (wait > 0) await this.waitForChange(r.revision, Math.min(wait, WATCH_MS));
        else await this.campaign();
        continue;
      }
      await this.observeLeader(r.entry);
      await this.waitForChange(r.entry.version, WATCH_MS);
    }
  }

  private async observeLeader(pair: KeyValue): Promise<void> {
    const v = isMap(pair.value) ? pair.value : {};
    this.observedLeader = typeof v.node === 'string' ? v.node : null;
    this.highestEpoch = Math.max(this.highestEpoch, pair.version);
    const mine = this.term !== null && pair.version === this.term.epoch;
    if (mine) return;
    if (this.state === 'leader' || this.state === 'suspended')
      this.transitionTo('follower', 'another claim stands');
    // The key of an earlier life of this very node: that process has ended, so its lease can be ended at once.
    if (this.observedLeader === this.settings.node && typeof v.lease === 'number')
      await this.store.revokeLease(v.lease);
  }

  private async waitForChange(after: number, waitMs: number): Promise<void> {
    const w = await this.store.watch(LEADER_KEY, after, Math.round(waitMs));
    if (w.kind === 'unavailable') await sleep(this.runtime.clock, 250);
  }

  private async campaign(): Promise<void> {
    const { clock } = this.runtime;
    this.transitionTo('candidate', 'no leader');
    const sent = clock.now();
    const lease = await this.store.grantLease(this.ttlMs);
    if (lease === null) {
      this.transitionTo('follower', 'no lease');
      await sleep(clock, 200 + this.runtime.random() * 200);
      return;
    }
    const value = { node: this.settings.node, lease };
    const t = await this.store.compareAndSwap(
      [{ key: LEADER_KEY, version: 0 }],
      [{ put: LEADER_KEY, value, lease }],
      true,
    );
    let revision = t.kind === 'committed' ? t.revision : 0;
    if (t.kind === 'indeterminate') {
      // The claim may have been applied without an answer: the lease in the key tells.
      const r = await this.store.get(LEADER_KEY);
      if (r.kind === 'found' && isMap(r.entry.value) && r.entry.value.lease === lease)
        revision = r.entry.version;
    }
    if (revision === 0) {
      this.transitionTo('follower', `claim ${t.kind}`);
      void this.store.revokeLease(lease);
      await sleep(clock, 50 + this.runtime.random() * 100);
      return;
    }
    this.term = { epoch: revision, leaseId: lease };
    this.highestEpoch = Math.max(this.highestEpoch, revision);
    this.observedLeader = this.settings.node;
    this.extendValidity(sent);
    this.transitionTo('leader', 'claimed');
    void this.renewLoop(this.term);
  }

  /** Counted from when the request was sent, by our own clock, drift taken off. */
  private extendValidity(sent: number): void {
    this.validUntilMs = Math.max(this.validUntilMs, sent + this.ttlMs / DRIFT - 20);
  }

  private async renewLoop(claim: LeadershipTerm): Promise<void> {
    const { clock } = this.runtime;
    while (this.term === claim) {
      await sleep(clock, this.ttlMs / 4);
      if (this.term !== claim) return;
      const sent = clock.now();
      const r = await this.store.renewLease(
        claim.leaseId,
        this.ttlMs,
        Math.max(300, this.ttlMs / 3),
      );
      if (this.term !== claim) return;
      if (r === 'expired') {
        this.transitionTo('follower', 'lease ended');
      } else if (r === 'renewed') {
        this.isLeader();
        this.extendValidity(sent);
        if (this.state === 'suspended' && clock.now() < this.validUntilMs)
          this.transitionTo('leader', 'lease is alive');
      }
    }
  }
}
