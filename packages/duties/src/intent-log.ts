/**
 * A write-ahead log of the leader's decisions. The leader stores an intent before any action is taken, then waits for
 * the outcome, which the holder of the duty stores.
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

/** Dependencies of `IntentLog`, supplied by the leader. */
export interface IntentLogDependencies {
  environment: Environment;
  store: StateAccess;
  /** The view that this controller's `DutyMember` keeps up to date. */
  view: DutiesView;
  /** Whether the leader's term has not ended. */
  isActive(): boolean;
  /** Returns a new id on each call. Ids are never reused by any leader. */
  newId(): string;
  /**
   * The preconditions for storing a new intent: the leader's term and the cluster's feature level. Returns null if no
   * intent may be opened now.
   */
  preconditions(): Precondition[] | null;
}

/**
 * The result of an intent.
 *
 * - `resolved`: a holder has stored the outcome.
 * - `not-stored`: the intent is guaranteed not to be stored, so no action will be taken.
 * - `indeterminate`: the leader's term has ended or the record no longer exists; whether the action was performed must
 *   be read from the cloud's list of machines.
 */
export type IntentResult =
  { kind: 'resolved'; outcome: Outcome } | { kind: 'not-stored' } | { kind: 'indeterminate' };

const RETRY_MS = 200;
const VIEW_POLL_MS = 50;

/** The intent log of one leader for one term. */
export class IntentLog {
  /** Number of intents whose outcome is being waited for. */
  private pending = 0;

  constructor(private readonly deps: IntentLogDependencies) {}

  /**
   * Reads all valid stored intents. Returns null if they could not be read. To be called before the first decision.
   */
  async readAll(): Promise<Versioned<Intent>[] | null> {
    const read = await this.deps.store.scan(INTENTS_PREFIX);
    if (!read) return null;
    return read.pairs.flatMap(({ value, version }) => {
      const parsed = parseIntent(value);
      return parsed.kind === 'valid' ? [{ value: parsed.value, version }] : [];
    });
  }

  /**
   * Stores a new intent and resolves once its outcome is known, or can no longer become known. A write without a
   * response is repeated unchanged: the intent is stored only once, and if a delayed copy of the write stores it again
   * after its record was removed, performing it again changes nothing.
   */
  open(duty: Duty, action: IntentAction): Promise<IntentResult> {
    return this.trackPending(this.store(duty, action));
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
      if (result.kind === 'committed') return this.awaitOutcomeInView(id, result.revision);
      if (result.kind === 'conflict' && result.failed.includes(key))
        return this.awaitOutcomeIfStored(id);
      // Once one of the other preconditions fails it never holds again, for this request or for one still in flight.
      if (result.kind === 'conflict' || result.kind === 'invalid') return { kind: 'not-stored' };
      mayBeStored ||= result.kind === 'indeterminate';
      if (!mayBeStored) return { kind: 'not-stored' };
      await sleep(environment, RETRY_MS * (1 + environment.random()));
    }
    return { kind: 'indeterminate' };
  }

  /**
   * Waits for the outcome of an intent whose key exists, since an earlier copy of the write was executed. Returns
   * `indeterminate` if the record has been removed.
   */
  private async awaitOutcomeIfStored(id: string): Promise<IntentResult> {
    while (this.deps.isActive()) {
      const read = await this.deps.store.get(intentKey(id));
      if (read.kind === 'found') return this.awaitOutcomeInView(id, read.entry.version);
      if (read.kind === 'absent') return { kind: 'indeterminate' };
      await sleep(this.deps.environment, RETRY_MS);
    }
    return { kind: 'indeterminate' };
  }

  /**
   * Number of intents whose outcome this leader waits for. These are all open intents if the leader has called
   * `awaitOutcome` for each open intent of earlier leaders, as returned by `readAll`.
   */
  pendingCount(): number {
    return this.pending;
  }

  /** Waits for the outcome of an intent that was stored with `version`. */
  async awaitOutcome(id: string, version: number): Promise<IntentResult> {
    return this.trackPending(this.awaitOutcomeInView(id, version));
  }

  /** Counts the operation as pending until it ends. */
  private async trackPending(operation: Promise<IntentResult>): Promise<IntentResult> {
    this.pending++;
    const result = await operation;
    this.pending--;
    return result;
  }

  /** Polls the view until it contains the outcome, or is at least as new as `version` without containing the intent. */
  private async awaitOutcomeInView(id: string, version: number): Promise<IntentResult> {
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
