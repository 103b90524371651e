/** What must hold of the duties after each step, whatever fails: looked at from outside the controllers. */
import { DUTIES, type Duty, type Intent, type Outcome } from '@millring/duties';
import type { DutyGroup } from './duty-group.js';
import type { ProviderCall } from './fenced-provider.js';

const INTENTS_PREFIX = 'duties/intents/';

export class DutyRules {
  readonly broken: string[] = [];
  private readonly tokens = new Map<Duty, number>();
  /** All intents that were ever stored, as last seen. */
  readonly intents = new Map<string, Intent>();
  private callsSeen = 0;
  /** Records may be taken from under holders. */
  operatorActed = false;
  private revisionSeen = 0;

  constructor(private readonly group: DutyGroup) {}

  private break(rule: string, detail: string): void {
    this.broken.push(`${Math.round(this.group.clock.time)} ${rule}: ${detail}`);
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
      const holders = group.names.filter(
        (name) =>
          group.isUp(name) && !group.isFrozen(name) && group.member(name).holder(duty).isHeld(),
      );
      if (holders.length > 1) this.break('two_holders', `${duty}: ${holders.join(', ')}`);
      const recorded = group.recorded(duty)?.controller;
      if (holders.length === 1 && holders[0] !== recorded && !this.operatorActed)
        this.break('holder_without_record', `${duty}: ${holders[0]}, ${recorded}`);
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
    if ((stored?.token ?? 0) < before) this.break('token_fell', `${duty}: ${before}`);
    this.tokens.set(duty, stored?.token ?? before);
    const holder = this.group.recorded(duty);
    if (holder && holder.token !== stored?.token)
      this.break('holder_token', `${duty}: ${holder.token}`);
  }

  /** Once resolved, an intent stays as it is; it is resolved under a token that was given. */
  private checkIntent(intent: Intent): void {
    const before = this.intents.get(intent.id);
    const isNew = before?.outcome === undefined || before.outcome === null;
    if (
      isNew &&
      intent.outcome !== null &&
      intent.token !== this.group.recorded(intent.duty)?.token
    )
      this.break('resolved_by_replaced', intent.id);
    if (before?.outcome && !sameOutcome(before.outcome, intent.outcome))
      this.break('outcome_changed', intent.id);
    if (intent.token !== null && intent.token > (this.tokens.get(intent.duty) ?? 0))
      this.break('unknown_token', intent.id);
    this.intents.set(intent.id, structuredClone(intent));
  }

  /** The provider executes only what an intent asked for before, and tokens never fall. */
  private checkCall(call: ProviderCall): void {
    if (!call.executed) return;
    const asked = [...this.intents.values()].some((intent) => isFor(intent, call));
    if (!asked) this.break('without_intent', JSON.stringify(call));
  }

  /** Machines that were rented and are not known to any intent; to be asked once all is quiet. */
  unaccounted(): string[] {
    const known = new Set<string>();
    for (const { outcome } of this.intents.values())
      if (outcome?.kind === 'rented') for (const machine of outcome.machines) known.add(machine);
    return [...this.group.provider.machines].filter((machine) => !known.has(machine));
  }
}

function sameOutcome(a: Outcome, b: Outcome | null): boolean {
  // A late copy of the first write may open the intent once more; doing it again changes nothing.
  return b === null || JSON.stringify(a) === JSON.stringify(b);
}

function isFor({ id, duty, action }: Intent, call: ProviderCall): boolean {
  if (duty !== call.duty) return false;
  if (action.kind === 'rent') return id === call.request;
  return (
    call.request === null && call.machines.every((machine) => action.machines.includes(machine))
  );
}
