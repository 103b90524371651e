/** Common to all operators' commands: the name they write into records, and the outcome of a command. */
import type { Runtime } from './runtime.js';

const OPERATOR_NAME_RANGE = 1e9;

/** Returns the name under which a command writes records; it differs from run to run. */
export function operatorName(runtime: Runtime, wallMs: () => number): string {
  return `operator-${wallMs()}-${Math.floor(runtime.random() * OPERATOR_NAME_RANGE)}`;
}

const EXIT_DONE = 0;
const EXIT_UNREACHABLE = 1;
/** Exit code for invalid input: arguments, settings, or an address that cannot be listened on. */
export const EXIT_BAD_INPUT = 2;
const EXIT_REFUSED = 3;

/** Outcome of a command. */
export interface CommandOutcome {
  exitCode: number;
  /** Text for standard output, or for standard error if the exit code is not 0. */
  text: string;
}

/** Text of a command that could not reach the state service. */
export const UNREACHABLE_TEXT = 'the state service was not reached: nothing is known of the change';

/** Result kinds that the commands of all packages have in common. */
export type ResultKind = 'done' | 'status' | 'refused' | 'unreachable';

/** Returns the exit code of a command with this result. */
export function exitCodeOf(kind: ResultKind): number {
  switch (kind) {
    case 'done':
    case 'status':
      return EXIT_DONE;
    case 'refused':
      return EXIT_REFUSED;
    case 'unreachable':
      return EXIT_UNREACHABLE;
  }
}
