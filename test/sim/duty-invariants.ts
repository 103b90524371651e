/** Invariants of the duties that must hold after each step under any fault, checked from outside the controllers. */
import { DUTIES, type Duty, type Intent, type Outcome } from '@millring/duties';
import type { VirtualClock } from './clock.js';
import type { FencedProvider, ProviderCall } from './fenced-provider.js';
import type { StateService } from './state-service.js';

const INTENTS_PREFIX = 'duties/intents/';

/** The parts of a duty group that the invariants inspect. */
export interface ObservedDutyGroup {
  readonly clock: VirtualClock;
  readonly state: StateService;
  readonly provider: FencedProvider;
  /** Returns the names of the running controllers that consider themselves holders of the duty now. */
  holders(duty: Duty): string[];
  /** Returns the stored holder record of the duty, or undefined if there is none. */
  storedHolder(duty: Duty): { controller: string; token: number } | undefined;
}

/** Checks a duty group after each step. `violations` contains each violation with its virtual time. */
export class DutyInvariants {
  readonly violations: string[] = [];
  private readonly tokens = new Map<Duty, number>();
  /** All intents that were ever stored, by id, in the form last seen. */
  readonly intents = new Map<string, Intent>();
  private callsSeen = 0;
  /** Whether an operator has acted. Operators may remove a holder record, so that a holder may be without a record. */
  operatorActed = false;
  private revisionSeen = 0;

  constructor(private readonly group: ObservedDutyGroup) {}

  private recordViolation(invariant: string, detail: string): void {
    this.violations.push(`${Math.round(this.group.clock.time)} ${invariant}: ${detail}`);
  }

  check(): void {
    this.checkHolders();
    this.checkRecords();
    const { calls } = this.group.provider;
    for (; this.callsSeen < calls.length; this.callsSeen++) this.checkCall(calls[this.callsSeen]);
  }

  /** Checks that at most one controller holds each duty and that, unless an operator acted, the record names it. */
  private checkHolders(): void {
    const { group } = this;
    for (const duty of DUTIES) {
      const holders = group.holders(duty);
      if (holders.length > 1) this.recordViolation('two_holders', `${duty}: ${holders.join(', ')}`);
      const recorded = group.storedHolder(duty)?.controller;
      if (holders.length === 1 && holders[0] !== recorded && !this.operatorActed)
        this.recordViolation('holder_without_record', `${duty}: ${holders[0]}, ${recorded}`);
    }
  }

  private checkRecords(): void {
    const { state } = this.group;
    if (state.revision === this.revisionSeen) return;
    this.revisionSeen = state.revision;
    for (const duty of DUTIES) this.checkToken(duty);
    for (const [key, { value }] of state.items)
      if (key.startsWith(INTENTS_PREFIX)) this.checkIntent(value as Intent);
  }

  /** Checks that the duty's token never decreases, even while nobody holds the duty, and that the holder has it. */
  private checkToken(duty: Duty): void {
    const stored = this.group.state.value(`duties/tokens/${duty}`) as { token: number } | undefined;
    const before = this.tokens.get(duty) ?? 0;
    if ((stored?.token ?? 0) < before) this.recordViolation('token_fell', `${duty}: ${before}`);
    this.tokens.set(duty, stored?.token ?? before);
    const holder = this.group.storedHolder(duty);
    if (holder && holder.token !== stored?.token)
      this.recordViolation('holder_token', `${duty}: ${holder.token}`);
  }

  /** Checks that a resolved intent keeps its outcome, and that the holder resolved it under a token that was issued. */
  private checkIntent(intent: Intent): void {
    const before = this.intents.get(intent.id)?.outcome ?? null;
    if (before !== null) this.checkOutcomeKept(intent, before);
    else if (intent.outcome !== null) this.checkResolvedByHolder(intent);
    if (intent.token !== null && intent.token > (this.tokens.get(intent.duty) ?? 0))
      this.recordViolation('unknown_token', intent.id);
    this.intents.set(intent.id, structuredClone(intent));
  }

  private checkResolvedByHolder({ id, duty, token }: Intent): void {
    if (token !== this.group.storedHolder(duty)?.token)
      this.recordViolation('resolved_by_replaced', id);
  }

  private checkOutcomeKept({ id, outcome }: Intent, before: Outcome): void {
    if (!isSameOutcome(before, outcome)) this.recordViolation('outcome_changed', id);
  }

  /** Checks that an intent requested what the provider executed. The provider itself rejects decreasing tokens. */
  private checkCall(call: ProviderCall): void {
    if (!call.executed) return;
    const isRequested = [...this.intents.values()].some((intent) => matchesCall(intent, call));
    if (!isRequested) this.recordViolation('without_intent', JSON.stringify(call));
  }

  /** Returns machines that were rented but appear in no intent's outcome. To be called once no intent is open. */
  unaccounted(): string[] {
    const known = new Set<string>();
    for (const { outcome } of this.intents.values())
      if (outcome?.kind === 'rented') for (const machine of outcome.machines) known.add(machine);
    return [...this.group.provider.machines].filter((machine) => !known.has(machine));
  }
}

function isSameOutcome(before: Outcome, now: Outcome | null): boolean {
  // A late copy of the first write may open the intent again; performing it again changes nothing.
  return now === null || JSON.stringify(before) === JSON.stringify(now);
}

function matchesCall({ id, duty, action }: Intent, call: ProviderCall): boolean {
  if (duty !== call.duty) return false;
  if (action.kind === 'rent') return id === call.request;
  return (
    call.request === null && call.machines.every((machine) => action.machines.includes(machine))
  );
}
