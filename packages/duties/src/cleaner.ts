/** Removes the records of resolved intents, while this process holds the duty `clean-up`. */
import type { Environment, StateAccess } from '@millring/state-access';
import { FirstSeenTracker } from './first-seen-tracker.js';
import type { DutyHolder } from './holder.js';
import type { Permit } from './permit.js';
import { intentKey } from './records.js';
import type { DutiesView } from './view.js';

/** What the cleaner needs of its process and of the settings. */
export interface CleanerDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  /** Of the duty `clean-up`. */
  holder: DutyHolder;
  /** How long the record of a resolved intent stays. */
  retentionMs: number;
  /** Changes in one transaction, at most. */
  maxTransactionOps: number;
}

const REMOVAL_INTERVAL_MS = 1000;

/** Removes at most one transaction's worth of records at a time. */
export class IntentCleaner {
  private readonly resolved = new FirstSeenTracker();
  private isRemoving = false;
  private notBefore = 0;

  constructor(private readonly deps: CleanerDependencies) {}

  /** To be called several times a second, by every member: resolved intents are timed from when they are seen. */
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

  /** Resolved intents never change, so the duty's own precondition is enough. */
  private async write(ids: string[], permit: Permit): Promise<void> {
    const changes = ids.map((id) => ({ remove: intentKey(id) }));
    const result = await this.deps.store.compareAndSwap([permit.precondition], changes);
    if (result.kind === 'conflict') this.deps.holder.recordConflict(permit);
  }
}
