/**
 * A write-ahead log of decisions: the decider stores an intent before anything is done about it, then waits for the
 * outcome that the holder of the duty stores.
 */
import {
  type Environment,
  type Precondition,
  type StateAccess,
  sleep,
} from '@millring/state-access';
import { type Duty } from './duty.js';
import {
  INTENTS_PREFIX,
  type Intent,
  type IntentAction,
  type Outcome,
  intentKey,
  parseIntent,
} from './records.js';
import type { DutiesView, Versioned } from './view.js';

/** What the log needs of the decider. */
export interface IntentLogDependencies {
  environment: Environment;
  store: StateAccess;
  /** As kept by this controller's `DutyMember`. */
  view: DutiesView;
  /** The decider's term has not ended. */
  isActive(): boolean;
  /** A new name each time, unique for ever across all deciders. */
  newId(): string;
  /** Of each new intent: the decider's term and the cluster's level. Null: none may be opened now. */
  preconditions(): Precondition[] | null;
}

/**
 * What became of an intent.
 *
 * - `resolved`: a holder has stored the outcome.
 * - `not-stored`: surely not stored, so nothing will be done.
 * - `indeterminate`: the decider's term is over, or the record is gone; the cloud's list of machines will tell.
 */
export type IntentResult =
  { kind: 'resolved'; outcome: Outcome } | { kind: 'not-stored' } | { kind: 'indeterminate' };

const RETRY_MS = 200;
const VIEW_POLL_MS = 50;

/** For one decider and its term. */
export class IntentLog {
  private pending = 0;

  constructor(private readonly deps: IntentLogDependencies) {}

  /** All valid intents that are stored; null if they could not be read. To be called before the first decision. */
  async readAll(): Promise<Versioned<Intent>[] | null> {
    const read = await this.deps.store.scan(INTENTS_PREFIX);
    if (!read) return null;
    return read.pairs.flatMap(({ value, version }) => {
      const parsed = parseIntent(value);
      return parsed.kind === 'valid' ? [{ value: parsed.value, version }] : [];
    });
  }

  /**
   * Stores a new intent and resolves once its outcome is known, or can't be any more. A write without a response is sent
   * again as it was: it is stored once, and if a late copy stores it anew after its record was removed, doing it again
   * changes nothing.
   */
  open(duty: Duty, action: IntentAction): Promise<IntentResult> {
    return this.countWhilePending(this.store(duty, action));
  }

  private async store(duty: Duty, action: IntentAction): Promise<IntentResult> {
    const { environment, store } = this.deps;
    const preconditions = this.deps.preconditions();
    if (!preconditions) return { kind: 'not-stored' };
    const id = this.deps.newId();
    const intent: Intent = {
      id,
      duty,
      action,
      openedMs: environment.wallMs(),
      outcome: null,
      token: null,
    };
    const key = intentKey(id);
    for (let mayBeStored = false; this.deps.isActive();) {
      const result = await store.compareAndSwap(
        [...preconditions, { key, version: 0 }],
        [{ put: key, value: intent }],
      );
      if (result.kind === 'committed') return this.awaitInView(id, result.revision);
      if (result.kind === 'conflict' && result.failed.includes(key)) return this.awaitStored(id);
      // The other preconditions never hold again once they don't, neither for this request nor for one on its way.
      if (result.kind === 'conflict' || result.kind === 'invalid') return { kind: 'not-stored' };
      mayBeStored ||= result.kind === 'indeterminate';
      if (!mayBeStored) return { kind: 'not-stored' };
      await sleep(environment, RETRY_MS * (1 + environment.random()));
    }
    return { kind: 'indeterminate' };
  }

  private async awaitStored(id: string): Promise<IntentResult> {
    while (this.deps.isActive()) {
      const read = await this.deps.store.get(intentKey(id));
      if (read.kind === 'found') return this.awaitInView(id, read.entry.version);
      if (read.kind === 'absent') return { kind: 'indeterminate' };
      await sleep(this.deps.environment, RETRY_MS);
    }
    return { kind: 'indeterminate' };
  }

  /** How many intents this decider waits for: all that are open, since it restored those of former deciders. */
  pendingCount(): number {
    return this.pending;
  }

  /** Waits for the outcome of an intent that is stored since `version`. */
  async awaitOutcome(id: string, version: number): Promise<IntentResult> {
    return this.countWhilePending(this.awaitInView(id, version));
  }

  private async countWhilePending(operation: Promise<IntentResult>): Promise<IntentResult> {
    this.pending++;
    const result = await operation;
    this.pending--;
    return result;
  }

  private async awaitInView(id: string, version: number): Promise<IntentResult> {
    const { environment, view } = this.deps;
    while (this.deps.isActive()) {
      const entry = view.intent(id);
      if (entry.kind === 'present' && entry.value.outcome !== null)
        return { kind: 'resolved', outcome: entry.value.outcome };
      if (entry.kind !== 'present' && view.knownRevision() >= version)
        return { kind: 'indeterminate' };
      await sleep(environment, VIEW_POLL_MS);
    }
    return { kind: 'indeterminate' };
  }
}
