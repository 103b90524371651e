/** Performs the open intents of the duties that this process holds. */
import type { Environment, StateAccess } from '@millring/state-access';
import type { Duty } from './duty.js';
import type { DutyHolder } from './holder.js';
import type { Permit } from './permit.js';
import type { MachineProvider } from './provider.js';
import { type Intent, type Outcome, intentKey } from './records.js';
import type { DutiesView, Versioned } from './view.js';

export interface ExecutorDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  provider: MachineProvider;
  holderOf(duty: Duty): DutyHolder;
}

const FIRST_RETRY_MS = 500;
const LONGEST_RETRY_MS = 10_000;
/** Requests on their way for one holder: each may take seconds to be answered. */
const MOST_IN_FLIGHT = 4;

/** An intent that this process has tried, or is trying. */
interface Attempt {
  inFlight: boolean;
  failures: number;
  notBefore: number;
  /** The provider has answered, but the record does not say so yet. */
  outcome: Outcome | null;
}

export class IntentExecutor {
  private readonly attempts = new Map<string, Attempt>();

  constructor(private readonly deps: ExecutorDependencies) {}

  /** Begins what is due. */
  tick(): void {
    const { view, environment, provider } = this.deps;
    this.forgetResolved();
    const now = environment.clock.now();
    for (const [id, intent] of view.intents()) {
      if (intent.value.outcome !== null) continue;
      const holder = this.deps.holderOf(intent.value.duty);
      const attempt = this.attempts.get(id) ?? newAttempt();
      if (!holder.isHeld() || attempt.inFlight || now < attempt.notBefore) continue;
      if (this.inFlight() >= MOST_IN_FLIGHT) return;
      if (attempt.outcome === null && !provider.mayCall()) return;
      this.attempts.set(id, attempt);
      void this.run(id, intent, holder, attempt);
    }
  }

  private inFlight(): number {
    let count = 0;
    for (const attempt of this.attempts.values()) if (attempt.inFlight) count++;
    return count;
  }

  private forgetResolved(): void {
    for (const id of this.attempts.keys()) if (!this.deps.view.isOpen(id)) this.attempts.delete(id);
  }

  private async run(
    id: string,
    intent: Versioned<Intent>,
    holder: DutyHolder,
    attempt: Attempt,
  ): Promise<void> {
    attempt.inFlight = true;
    const performed = await holder.perform((permit) =>
      this.attempt(id, intent, permit, holder, attempt),
    );
    attempt.inFlight = false;
    if (performed.kind === 'performed' && performed.value) return;
    const { environment } = this.deps;
    const backoffMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** attempt.failures++);
    attempt.notBefore = environment.clock.now() + backoffMs * (0.5 + environment.random() / 2);
  }

  /** True once the intent is resolved. */
  private async attempt(
    id: string,
    intent: Versioned<Intent>,
    permit: Permit,
    holder: DutyHolder,
    attempt: Attempt,
  ): Promise<boolean> {
    attempt.outcome ??= await this.request(intent.value, permit);
    if (attempt.outcome === null) return false;
    const value: Intent = { ...intent.value, outcome: attempt.outcome, token: permit.token };
    const guards = [permit.guard, { key: intentKey(id), version: intent.version }];
    const result = await this.deps.store.compareAndSwap(guards, [{ put: intentKey(id), value }]);
    if (result.kind === 'conflict' && result.failed.includes(permit.guard.key))
      holder.conflicted(permit);
    return result.kind === 'committed';
  }

  private async request({ id, action }: Intent, permit: Permit): Promise<Outcome | null> {
    const { provider } = this.deps;
    const result =
      action.kind === 'rent'
        ? await provider.rent(permit, id, action)
        : await provider.delete(permit, action.machines);
    return result.kind === 'unavailable' ? null : result;
  }
}

function newAttempt(): Attempt {
  return { inFlight: false, failures: 0, notBefore: 0, outcome: null };
}
