/** How an operators' command ends. */

/** Exit codes; 2 is for bad input. */
export const EXIT_DONE = 0;
export const EXIT_UNREACHABLE = 1;
export const EXIT_REFUSED = 3;

export interface CommandOutcome {
  exitCode: number;
  /** For standard output, or for standard error if the exit code is not 0. */
  text: string;
}

export const UNREACHABLE_TEXT = 'the state service was not reached: nothing is known of the change';
