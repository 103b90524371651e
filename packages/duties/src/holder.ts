/** One duty at one controller process: acquires it, knows at any moment whether it is held, and hands it over. */
import {
  type Environment,
  type Precondition,
  type StateAccess,
  sleep,
} from '@millring/state-access';
import type { Duty } from './duty.js';
import { type HolderState, mayFollow } from './holder-state.js';
import type { Membership } from './membership.js';
import { Permit, StaleTokenError } from './permit.js';
import { type HolderRecord, holdKey, holderKey, tokenKey } from './records.js';
import type { DutiesView } from './view.js';

export interface HolderDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  membership: Membership;
  self: string;
  process: string;
}

/** What became of an action. */
export type Performed<T> =
  | { kind: 'performed'; value: T }
  /** Not begun, since the duty is not surely held. */
  | { kind: 'not-held' }
  /** The other side refused it: this holder was replaced. */
  | { kind: 'stale' };

interface Grant {
  token: number;
  /** Of the holder's record: guards every write. */
  version: number;
  lease: number;
}

/** Without a grant nothing may be written: no record ever has this version. */
const NO_VERSION = Number.MAX_SAFE_INTEGER;
const RETRY_MS = 200;
/** The view may still show a record that was removed a moment ago. */
const STRAY_MS = 1000;
/** Actions on their way end within the timeouts of their requests; a hand-over does not wait for longer. */
const DRAIN_MS = 6000;

export class DutyHolder {
  private current: HolderState = 'vacant';
  private grant: Grant | null = null;
  private inFlight = 0;
  private counts = { acquired: 0, refused: 0 };
  private strayNotBefore = 0;

  constructor(
    readonly duty: Duty,
    private readonly deps: HolderDependencies,
  ) {}

  state(): HolderState {
    return this.current;
  }

  /** How often this process has acquired the duty, and how many of its actions were refused. */
  counters(): Readonly<{ acquired: number; refused: number }> {
    return this.counts;
  }

  /** The clock is asked each time: after a pause of the process, timers come late. */
  isHeld(): boolean {
    if (this.current === 'held' && !this.hasValidLease())
      this.become('suspended', 'the lease may have ended');
    return this.current === 'held';
  }

  private mayBeHeld(): boolean {
    return this.current === 'held' || this.current === 'suspended';
  }

  private hasValidLease(): boolean {
    const { membership } = this.deps;
    return (
      this.grant !== null && membership.currentLease() === this.grant.lease && membership.isValid()
    );
  }

  private guard(): Precondition {
    return { key: holderKey(this.duty), version: this.grant?.version ?? NO_VERSION };
  }

  /** The only change of state. */
  private become(next: HolderState, why: string): void {
    if (next === this.current) return;
    if (!mayFollow(this.current, next))
      throw new Error(`duty ${this.duty}: ${this.current} -> ${next}`);
    const { log } = this.deps.environment;
    log.info(
      { duty: this.duty, from: this.current, to: next, token: this.grant?.token, why },
      'duty',
    );
    this.current = next;
    if (next === 'vacant' || next === 'lost') this.grant = null;
  }

  /**
   * The only way to act. The holder is checked right before the action begins; what happens between this check and the
   * arrival of a request is the other side's to refuse, by the permit's token or guard.
   */
  async perform<T>(action: (permit: Permit) => Promise<T>): Promise<Performed<T>> {
    if (!this.isHeld() || !this.grant) return { kind: 'not-held' };
    const permit = new Permit(this.duty, this.grant.token, this.guard());
    this.inFlight++;
    try {
      return { kind: 'performed', value: await action(permit) };
    } catch (error) {
      if (!(error instanceof StaleTokenError)) throw error;
      this.refused(error);
      return { kind: 'stale' };
    } finally {
      this.inFlight--;
    }
  }

  private refused(error: StaleTokenError): void {
    this.counts.refused++;
    if (this.mayBeHeld() && error.token === this.grant?.token) this.become('lost', error.message);
  }

