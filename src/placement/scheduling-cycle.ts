/** What one scheduling pass shares among the jobs it looks at, and what passes cost. */
import type { Machine } from '../workers/machine.js';
import type { ChoiceContext } from './choose.js';

/** What one pass shares among the jobs it looks at. */
export interface Pass {
  now: number;
  wallMs: number;
  oldJobsOpen: boolean;
  context: ChoiceContext;
  /** Usable machines with room for some waiting task, and those without. */
  roomy: Machine[];
  full: Machine[];
  zones: Set<string>;
  /** The lowest priority that is on any machine, as a number. */
  leastUrgent: number;
  /** CPUs free on ordinary machines beyond what arrays leave to gangs. */
  ordinarySpare: number;
  /** Shapes of jobs that found no room, in this pass or in those before it that ran out of looks. */
  noRoom: Set<string>;
  /** Teams whose own work was asked to leave room: one job a team, since it looks at all tasks. */
  askedTeams: Set<string>;
  starts: number;
  looks: number;
}

export interface Work {
  passes: number;
  looks: number;
  starts: number;
  stops: Record<string, number>;
}

export function newWork(): Work {
  return { passes: 0, looks: 0, starts: 0, stops: {} };
}
