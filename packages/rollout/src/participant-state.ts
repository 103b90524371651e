/** Whether a controller process may serve, as a state machine. */
import type { Environment } from '@millring/state-access';

/**
 * - `joining`: not registered yet, or the level is not known; nothing is served.
 * - `outside`: the rollout is off here and this controller has never taken part, so that no level can have been
 *   raised; everything is served at the base level.
 * - `serving`: registered, and the active level can be read.
 * - `excluded`: the active level can't be read, or a newer process of the same controller has registered.
 */
export type ParticipantState = 'joining' | 'outside' | 'serving' | 'excluded';

const ALLOWED_TRANSITIONS: Record<ParticipantState, readonly ParticipantState[]> = {
  joining: ['outside', 'serving', 'excluded'],
  outside: [],
  serving: ['excluded'],
  excluded: ['serving'],
};

/** Every change of state goes through `transitionTo`, which logs it. */
export class ServingState {
  private state: ParticipantState = 'joining';
  private why = 'the cluster level is not known yet';

  /** `onServingChanged` is called whenever the answer of `mayServe` changes. */
  constructor(
    private readonly log: Pick<Environment['log'], 'info'>,
    private readonly onServingChanged: (mayServe: boolean) => void,
  ) {}

  /** As last decided. */
  current(): ParticipantState {
    return this.state;
  }

  /** Anything may be served. */
  mayServe(): boolean {
    return this.state === 'serving' || this.state === 'outside';
  }

  /** Why the state is as it is. */
  reason(): string {
    return this.why;
  }

  /** Does nothing if the state is the same; throws for a transition that the state machine lacks. */
  transitionTo(next: ParticipantState, why: string): void {
    if (next === this.state) return;
    if (!ALLOWED_TRANSITIONS[this.state].includes(next))
      throw new Error(`rollout participant: ${this.state} -> ${next}`);
    const mayServeBefore = this.mayServe();
    this.log.info({ from: this.state, to: next, why }, 'rollout');
    this.state = next;
    this.why = why;
    if (mayServeBefore !== this.mayServe()) this.onServingChanged(this.mayServe());
  }

  /** Also takes over the reason if the process is excluded already. */
  exclude(why: string): void {
    this.why = why;
    this.transitionTo('excluded', why);
  }
}
