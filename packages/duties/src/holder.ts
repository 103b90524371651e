/** One duty in one controller process, which may or may not hold it: acquires the duty, checks it and releases it. */
import { type Precondition, sleep } from '@millring/state-access';
import type { Duty } from './duty.js';
import { HolderRecordWriter, type HolderRecordDependencies } from './holder-record.js';
import { type HolderState, isAllowedTransition } from './holder-state.js';
import type { Membership } from './membership.js';
import { Permit, StaleTokenError } from './permit.js';
import { holderKey } from './records.js';

/** Dependencies of `DutyHolder`: components of the process. */
export interface HolderDependencies extends HolderRecordDependencies {
  membership: Membership;
}

/**
 * The result of an action.
 *
 * - `not-held`: the action was not started, because this process is not guaranteed to hold the duty.
 * - `stale`: the provider rejected the action, because another process has acquired the duty since.
 */
export type PerformResult<T> =
  { kind: 'performed'; value: T } | { kind: 'not-held' } | { kind: 'stale' };

/** The claim and the lease under which this process holds the duty. */
interface Grant {
  /** The fencing token. */
  token: number;
  /** Version of the holder record: a precondition of every write. */
  version: number;
  leaseId: number;
}

/** Counters since the process started. */
export interface HolderCounters {
  /** Number of times that this process acquired the duty. */
  acquired: number;
  /** Number of actions rejected because another holder had replaced this process. */
  refused: number;
}

/** A version that no record ever has: without a grant, the precondition of every write fails. */
const NEVER_MATCHING_VERSION = Number.MAX_SAFE_INTEGER;
const RELEASE_RETRY_MS = 200;
const DRAIN_POLL_MS = 50;
/**
 * Minimum time between two attempts to remove an orphaned claim: the view may still contain a record that was removed a
 * moment ago.
 */
const ORPHAN_RETRY_MS = 1000;
/** Maximum time that a release waits for actions in flight, which end within the timeouts of their requests. */
const MAX_DRAIN_MS = 6000;

/**
 * The state of one duty in this process. A process has one `DutyHolder` for every duty, also for those that it does not
 * hold. Every change of state goes through `transitionTo`.
 */
export class DutyHolder {
  private current: HolderState = 'vacant';
  private grant: Grant | null = null;
  private inFlight = 0;
  private readonly counts: HolderCounters = { acquired: 0, refused: 0 };
  private removeOrphanNotBefore = 0;
  private readonly recordWriter: HolderRecordWriter;

  constructor(
    readonly duty: Duty,
    private readonly deps: HolderDependencies,
  ) {
    this.recordWriter = new HolderRecordWriter(duty, deps);
  }

  /** The state after the last transition. Unlike `isHeld`, this does not check the clock. */
  state(): HolderState {
    return this.current;
  }

  /** Counters since the process started. */
  counters(): Readonly<HolderCounters> {
    return this.counts;
  }

  /**
   * Whether this process holds the duty now. Each call checks the clock, since timers fire late after a pause of the
   * process.
   */
  isHeld(): boolean {
    if (this.current === 'held' && !this.hasValidLease())
      this.transitionTo('suspended', 'the lease may have expired');
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
      throw new Error(`duty ${this.duty}: invalid state transition ${this.current} -> ${next}`);
    const { log } = this.deps.environment;
    log.info(
      { duty: this.duty, from: this.current, to: next, token: this.grant?.token, why: reason },
      'duty state changed',
    );
    this.current = next;
    if (next === 'vacant' || next === 'lost') this.grant = null;
  }

  /**
   * Performs an action if this process holds the duty; there is no other way to act. The duty is checked immediately
   * before the action starts. If it is lost between this check and the arrival of a request, the receiver must reject
   * the request, based on the permit's token or precondition.
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

  /** To be called when a write under a permit failed because the record names another holder or does not exist. */
  recordConflict(permit: Permit): void {
    this.recordStale(permit.token, 'the holder record changed or no longer exists');
  }

  private recordStale(token: number, reason: string): void {
    this.counts.refused++;
    if (this.mayBeHeld() && token === this.grant?.token) this.transitionTo('lost', reason);
  }

  /** Updates the state from the membership and the view. */
  refresh(): void {
    if (this.current === 'lost') this.transitionTo('vacant', 'the duty was lost');
    if (!this.mayBeHeld()) return;
    if (this.deps.membership.currentLease() !== this.grant?.leaseId)
      this.transitionTo('lost', 'the lease expired or was revoked');
    else if (!this.isNamedInRecord())
      this.transitionTo('lost', 'the holder record changed or no longer exists');
    else if (!this.isHeld() && this.hasValidLease())
      this.transitionTo('held', 'the lease is valid');
  }

  /**
   * Whether the holder record is the one that this process wrote. Returns true as long as the view is older than this
   * process's claim and therefore can't contain it.
   */
  private isNamedInRecord(): boolean {
    const { view } = this.deps;
    if (!this.grant || view.knownRevision() < this.grant.version) return true;
    const entry = view.holder(this.duty);
    return entry.kind === 'present' && entry.version === this.grant.version;
  }

  /** Whether no controller holds the duty and nothing prevents this process from acquiring it. */
  isVacant(): boolean {
    const { view } = this.deps;
    if (this.current !== 'vacant' || view.knownRevision() < 0) return false;
    return view.holder(this.duty).kind === 'absent' && view.hold(this.duty).kind === 'absent';
  }

  /**
   * Tries once to acquire the duty. Does nothing unless the duty is vacant, the lease is valid and the stored token can
   * be read.
   */
  async acquire(): Promise<void> {
    const { membership } = this.deps;
    const leaseId = membership.currentLease();
    if (!this.isVacant() || leaseId === null || !membership.isValid()) return;
    if (this.recordWriter.isTokenUnreadable()) return;
    this.transitionTo('acquiring', 'the duty is vacant');
    const claim = await this.recordWriter.claim(leaseId);
    // Without a response the claim may already be stored, or may still be stored: see `removeOrphanedClaim`.
    if (claim === null) {
      this.transitionTo('vacant', 'the claim failed or got no response');
      return;
    }
    this.grant = { ...claim, leaseId };
    this.counts.acquired++;
    this.transitionTo('held', 'the claim is stored');
    this.refresh();
  }

  /** Removes a stored claim of this process whose response was lost: no process acts on such a claim. */
  async removeOrphanedClaim(): Promise<void> {
    const { environment, process, view } = this.deps;
    const entry = view.holder(this.duty);
    const now = environment.clock.now();
    if (this.current !== 'vacant' || entry.kind !== 'present' || entry.value.process !== process)
      return;
    if (now < this.removeOrphanNotBefore) return;
    this.removeOrphanNotBefore = now + ORPHAN_RETRY_MS;
    await this.recordWriter.remove(entry.version);
  }

  /**
   * Releases the duty in an orderly way: starts no new actions, waits for those in flight to end, then removes the
   * holder record.
   */
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

  /**
   * Removes the holder record. Returns true once the record is guaranteed not to belong to this process any more; a
   * removal that is executed late has no effect, since the record then has another version.
   */
  private async removeOwnRecord(): Promise<boolean> {
    if (this.deps.membership.currentLease() !== this.grant?.leaseId) return true;
    const result = await this.recordWriter.remove(this.grant.version);
    return result.kind === 'committed' || result.kind === 'conflict';
  }
}
