/** What an action of a duty carries: proof that its holder was checked, and the token. */
import type { Precondition } from '@millring/state-access';
import type { Duty } from './duty.js';

/**
 * Only a holder makes these (the package's index exports the type alone), and only for the time of one action. So code
 * that needs one can't act without a check of the holder.
 */
export class Permit {
  readonly #guard: Precondition;

  constructor(
    readonly duty: Duty,
    /** Rises with every change of the holder. */
    readonly token: number,
    guard: Precondition,
  ) {
    this.#guard = guard;
  }

  /** Belongs into every transaction of the action: it changes nothing once the duty has another holder, or none. */
  get guard(): Precondition {
    return this.#guard;
  }
}

/** The other side has seen a higher token of the duty: this holder was replaced. */
export class StaleTokenError extends Error {
  constructor(
    readonly duty: Duty,
    readonly token: number,
    readonly newest: number,
  ) {
    super(`${duty}: token ${token} is stale, ${newest} was seen`);
  }
}
