/** Leader election by a record in the state service that is attached to a lease: see `leader-record.ts`. */
import type { KeyValue, Precondition } from '@millring/state-access';
import type { PlatformSettings } from '../settings/platform.js';
import { MAX_CLOCK_DRIFT, type Runtime, sleep } from '../runtime.js';
import { StateMachine, type Transitions } from '../state-machine.js';
import type { StateStore } from '../state-store/client.js';
import {
  type CampaignResult,
  LEADER_KEY,
  type ElectedTerm,
  createLeaderRecord,
  leaderRecordPrecondition,
  readLeaderRecord,
} from './leader-record.js';

const WATCH_MS = 10_000;
const READ_RETRY_MS = 300;
const WATCH_RETRY_MS = 250;
/** Interval at which a process that is not eligible checks again whether it may campaign. */
const INELIGIBLE_RETRY_MS = 500;
/** Interval of the periodic check of the lease's validity, besides the check in each call of `isLeader()`. */
const VALIDITY_CHECK_INTERVAL_MS = 100;
/** Time without campaigns after resigning, so that another node can be elected. */
const RESIGNED_BACKOFF_MS = 8000;
const RESIGNED_BACKOFF_JITTER_MS = 2000;
const NO_LEASE_BACKOFF_MS = 200;
const NO_LEASE_BACKOFF_JITTER_MS = 200;
const LOST_BACKOFF_MS = 50;
const LOST_BACKOFF_JITTER_MS = 100;
/** Safety margin that is subtracted from the lease's validity, in addition to the clock drift. */
const VALIDITY_MARGIN_MS = 20;
/** Number of renewals within the time to live (TTL) of the lease. */
const RENEWALS_PER_TTL = 4;
const MIN_RENEWAL_TIMEOUT_MS = 300;

/**
 * - `follower`: another node leads, or no node does.
 * - `candidate`: this node is campaigning.
 * - `leader`: this node's lease is guaranteed to be valid.
 * - `suspended`: the lease may have expired, so this node may not start work or respond to requests as the leader. If
 *   a renewal finds the lease still valid, no other node can have been elected meanwhile: this node resumes its term.
 */
export type LeadershipState = 'follower' | 'candidate' | 'leader' | 'suspended';

const TRANSITIONS: Transitions<LeadershipState> = {
  follower: ['candidate'],
  candidate: ['leader', 'follower'],
  leader: ['suspended', 'follower'],
  suspended: ['leader', 'follower'],
};

/** Callbacks for changes of this node's leadership. */
export interface LeadershipEvents {
  /** A new term begins: the leader's tables must be rebuilt. */
  elected(term: ElectedTerm): void;
  /** The term has ended and cannot be resumed. */
  deposed(): void;
  /** This node leads again after a suspension, in the same term. */
  resumed(): void;
}

/**
 * One node's part in the election. `isLeader()` is never true on two nodes at the same time: each node measures the
 * validity of its lease by its own clock, from the time at which it requested the lease, less the maximum clock drift.
 */
