/** What operators' commands have in common: who is named in records, and how a command ends. */
import type { Runtime } from './runtime.js';

const OPERATOR_NAME_RANGE = 1e9;

/** The name under which a command writes records: it differs from run to run. */
export function operatorName(runtime: Runtime, wallMs: () => number): string {
  return `operator-${wallMs()}-${Math.floor(runtime.random() * OPERATOR_NAME_RANGE)}`;
}

const EXIT_DONE = 0;
const EXIT_UNREACHABLE = 1;
/** For bad input: arguments, settings, or an address that can't be listened on. */
export const EXIT_BAD_INPUT = 2;
const EXIT_REFUSED = 3;

/** How a command ends. */
export interface CommandOutcome {
  exitCode: number;
  /** For standard output, or for standard error if the exit code is not 0. */
  text: string;
}

/** The text of a command that could not reach the state service. */
export const UNREACHABLE_TEXT = 'the state service was not reached: nothing is known of the change';

/** The results that commands of all packages have in common. */
export type ResultKind = 'done' | 'status' | 'refused' | 'unreachable';

/** The exit code of a command with this result. */
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
