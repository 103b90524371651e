/** Removes the records of resolved intents while this process holds the duty `clean-up`. */
import type { Environment, StateAccess } from '@millring/state-access';
import { FirstSeenTracker } from './first-seen-tracker.js';
import type { DutyHolder } from './holder.js';
import type { Permit } from './permit.js';
import { intentKey } from './records.js';
import type { DutiesView } from './view.js';

/** Dependencies of `IntentCleaner`: components of the process and values of the settings. */
export interface CleanerDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  /** This process's `DutyHolder` of the duty `clean-up`. */
  holder: DutyHolder;
  /** Time in milliseconds for which the record of a resolved intent is kept. */
  retentionMs: number;
  /** Maximum number of changes in one transaction. */
  maxTransactionOps: number;
}

const REMOVAL_INTERVAL_MS = 1000;

/** Removes the records of resolved intents after their retention time, in batches of at most one transaction. */
export class IntentCleaner {
  private readonly resolved = new FirstSeenTracker();
  private isRemoving = false;
  private notBefore = 0;

  constructor(private readonly deps: CleanerDependencies) {}

  /**
   * To be called several times a second by every member, whether or not it holds the duty: the retention time of a
   * resolved intent counts from when this process first saw it.
   */
  tick(): void {
    const { environment, holder, retentionMs, maxTransactionOps } = this.deps;
    const now = environment.clock.now();
    this.trackResolved(now);
    if (this.isRemoving || now < this.notBefore || !holder.isHeld()) return;
    const due = this.resolved.knownForAtLeast(retentionMs, now).slice(0, maxTransactionOps);
    if (due.length > 0) void this.remove(due);
  }

  private trackResolved(now: number): void {
    const { view } = this.deps;
    for (const [id, { value }] of view.intents())
      if (value.outcome !== null) this.resolved.record(id, now);
    this.resolved.retain((id) => view.intent(id).kind === 'present');
  }

  private async remove(ids: string[]): Promise<void> {
    this.isRemoving = true;
    await this.deps.holder.perform((permit) => this.write(ids, permit));
    this.isRemoving = false;
    this.notBefore = this.deps.environment.clock.now() + REMOVAL_INTERVAL_MS;
  }

  /** Uses the duty's precondition only: resolved intents never change, so their versions need no check. */
  private async write(ids: string[], permit: Permit): Promise<void> {
    const changes = ids.map((id) => ({ remove: intentKey(id) }));
    const result = await this.deps.store.compareAndSwap([permit.precondition], changes);
    if (result.kind === 'conflict') this.deps.holder.recordConflict(permit);
  }
}