  /** A write under a permit found that another holder, or none, stands in the record. */
  conflicted(permit: Permit): void {
    this.counts.refused++;
    if (this.mayBeHeld() && permit.token === this.grant?.token)
      this.become('lost', 'the record has another holder');
  }

  /** Takes in what is known now. */
  refresh(): void {
    if (this.current === 'lost') this.become('vacant', 'lost');
    if (!this.mayBeHeld()) return;
    if (this.deps.membership.currentLease() !== this.grant?.lease)
      this.become('lost', 'the lease has ended');
    else if (!this.isNamed()) this.become('lost', 'the record has another holder, or is gone');
    else if (!this.isHeld() && this.hasValidLease()) this.become('held', 'the lease lives');
  }

  /** A view from before our claim tells nothing about it. */
  private isNamed(): boolean {
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

  async acquire(): Promise<void> {
    const { membership, view } = this.deps;
    const lease = membership.currentLease();
    const last = view.token(this.duty);
    // A token record that can't be read is an operator's matter: guessing a token could repeat one.
    if (!this.isVacant() || lease === null || !membership.isValid() || last.kind === 'unreadable')
      return;
    this.become('acquiring', 'vacant');
    const before =
      last.kind === 'present'
        ? { token: last.value.token, version: last.version }
        : { token: 0, version: 0 };
    const token = before.token + 1;
    const version = await this.claim(token, before.version, lease);
    if (version === null) {
      this.become('vacant', 'not acquired');
      return;
    }
    this.grant = { token, version, lease };
    this.counts.acquired++;
    this.become('held', 'acquired');
    this.refresh();
  }

  /** The version of the holder's record, or null if the claim failed. */
  private async claim(token: number, tokenVersion: number, lease: number): Promise<number | null> {
    const { environment, store, self, process } = this.deps;
    const holder: HolderRecord = { controller: self, process, token };
    const result = await store.compareAndSwap(
      [
        { key: holderKey(this.duty), version: 0 },
        { key: holdKey(this.duty), version: 0 },
        { key: tokenKey(this.duty), version: tokenVersion },
      ],
      [
        {
          put: tokenKey(this.duty),
          value: { token, controller: self, sinceMs: environment.wallMs() },
        },
        { put: holderKey(this.duty), value: holder, lease },
      ],
    );
    // Without an answer the claim may stand, or come to stand: see `releaseStray`.
    return result.kind === 'committed' ? result.revision : null;
  }

  /** A claim of this very process whose answer was lost: nobody acts on it, so it is removed. */
  async releaseStray(): Promise<void> {
    const { environment, process, store, view } = this.deps;
    const entry = view.holder(this.duty);
    const now = environment.clock.now();
    if (this.current !== 'vacant' || entry.kind !== 'present' || entry.value.process !== process)
      return;
    if (now < this.strayNotBefore) return;
    this.strayNotBefore = now + STRAY_MS;
    await store.compareAndSwap(
      [{ key: holderKey(this.duty), version: entry.version }],
      [{ remove: holderKey(this.duty) }],
    );
  }

  /** Hands the duty over in order: begins nothing new, lets what is on its way end, then frees the record. */
  async release(why: string): Promise<void> {
    this.refresh();
    if (!this.mayBeHeld()) return;
    this.become('releasing', why);
    const { environment } = this.deps;
    const drainUntil = environment.clock.now() + DRAIN_MS;
    while (this.inFlight > 0 && environment.clock.now() < drainUntil)
      await sleep(environment, RETRY_MS / 4);
    while (!(await this.freeRecord())) await sleep(environment, RETRY_MS);
    this.become('vacant', 'released');
  }

  /** True once the record is surely not ours any more: a removal that is executed late finds another version. */
  private async freeRecord(): Promise<boolean> {
    const { store, membership } = this.deps;
    if (membership.currentLease() !== this.grant?.lease) return true;
    const result = await store.compareAndSwap([this.guard()], [{ remove: holderKey(this.duty) }]);
    return result.kind === 'committed' || result.kind === 'conflict';
  }
}
