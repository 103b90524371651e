/** The side that decides: stores an intent before anything is done about it, and learns what became of it. */
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

export interface IntentLogDependencies {
  environment: Environment;
  store: StateAccess;
  /** As kept by this controller's `DutyMember`. */
  view: DutiesView;
  /** The decider's claim still stands. */
  isActive(): boolean;
  /** Unique for ever. */
  newId(): string;
  /** Guards each new intent: the decider's claim and the cluster's level. Null: none may be opened now. */
  preconditions(): Precondition[] | null;
}

export type IntentResult =
  | { kind: 'resolved'; outcome: Outcome }
  /** Surely not stored: nothing will be done. */
  | { kind: 'not-opened' }
  /** The decider's claim is over, or the record is gone: the next look at the machines tells. */
  | { kind: 'unknown' };

const RETRY_MS = 200;
const POLL_MS = 50;

export class IntentLog {
  private followed = 0;

  constructor(private readonly deps: IntentLogDependencies) {}

  /** All intents that are stored; null if they could not be read. Whoever decides reads them before it decides. */
  async readAll(): Promise<Versioned<Intent>[] | null> {
    const read = await this.deps.store.scan(INTENTS_PREFIX);
    if (!read) return null;
    return read.pairs.flatMap(({ value, version }) => {
      const parsed = parseIntent(value);
      return parsed.kind === 'valid' ? [{ value: parsed.value, version }] : [];
    });
  }

  /**
   * Resolves once the action is done, or can't be followed any more. A write without an answer is sent again as it was:
   * it is stored once, and if a late copy stores it anew after its record was removed, doing it again changes nothing.
   */
  open(duty: Duty, action: IntentAction): Promise<IntentResult> {
    return this.counted(this.store(duty, action));
  }

  private async store(duty: Duty, action: IntentAction): Promise<IntentResult> {
    const { environment, store } = this.deps;
    const guards = this.deps.preconditions();
    if (!guards) return { kind: 'not-opened' };
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
        [...guards, { key, version: 0 }],
        [{ put: key, value: intent }],
      );
      if (result.kind === 'committed') return this.followRecord(id, result.revision);
      if (result.kind === 'conflict' && result.failed.includes(key)) return this.followStored(id);
      // The other guards never hold again once they don't, neither for this request nor for one on its way.
      if (result.kind === 'conflict' || result.kind === 'invalid') return { kind: 'not-opened' };
      mayBeStored ||= result.kind === 'indeterminate';
      if (!mayBeStored) return { kind: 'not-opened' };
      await sleep(environment, RETRY_MS * (1 + environment.random()));
    }
    return { kind: 'unknown' };
  }

  private async followStored(id: string): Promise<IntentResult> {
    while (this.deps.isActive()) {
      const read = await this.deps.store.get(intentKey(id));
      if (read.kind === 'found') return this.followRecord(id, read.entry.version);
      if (read.kind === 'absent') return { kind: 'unknown' };
      await sleep(this.deps.environment, RETRY_MS);
    }
    return { kind: 'unknown' };
  }

  /** How many intents this decider waits for: all that are open, since it took over those of its predecessors. */
  pendingCount(): number {
    return this.followed;
  }

  /** Waits for the outcome of an intent that is stored since `version`. */
  async awaitOutcome(id: string, version: number): Promise<IntentResult> {
    return this.counted(this.followRecord(id, version));
  }

  private async counted(opened: Promise<IntentResult>): Promise<IntentResult> {
    this.followed++;
    const result = await opened;
    this.followed--;
    return result;
  }

  private async followRecord(id: string, version: number): Promise<IntentResult> {
    const { environment, view } = this.deps;
    while (this.deps.isActive()) {
      const entry = view.intent(id);
      if (entry.kind === 'present' && entry.value.outcome !== null)
        return { kind: 'resolved', outcome: entry.value.outcome };
      if (entry.kind !== 'present' && view.knownRevision() >= version) return { kind: 'unknown' };
      await sleep(environment, POLL_MS);
    }
    return { kind: 'unknown' };
  }
}
