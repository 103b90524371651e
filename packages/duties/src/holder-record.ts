/** Writes the record that names the holder of a duty, and the fencing token that belongs to it. */
import type { CompareAndSwapResult, Environment, StateAccess } from '@millring/state-access';
import type { Duty } from './duty.js';
import { type HolderRecord, holdKey, holderKey, tokenKey } from './records.js';
import type { DutiesView } from './view.js';

/** What writing the record needs of its process. */
export interface HolderRecordDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  /** Name of this controller. */
  self: string;
  /** Tells this process apart from all others of this controller. */
  process: string;
}

/** A claim that was stored. */
export interface Claim {
  /** The fencing token. */
  token: number;
  /** Of the holder's record: the precondition of every write of the holder. */
  version: number;
}

/** The record of one duty. */
export class DutyHolderRecord {
  constructor(
    private readonly duty: Duty,
    private readonly deps: HolderRecordDependencies,
  ) {}

  /** The stored token can't be read. That is an operator's matter: guessing a token could repeat one. */
  isTokenUnreadable(): boolean {
    return this.deps.view.token(this.duty).kind === 'unreadable';
  }

  /**
   * Raises the token and names this process in one transaction, which fails if another holder or an operator was faster.
   * The record is attached to the lease. Null if it failed, or without a response: then the claim may be stored yet.
   */
  async claim(leaseId: number): Promise<Claim | null> {
    const { environment, store, view, self, process } = this.deps;
    const previousToken = view.token(this.duty);
    const token = previousToken.kind === 'present' ? previousToken.value.token + 1 : 1;
    const holder: HolderRecord = { controller: self, process, token };
    const result = await store.compareAndSwap(
      [
        { key: holderKey(this.duty), version: 0 },
        { key: holdKey(this.duty), version: 0 },
        {
          key: tokenKey(this.duty),
          version: previousToken.kind === 'present' ? previousToken.version : 0,
        },
      ],
      [
        {
          put: tokenKey(this.duty),
          value: { token, controller: self, sinceMs: environment.wallMs() },
        },
        { put: holderKey(this.duty), value: holder, lease: leaseId },
      ],
    );
    return result.kind === 'committed' ? { token, version: result.revision } : null;
  }

  /** Removes the record if it still has this version. */
  remove(version: number): Promise<CompareAndSwapResult> {
    const key = holderKey(this.duty);
    return this.deps.store.compareAndSwap([{ key, version }], [{ remove: key }]);
  }
}
