/** What must hold of the duties after each step, whatever fails: looked at from outside the controllers. */
import { DUTIES, type Duty, type Intent, type Outcome } from '@millring/duties';
import type { VirtualClock } from './clock.js';
import type { FencedProvider, ProviderCall } from './fenced-provider.js';
import type { StateService } from './state-service.js';

const INTENTS_PREFIX = 'duties/intents/';

/** What the invariants look at. */
export interface ObservedDutyGroup {
  readonly clock: VirtualClock;
  readonly state: StateService;
  readonly provider: FencedProvider;
  /** Controllers that run and believe to hold the duty now. */
  holders(duty: Duty): string[];
  /** What the records say. */
  storedHolder(duty: Duty): { controller: string; token: number } | undefined;
}

/** Checked after each step of a duty group; `violations` has what was broken, with times. */
export class DutyInvariants {
  readonly violations: string[] = [];
  private readonly tokens = new Map<Duty, number>();
  /** All intents that were ever stored, as last seen. */
  readonly intents = new Map<string, Intent>();
  private callsSeen = 0;
  /** Records may be taken from under holders. */
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

  /** Whoever is entitled to act stands in the record at that very moment, unless an operator took it out. */
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

  /** Tokens only rise, also when nobody holds the duty. */
  private checkToken(duty: Duty): void {
    const stored = this.group.state.value(`duties/tokens/${duty}`) as { token: number } | undefined;
    const before = this.tokens.get(duty) ?? 0;
    if ((stored?.token ?? 0) < before) this.recordViolation('token_fell', `${duty}: ${before}`);
    this.tokens.set(duty, stored?.token ?? before);
    const holder = this.group.storedHolder(duty);
    if (holder && holder.token !== stored?.token)
      this.recordViolation('holder_token', `${duty}: ${holder.token}`);
  }

  /** Once resolved, an intent stays as it is; it is resolved under a token that was given. */
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

  /** The provider executes only what an intent asked for before, and tokens never fall. */
  private checkCall(call: ProviderCall): void {
    if (!call.executed) return;
    const isRequested = [...this.intents.values()].some((intent) => matchesCall(intent, call));
    if (!isRequested) this.recordViolation('without_intent', JSON.stringify(call));
  }

  /** Machines that were rented and are not known to any intent; to be asked once all is quiet. */
  unaccounted(): string[] {
    const known = new Set<string>();
    for (const { outcome } of this.intents.values())
      if (outcome?.kind === 'rented') for (const machine of outcome.machines) known.add(machine);
    return [...this.group.provider.machines].filter((machine) => !known.has(machine));
  }
}

function isSameOutcome(before: Outcome, now: Outcome | null): boolean {
  // A late copy of the first write may open the intent once more; doing it again changes nothing.
  return now === null || JSON.stringify(before) === JSON.stringify(now);
}

function matchesCall({ id, duty, action }: Intent, call: ProviderCall): boolean {
  if (duty !== call.duty) return false;
  if (action.kind === 'rent') return id === call.request;
  return (
    call.request === null && call.machines.every((machine) => action.machines.includes(machine))
  );
}
