/** The state machine that determines whether a controller process may serve. */
import type { Environment } from '@millring/state-access';

/**
 * - `joining`: the process has not registered yet, or the level is not known. It does not serve.
 * - `outside`: the rollout is off in this controller, and the controller has never taken part in it, so the level can't
 *   have been raised. The process serves at the base level.
 * - `serving`: the process has registered and can read the active level.
 * - `excluded`: the process can't read the active level, or a newer process of the same controller has registered. It
 *   does not serve.
 */
export type ParticipantState = 'joining' | 'outside' | 'serving' | 'excluded';

const ALLOWED_TRANSITIONS: Record<ParticipantState, readonly ParticipantState[]> = {
  joining: ['outside', 'serving', 'excluded'],
  outside: [],
  serving: ['excluded'],
  excluded: ['serving'],
};

/** Holds the state of the process. Every change of state goes through `transitionTo`, which logs it. */
export class ServingState {
  private state: ParticipantState = 'joining';
  private currentReason = 'the cluster level is not known yet';

  /** `onServingChanged` is called whenever the result of `mayServe` changes. */
  constructor(
    private readonly log: Pick<Environment['log'], 'info'>,
    private readonly onServingChanged: (mayServe: boolean) => void,
  ) {}

  current(): ParticipantState {
    return this.state;
  }

  /** Whether the process may serve. */
  mayServe(): boolean {
    return this.state === 'serving' || this.state === 'outside';
  }

  /** Returns the reason for the current state. */
  reason(): string {
    return this.currentReason;
  }

  /** Does nothing if the state stays the same. Throws if the state machine does not allow the transition. */
  transitionTo(next: ParticipantState, reason: string): void {
    if (next === this.state) return;
    if (!ALLOWED_TRANSITIONS[this.state].includes(next))
      throw new Error(`rollout participant: ${this.state} -> ${next}`);
    const mayServeBefore = this.mayServe();
    this.log.info({ from: this.state, to: next, why: reason }, 'rollout');
    this.state = next;
    this.currentReason = reason;
    if (mayServeBefore !== this.mayServe()) this.onServingChanged(this.mayServe());
  }

  /** Excludes the process. Replaces the reason if the process is already excluded. */
  exclude(reason: string): void {
    this.currentReason = reason;
    this.transitionTo('excluded', reason);
  }
}
