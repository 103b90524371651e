/**
 * Permits, which are issued for actions of a duty only after its holder was checked. They contain the fencing token.
 */
import type { Precondition } from '@millring/state-access';
import type { Duty } from './duty.js';

/**
 * A permit for one action of a duty. Only a `DutyHolder` creates permits (the package's index exports the type alone),
 * each for the duration of one action. Code that requires a permit therefore can't act unless this process was checked
 * to hold the duty.
 */
export class Permit {
  readonly #precondition: Precondition;

  constructor(
    readonly duty: Duty,
    /** The fencing token, which increases with every change of the holder. */
    readonly token: number,
    precondition: Precondition,
  ) {
    this.#precondition = precondition;
  }

  /** To be included in every transaction of the action: it fails once the duty has another holder, or none. */
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
    super(`duty ${duty}: fencing token ${token} is stale, the highest token seen is ${newest}`);
  }
}
