/** State machines with explicit states, a table of the transitions that may occur, and one function for every change of state. */

/** For each state, the states that may follow it. */
export type Transitions<State extends string> = Readonly<Record<State, readonly State[]>>;

/** A change of state that the table does not list. It is always a fault of this program. */
export class IllegalTransitionError extends Error {
  constructor(machine: string, from: string, to: string) {
    super(`${machine}: ${from} -> ${to}`);
    this.name = 'IllegalTransitionError';
  }
}

/** Called on changes of state. */
export interface TransitionListener<State extends string> {
  /** Before the state changes: for log lines. */
  beforeTransition(from: State, to: State, reason: string): void;
  /** The new state holds. The listener may cause further transitions. */
  afterTransition?(from: State, to: State): void;
}

/** The state of one object. */
export class StateMachine<State extends string> {
  constructor(
    private readonly name: string,
    private readonly transitions: Transitions<State>,
    private current: State,
    private readonly listener: TransitionListener<State>,
  ) {}

  get state(): State {
    return this.current;
  }

  /** Does nothing if `next` is the present state. Throws an `IllegalTransitionError` if it may not follow. */
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
