/** Writes the record that names the holder of a duty, together with the duty's fencing token. */
import type { CompareAndSwapResult, Environment, StateAccess } from '@millring/state-access';
import type { Duty } from './duty.js';
import { type HolderRecord, holdKey, holderKey, tokenKey } from './records.js';
import type { DutiesView } from './view.js';

/** Dependencies of `HolderRecordWriter`: components of the process. */
export interface HolderRecordDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  /** Name of this controller. */
  self: string;
  /** Id that distinguishes this process from all others of this controller. */
  process: string;
}

/** A stored claim to a duty. */
export interface Claim {
  /** The fencing token. */
  token: number;
  /** Version of the holder record: a precondition of every write that the holder makes. */
  version: number;
}

/** Writes the holder record and the fencing token of one duty. */
export class HolderRecordWriter {
  constructor(
    private readonly duty: Duty,
    private readonly deps: HolderRecordDependencies,
  ) {}

  /**
   * Whether the stored token can't be read. An operator must resolve this: a guessed token could repeat an earlier one.
   */
  isTokenUnreadable(): boolean {
    return this.deps.view.token(this.duty).kind === 'unreadable';
  }

  /**
   * Raises the token and names this process as the holder in one transaction, which fails if another holder or an
   * operator was faster. The record is attached to the lease. Returns null if the transaction failed or there was no
   * response; in the latter case the claim may already be stored, or may still be stored.
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

  /** Removes the holder record if it still has this version. */
  remove(version: number): Promise<CompareAndSwapResult> {
    const key = holderKey(this.duty);
    return this.deps.store.compareAndSwap([{ key, version }], [{ remove: key }]);
  }
}
