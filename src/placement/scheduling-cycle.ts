/** The data of one scheduling cycle. */
import type { Machine } from '../workers/machine.js';

/** State of one cycle, shared by the jobs that it serves. */
export interface SchedulingCycle {
  readonly now: number;
  /** Time of day in milliseconds. */
  readonly wallMs: number;
  /** Whether jobs of former leaders may be acted on. */
  readonly recoveryComplete: boolean;
  /** Usable machines: `withCapacity` have enough free CPUs for some waiting task, `full` do not. */
  readonly withCapacity: Machine[];
  readonly full: Machine[];
  /** Zones of the machines in `withCapacity` and `full`. */
  readonly zones: ReadonlySet<string>;
  /** Highest priority number, which means the lowest priority, among the jobs with attempts on machines. */
  readonly maxRunningPriorityNumber: number;
  /** Free CPUs of ordinary machines beyond those that arrays leave to gangs. */
  spareOrdinaryCpus: number;
  /**
   * Shape keys of jobs that found no machine in this cycle, or in those before it that used up their candidate budget.
   */
  readonly unschedulableShapes: Set<string>;
  /** Teams whose own tasks were considered for preemption: once per team, since that iterates over all its tasks. */
  readonly teamsConsideredForPreemption: Set<string>;
  /** How many tasks may still start (`startBudget`), and how many machines may still be scored (`candidateBudget`). */
  startBudget: number;
  candidateBudget: number;
}
