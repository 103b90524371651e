/** What one scheduling pass shares among the jobs it looks at, and what passes cost. */
import type { Machine } from '../workers/machine.js';
import type { ChoiceContext } from './machine-selection.js';

/** What one pass shares among the jobs it looks at. */
export interface SchedulingCycle {
  now: number;
  wallMs: number;
  recoveryComplete: boolean;
  context: ChoiceContext;
  /** Usable machines with room for some waiting task, and those without. */
  withRoom: Machine[];
  full: Machine[];
  zones: Set<string>;
  /** The lowest priority that is on any machine, as a number. */
  leastUrgent: number;
  /** CPUs free on ordinary machines beyond what arrays leave to gangs. */
  ordinarySpare: number;
  /** Shapes of jobs that found no room, in this pass or in those before it that ran out of looks. */
  unschedulableShapes: Set<string>;
  /** Teams whose own work was asked to leave room: one job a team, since it looks at all tasks. */
  teamsAskedForRoom: Set<string>;
  startBudget: number;
  candidateBudget: number;
}

export interface PlacementWork {
  cycles: number;
  candidatesExamined: number;
  starts: number;
  stops: Record<string, number>;
}

export function emptyPlacementWork(): PlacementWork {
  return { cycles: 0, candidatesExamined: 0, starts: 0, stops: {} };
}
