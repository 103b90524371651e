/** State machines with explicit states, a table of the allowed transitions, and one function for all state changes. */

/** For each state, the states that may follow it. */
export type Transitions<State extends string> = Readonly<Record<State, readonly State[]>>;

/** A transition that the table does not list. It is always a bug in this program. */
export class IllegalTransitionError extends Error {
  constructor(stateMachineName: string, from: string, to: string) {
    super(`${stateMachineName}: ${from} -> ${to}`);
    this.name = 'IllegalTransitionError';
  }
}

/** Callbacks for changes of state. */
export interface TransitionListener<State extends string> {
  /** Called before the state changes; used for log lines. */
  beforeTransition(from: State, to: State, reason: string): void;
  /** Called after the state has changed. The listener may cause further transitions. */
  afterTransition?(from: State, to: State): void;
}

/** State machine of one object. */
export class StateMachine<State extends string> {
  /** `name` identifies the state machine in error messages. */
  constructor(
    private readonly name: string,
    private readonly transitions: Transitions<State>,
    private current: State,
    private readonly listener: TransitionListener<State>,
  ) {}

  get state(): State {
    return this.current;
  }

  /**
   * Changes the state. Does nothing if `next` is the current state. Throws an `IllegalTransitionError` if the
   * transition is not allowed. `reason` is passed to the listener.
   */
  transitionTo(next: State, reason: string): void {
    const from = this.current;
    if (next === from) return;
    if (!this.transitions[from].includes(next))
      throw new IllegalTransitionError(this.name, from, next);
    this.listener.beforeTransition(from, next, reason);
    this.current = next;
    this.listener.afterTransition?.(from, next);
  }
}