export class Leadership {
  private readonly stateMachine = new StateMachine<LeadershipState>(
    'leadership',
    TRANSITIONS,
    'follower',
    {
      beforeTransition: (from, to, reason) => {
        this.runtime.log.info({ from, to, reason }, 'leadership');
      },
      afterTransition: (from, to) => {
        this.notifyListener(from, to);
      },
    },
  );
  private term: ElectedTerm | null = null;
  private validUntilMs = 0;
  private campaignNotBefore = 0;
  /** Name of the leader at the last read of the leader record; may be this node. */
  private observedLeader: string | null = null;
  private highestEpoch = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly settings: Pick<PlatformSettings, 'node'>,
    private readonly ttlMs: number,
    private readonly store: StateStore,
    private readonly events: LeadershipEvents,
    /** Whether this process may campaign at present. */
    private readonly isEligible: () => boolean = () => true,
  ) {}

  private notifyListener(from: LeadershipState, to: LeadershipState): void {
    if (to === 'leader') {
      if (from === 'suspended') this.events.resumed();
      else if (this.term) this.events.elected(this.term);
    } else if (to === 'follower' && from !== 'candidate') {
      this.term = null;
      this.events.deposed();
    }
  }

  /** Whether this node may act as the leader now. Reads the clock at each call, since timers may fire late. */
  isLeader(): boolean {
    if (this.stateMachine.state === 'leader' && this.runtime.clock.now() >= this.validUntilMs)
      this.stateMachine.transitionTo('suspended', 'lease may have expired');
    return this.stateMachine.state === 'leader';
  }

  /** Name of the node to which workers should send heartbeats; null if it is not known. */
  leaderName(): string | null {
    if (this.isLeader()) return this.settings.node;
    return this.stateMachine.state === 'follower' && this.observedLeader !== this.settings.node
      ? this.observedLeader
      : null;
  }

  /** Time by the local clock before which no other node can have been elected after this one. */
  leaseValidUntil(): number {
    return this.validUntilMs;
  }

  /** The latest epoch that this node has seen, of its own terms and of other nodes' terms. */
  highestSeenEpoch(): number {
    return this.highestEpoch;
  }

  isCandidate(): boolean {
    return this.stateMachine.state === 'candidate';
  }

  /** The term for which this node was elected, or null; the leadership may be suspended. */
  electedTerm(): ElectedTerm | null {
    return this.term;
  }

  /** Precondition of every write of the leader: a write that arrives after the term has ended changes nothing. */
  leaderPrecondition(): Precondition {
    return leaderRecordPrecondition(this.term);
  }

  run(): void {
    void this.followLoop();
    this.checkValidity();
  }

  private checkValidity(): void {
    this.isLeader();
    this.runtime.clock.after(VALIDITY_CHECK_INTERVAL_MS, () => {
      this.checkValidity();
    });
  }

  /**
   * Ends the term and does not campaign for `RESIGNED_BACKOFF_MS`, so that a node that receives heartbeats can be
   * elected.
   */
  async resign(reason: string): Promise<void> {
    const { term } = this;
    if (!term || this.isCandidate()) return;
    const backoffEndsAt = this.runtime.clock.now() + RESIGNED_BACKOFF_MS;
    this.campaignNotBefore = this.withJitter(backoffEndsAt, RESIGNED_BACKOFF_JITTER_MS);
    this.stateMachine.transitionTo('follower', reason);
    await this.store.revokeLease(term.leaseId);
  }

  private async followLoop(): Promise<void> {
    for (;;) {
      const read = await this.store.get(LEADER_KEY);
      if (read.kind === 'unavailable') {
        await sleep(this.runtime.clock, READ_RETRY_MS);
      } else if (read.kind === 'absent') {
        this.observeVacancy();
        await this.campaignOrWait(read.revision);
      } else {
        await this.observeLeader(read.entry);
        await this.waitForChange(read.entry.version, WATCH_MS);
      }
    }
  }

  private observeVacancy(): void {
    this.observedLeader = null;
    this.endTerm('leader record was removed');
  }

  private async campaignOrWait(revision: number): Promise<void> {
    const { clock } = this.runtime;
    const waitMs = this.campaignNotBefore - clock.now();
    if (!this.isEligible()) await sleep(clock, INELIGIBLE_RETRY_MS);
    else if (waitMs > 0) await this.waitForChange(revision, Math.min(waitMs, WATCH_MS));
    else await this.campaign();
  }

  private async observeLeader(entry: KeyValue): Promise<void> {
    const record = readLeaderRecord(entry.value);
    this.observedLeader = record.node;
    this.highestEpoch = Math.max(this.highestEpoch, entry.version);
    const isOurs = this.term !== null && entry.version === this.term.epoch;
    if (isOurs) return;
    this.endTerm('another node was elected');
    // The record was written by an earlier process of this node, which has ended: its lease can be revoked at once.
    if (record.node === this.settings.node && record.leaseId !== null)
      await this.store.revokeLease(record.leaseId);
  }

  private endTerm(reason: string): void {
    const { state } = this.stateMachine;
    if (state === 'leader' || state === 'suspended')
      this.stateMachine.transitionTo('follower', reason);
  }

  private async waitForChange(revision: number, waitMs: number): Promise<void> {
    const result = await this.store.watch(LEADER_KEY, revision, Math.round(waitMs));
    if (result.kind === 'unavailable') await sleep(this.runtime.clock, WATCH_RETRY_MS);
  }

  private async campaign(): Promise<void> {
    const { clock } = this.runtime;
    this.stateMachine.transitionTo('candidate', 'no leader');
    const sentAt = clock.now();
    const leaseId = await this.store.grantLease(this.ttlMs);
    const result: CampaignResult =
      leaseId === null
        ? { kind: 'no-lease' }
        : await createLeaderRecord(this.store, this.settings.node, leaseId);
    switch (result.kind) {
      case 'won':
        this.beginTerm(result.term, sentAt);
        return;
      case 'no-lease':
        this.stateMachine.transitionTo('follower', 'state service granted no lease');
        await sleep(clock, this.withJitter(NO_LEASE_BACKOFF_MS, NO_LEASE_BACKOFF_JITTER_MS));
        return;
      case 'lost':
        this.stateMachine.transitionTo('follower', `campaign lost: ${result.outcome}`);
        void this.store.revokeLease(result.leaseId);
        await sleep(clock, this.withJitter(LOST_BACKOFF_MS, LOST_BACKOFF_JITTER_MS));
    }
  }

  private withJitter(timeMs: number, jitterMs: number): number {
    return timeMs + this.runtime.random() * jitterMs;
  }

  private beginTerm(term: ElectedTerm, leaseRequestedAt: number): void {
    this.term = term;
    this.highestEpoch = Math.max(this.highestEpoch, term.epoch);
    this.observedLeader = this.settings.node;
    this.extendValidity(leaseRequestedAt);
    this.stateMachine.transitionTo('leader', 'elected');
    void this.renewLoop(term);
  }

  /** Counts the validity by the local clock from the time the request was sent, less the maximum clock drift. */
  private extendValidity(sentAt: number): void {
    const until = sentAt + this.ttlMs / MAX_CLOCK_DRIFT - VALIDITY_MARGIN_MS;
    this.validUntilMs = Math.max(this.validUntilMs, until);
  }

  private async renewLoop(term: ElectedTerm): Promise<void> {
    const { clock } = this.runtime;
    const timeoutMs = Math.max(MIN_RENEWAL_TIMEOUT_MS, this.ttlMs / 3);
    while (this.term === term) {
      await sleep(clock, this.ttlMs / RENEWALS_PER_TTL);
      if (this.term !== term) return;
      const sentAt = clock.now();
      const result = await this.store.renewLease(term.leaseId, this.ttlMs, timeoutMs);
      if (this.term !== term) return;
      if (result === 'expired') this.stateMachine.transitionTo('follower', 'lease expired');
      else if (result === 'renewed') this.leaseRenewed(sentAt);
    }
  }

  private leaseRenewed(sentAt: number): void {
    // Suspends the term first if the validity has ended: the renewal then resumes it.
    this.isLeader();
    this.extendValidity(sentAt);
    if (this.stateMachine.state === 'suspended' && this.runtime.clock.now() < this.validUntilMs)
      this.stateMachine.transitionTo('leader', 'lease is still valid');
  }
}
