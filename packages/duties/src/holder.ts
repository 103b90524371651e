/** One duty at one controller process: acquires it, knows at any moment whether it is held, and hands it over. */
import { type Precondition, sleep } from '@millring/state-access';
import type { Duty } from './duty.js';
import { DutyHolderRecord, type HolderRecordDependencies } from './holder-record.js';
import { type HolderState, isAllowedTransition } from './holder-state.js';
import type { Membership } from './membership.js';
import { Permit, StaleTokenError } from './permit.js';
import { holderKey } from './records.js';

/** What a holder needs of its process. */
export interface HolderDependencies extends HolderRecordDependencies {
  membership: Membership;
}

/**
 * What became of an action.
 *
 * - `not-held`: not begun, since the duty is not surely held.
 * - `stale`: the provider rejected it, since this holder was replaced.
 */
export type PerformResult<T> =
  { kind: 'performed'; value: T } | { kind: 'not-held' } | { kind: 'stale' };

/** With what the duty was acquired. */
interface Grant {
  /** The fencing token. */
  token: number;
  /** Of the holder's record: the precondition of every write. */
  version: number;
  leaseId: number;
}

/** How often actions were begun or rejected since the process started. */
export interface HolderCounters {
  acquired: number;
  /** Actions of a holder that was replaced. */
  refused: number;
}

/** Without a grant nothing may be written: no record ever has this version. */
const NEVER_MATCHING_VERSION = Number.MAX_SAFE_INTEGER;
const RELEASE_RETRY_MS = 200;
const DRAIN_POLL_MS = 50;
/** The view may still show a record that was removed a moment ago. */
const ORPHAN_RETRY_MS = 1000;
/** Actions on their way end within the timeouts of their requests; a hand-over does not wait for longer. */
const MAX_DRAIN_MS = 6000;

/** The state machine of a duty: every change of state goes through `transitionTo`. */
export class DutyHolder {
  private current: HolderState = 'vacant';
  private grant: Grant | null = null;
  private inFlight = 0;
  private readonly counts: HolderCounters = { acquired: 0, refused: 0 };
  private removeOrphanNotBefore = 0;
  private readonly record: DutyHolderRecord;

  constructor(
    readonly duty: Duty,
    private readonly deps: HolderDependencies,
  ) {
    this.record = new DutyHolderRecord(duty, deps);
  }

  /** As last decided; `isHeld` looks at the clock. */
  state(): HolderState {
    return this.current;
  }

  /** Since the process started. */
  counters(): Readonly<HolderCounters> {
    return this.counts;
  }

  /** The clock is asked each time: after a pause of the process, timers come late. */
  isHeld(): boolean {
    if (this.current === 'held' && !this.hasValidLease())
      this.transitionTo('suspended', 'the lease may have ended');
    return this.current === 'held';
  }

  private mayBeHeld(): boolean {
    return this.current === 'held' || this.current === 'suspended';
  }

  private hasValidLease(): boolean {
    const { membership } = this.deps;
    if (this.grant === null || membership.currentLease() !== this.grant.leaseId) return false;
    return membership.isValid();
  }

  private precondition(): Precondition {
    return { key: holderKey(this.duty), version: this.grant?.version ?? NEVER_MATCHING_VERSION };
  }

  private transitionTo(next: HolderState, reason: string): void {
    if (next === this.current) return;
    if (!isAllowedTransition(this.current, next))
      throw new Error(`duty ${this.duty}: ${this.current} -> ${next}`);
    const { log } = this.deps.environment;
    log.info(
      { duty: this.duty, from: this.current, to: next, token: this.grant?.token, why: reason },
      'duty',
    );
    this.current = next;
    if (next === 'vacant' || next === 'lost') this.grant = null;
  }

  /**
   * The only way to act. The holder is checked right before the action begins; what happens between this check and the
   * arrival of a request is the other side's to reject, by the permit's token or precondition.
   */
  async perform<T>(action: (permit: Permit) => Promise<T>): Promise<PerformResult<T>> {
    if (!this.isHeld() || !this.grant) return { kind: 'not-held' };
    const permit = new Permit(this.duty, this.grant.token, this.precondition());
    this.inFlight++;
    try {
      return { kind: 'performed', value: await action(permit) };
    } catch (error) {
      if (!(error instanceof StaleTokenError)) throw error;
      this.recordStale(error.token, error.message);
      return { kind: 'stale' };
    } finally {
      this.inFlight--;
    }
  }

