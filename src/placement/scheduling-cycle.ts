/** The data of one scheduling cycle. */
import type { Machine } from '../workers/machine.js';

/** What one cycle shares among the jobs it serves. */
export interface SchedulingCycle {
  readonly now: number;
  /** Time of day in milliseconds. */
  readonly wallMs: number;
  /** Jobs of former leaders may be acted on. */
  readonly recoveryComplete: boolean;
  /** Usable machines with free CPUs for some waiting task, and those without. */
  readonly withCapacity: Machine[];
  readonly full: Machine[];
  /** The zones of both. */
  readonly zones: ReadonlySet<string>;
  /** The lowest priority that is on any machine, as a number: less urgent work has higher ones. */
  readonly lowestRunningPriority: number;
  /** CPUs free on ordinary machines beyond those that arrays leave to gangs. */
  spareOrdinaryCpus: number;
  /** Shapes of jobs that found no machine, in this cycle or in those before it that used up their candidates. */
  readonly unschedulableShapes: Set<string>;
  /** Teams whose own tasks were considered for preemption: once a team, since that passes all their tasks. */
  readonly teamsConsideredForPreemption: Set<string>;
  /** How many tasks may still start, and how many machines may still be scored. */
  startBudget: number;
  candidateBudget: number;
}
