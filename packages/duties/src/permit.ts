/** What an action of a duty carries: proof that its holder was checked, and the fencing token. */
import type { Precondition } from '@millring/state-access';
import type { Duty } from './duty.js';

/**
 * Only a holder makes these (the package's index exports the type alone), and only for the time of one action. So code
 * that needs one can't act without a check of the holder.
 */
export class Permit {
  readonly #precondition: Precondition;

  constructor(
    readonly duty: Duty,
    /** The fencing token: it rises with every change of the holder. */
    readonly token: number,
    precondition: Precondition,
  ) {
    this.#precondition = precondition;
  }

  /** Belongs into every transaction of the action: it fails once the duty has another holder, or none. */
  get precondition(): Precondition {
    return this.#precondition;
  }
}

/** Thrown by a provider that has seen a higher fencing token of the duty: this holder was replaced. */
export class StaleTokenError extends Error {
  constructor(
    readonly duty: Duty,
    readonly token: number,
    readonly newest: number,
  ) {
    super(`${duty}: token ${token} is stale, ${newest} was seen`);
  }
}
