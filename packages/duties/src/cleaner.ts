/** Removes the records of finished actions, while this process holds the duty `clean-up`. */
import type { Environment, StateAccess } from '@millring/state-access';
import type { DutyHolder } from './holder.js';
import type { Permit } from './permit.js';
import { intentKey } from './records.js';
import type { DutiesView } from './view.js';

export interface CleanerDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  holder: DutyHolder;
  retentionMs: number;
  /** Changes in one transaction, at most. */
  txnOps: number;
}

const RETRY_MS = 1000;

export class IntentCleaner {
  /** Since when, by our steady clock, each intent is known to be resolved. */
  private readonly resolvedSince = new Map<string, number>();
  private busy = false;
  private notBefore = 0;

  constructor(private readonly deps: CleanerDependencies) {}

  tick(): void {
    const now = this.deps.environment.clock.now();
    this.note(now);
    if (this.busy || now < this.notBefore || !this.deps.holder.isHeld()) return;
    const due = [...this.resolvedSince]
      .filter(([, since]) => now - since >= this.deps.retentionMs)
      .map(([id]) => id)
      .slice(0, this.deps.txnOps);
    if (due.length > 0) void this.remove(due);
  }

  private note(now: number): void {
    const { view } = this.deps;
    for (const [id, { value }] of view.intents())
      if (value.outcome !== null && !this.resolvedSince.has(id)) this.resolvedSince.set(id, now);
    for (const id of this.resolvedSince.keys())
      if (view.intent(id).kind !== 'present') this.resolvedSince.delete(id);
  }

  private async remove(ids: string[]): Promise<void> {
    this.busy = true;
    await this.deps.holder.perform((permit) => this.write(ids, permit));
    this.busy = false;
    this.notBefore = this.deps.environment.clock.now() + RETRY_MS;
  }

  /** Resolved intents never change, so the duty's own guard is enough. */
  private async write(ids: string[], permit: Permit): Promise<void> {
    const changes = ids.map((id) => ({ remove: intentKey(id) }));
    const result = await this.deps.store.compareAndSwap([permit.guard], changes);
    if (result.kind === 'conflict') this.deps.holder.conflicted(permit);
  }
}