  /** To be called when a write under a permit found another holder, or none, in the record. */
  recordConflict(permit: Permit): void {
    this.recordStale(permit.token, 'the record has another holder');
  }

  private recordStale(token: number, reason: string): void {
    this.counts.refused++;
    if (this.mayBeHeld() && token === this.grant?.token) this.transitionTo('lost', reason);
  }

  /** Brings the state up to date with the membership and the view. */
  refresh(): void {
    if (this.current === 'lost') this.transitionTo('vacant', 'lost');
    if (!this.mayBeHeld()) return;
    if (this.deps.membership.currentLease() !== this.grant?.leaseId)
      this.transitionTo('lost', 'the lease has ended');
    else if (!this.isNamedInRecord())
      this.transitionTo('lost', 'the record has another holder, or is gone');
    else if (!this.isHeld() && this.hasValidLease())
      this.transitionTo('held', 'the lease is valid');
  }

  /** A view from before our claim tells nothing about it. */
  private isNamedInRecord(): boolean {
    const { view } = this.deps;
    if (!this.grant || view.knownRevision() < this.grant.version) return true;
    const entry = view.holder(this.duty);
    return entry.kind === 'present' && entry.version === this.grant.version;
  }

  /** Nobody holds the duty, and nothing keeps this process from acquiring it. */
  isVacant(): boolean {
    const { view } = this.deps;
    if (this.current !== 'vacant' || view.knownRevision() < 0) return false;
    return view.holder(this.duty).kind === 'absent' && view.hold(this.duty).kind === 'absent';
  }

  /** Tries once; does nothing unless the duty is vacant and the lease valid. */
  async acquire(): Promise<void> {
    const { membership } = this.deps;
    const leaseId = membership.currentLease();
    if (!this.isVacant() || leaseId === null || !membership.isValid()) return;
    if (this.record.isTokenUnreadable()) return;
    this.transitionTo('acquiring', 'vacant');
    const claim = await this.record.claim(leaseId);
    // Without a response the claim may be stored, or come to be: see `removeOrphanedClaim`.
    if (claim === null) {
      this.transitionTo('vacant', 'not acquired');
      return;
    }
    this.grant = { ...claim, leaseId };
    this.counts.acquired++;
    this.transitionTo('held', 'acquired');
    this.refresh();
  }

  /** Removes a claim of this very process whose response was lost: nobody acts on it. */
  async removeOrphanedClaim(): Promise<void> {
    const { environment, process, view } = this.deps;
    const entry = view.holder(this.duty);
    const now = environment.clock.now();
    if (this.current !== 'vacant' || entry.kind !== 'present' || entry.value.process !== process)
      return;
    if (now < this.removeOrphanNotBefore) return;
    this.removeOrphanNotBefore = now + ORPHAN_RETRY_MS;
    await this.record.remove(entry.version);
  }

  /** Hands the duty over in order: begins nothing new, lets what is on its way end, then frees the record. */
  async release(reason: string): Promise<void> {
    this.refresh();
    if (!this.mayBeHeld()) return;
    this.transitionTo('releasing', reason);
    const { environment } = this.deps;
    const drainUntil = environment.clock.now() + MAX_DRAIN_MS;
    while (this.inFlight > 0 && environment.clock.now() < drainUntil)
      await sleep(environment, DRAIN_POLL_MS);
    while (!(await this.removeOwnRecord())) await sleep(environment, RELEASE_RETRY_MS);
    this.transitionTo('vacant', 'released');
  }

  /** True once the record is surely not ours any more: a removal that is executed late finds another version. */
  private async removeOwnRecord(): Promise<boolean> {
    if (this.deps.membership.currentLease() !== this.grant?.leaseId) return true;
    const result = await this.record.remove(this.grant.version);
    return result.kind === 'committed' || result.kind === 'conflict';
  }
}
