/** What operators' commands have in common: who is named in records, and how a command ends. */
import type { Runtime } from './runtime.js';

/** Differs from run to run. */
export function operatorName(world: Runtime, wallMs: () => number): string {
  return `operator-${wallMs()}-${Math.floor(world.random() * 1e9)}`;
}

/** Exit codes; 2 is for bad input. */
const EXIT_DONE = 0;
const EXIT_UNREACHABLE = 1;
const EXIT_REFUSED = 3;

export interface CommandOutcome {
  exitCode: number;
  /** For standard output, or for standard error if the exit code is not 0. */
  text: string;
}

export const UNREACHABLE_TEXT = 'the state service was not reached: nothing is known of the change';

/** The results that commands of all packages have in common. */
export type ResultKind = 'done' | 'status' | 'refused' | 'unreachable';

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
