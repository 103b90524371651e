/** Performs the open intents of the duties that this process holds. */
import type { Environment, StateAccess } from '@millring/state-access';
import type { Duty } from './duty.js';
import type { DutyHolder } from './holder.js';
import type { Permit } from './permit.js';
import type { MachineProvider } from './provider.js';
import { type Intent, type Outcome, intentKey } from './records.js';
import type { DutiesView, Versioned } from './view.js';

/** Dependencies of `IntentExecutor`: components of the process. */
export interface ExecutorDependencies {
  environment: Environment;
  store: StateAccess;
  view: DutiesView;
  provider: MachineProvider;
  /** Returns this process's `DutyHolder` of the duty. */
  holderOf(duty: Duty): DutyHolder;
}

const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 10_000;
/** Maximum number of requests in flight, for all duties together. A response may take seconds. */
const MAX_IN_FLIGHT = 4;

/** This process's progress in performing one intent. */
interface Execution {
  isInFlight: boolean;
  failures: number;
  /** Time of the next attempt at the earliest, by the monotonic clock. */
  notBefore: number;
  /** The outcome reported by the provider, until it is stored; null before that. */
  outcome: Outcome | null;
}

/**
 * Repeats each open intent with exponential backoff until its outcome is stored. Repetition is harmless: the provider
 * fulfills each request id only once, and no task runs on a machine that an intent deletes.
 */
export class IntentExecutor {
  private readonly executions = new Map<string, Execution>();

  constructor(private readonly deps: ExecutorDependencies) {}

  /** To be called several times a second. Starts the attempts that are due. */
  tick(): void {
    const { view, environment, provider } = this.deps;
    this.forgetResolved();
    const now = environment.clock.now();
    for (const [id, intent] of view.intents()) {
      if (intent.value.outcome !== null) continue;
      const holder = this.deps.holderOf(intent.value.duty);
      const execution = this.executions.get(id) ?? newExecution();
      if (!holder.isHeld() || execution.isInFlight || now < execution.notBefore) continue;
      if (this.inFlightCount() >= MAX_IN_FLIGHT) return;
      if (execution.outcome === null && !provider.tryAcquireCall()) return;
      this.executions.set(id, execution);
      void this.run(id, intent, holder, execution);
    }
  }

  private inFlightCount(): number {
    let count = 0;
    for (const execution of this.executions.values()) if (execution.isInFlight) count++;
    return count;
  }

  private forgetResolved(): void {
    for (const id of this.executions.keys())
      if (!this.deps.view.isOpen(id)) this.executions.delete(id);
  }

  private async run(
    id: string,
    intent: Versioned<Intent>,
    holder: DutyHolder,
    execution: Execution,
  ): Promise<void> {
    execution.isInFlight = true;
    const performed = await holder.perform((permit) =>
      this.attempt(id, intent, permit, holder, execution),
    );
    execution.isInFlight = false;
    if (performed.kind === 'performed' && performed.value) return;
    const { environment } = this.deps;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** execution.failures++);
    execution.notBefore = environment.clock.now() + backoffMs * (0.5 + environment.random() / 2);
  }

  /** Performs the intent and stores its outcome. Returns true once the outcome is stored. */
  private async attempt(
    id: string,
    intent: Versioned<Intent>,
    permit: Permit,
    holder: DutyHolder,
    execution: Execution,
  ): Promise<boolean> {
    execution.outcome ??= await this.request(intent.value, permit);
    if (execution.outcome === null) return false;
    const key = intentKey(id);
    const value: Intent = { ...intent.value, outcome: execution.outcome, token: permit.token };
    const preconditions = [permit.precondition, { key, version: intent.version }];
    const result = await this.deps.store.compareAndSwap(preconditions, [{ put: key, value }]);
    if (result.kind === 'conflict' && result.failed.includes(permit.precondition.key))
      holder.recordConflict(permit);
    return result.kind === 'committed';
  }

  /** Sends the action to the provider. Returns null if the provider is unavailable. */
  private async request({ id, action }: Intent, permit: Permit): Promise<Outcome | null> {
    const { provider } = this.deps;
    const result =
      action.kind === 'rent'
        ? await provider.rent(permit, id, action)
        : await provider.delete(permit, action.machines);
    return result.kind === 'unavailable' ? null : result;
  }
}

function newExecution(): Execution {
  return { isInFlight: false, failures: 0, notBefore: 0, outcome: null };
}
