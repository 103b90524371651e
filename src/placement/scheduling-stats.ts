/** Counts what the scheduler did since the last placement round, for the log. */
import type { StopReason } from '../workers/stop-reason.js';

/** Counts since the last round, under their names in the log. */
export interface SchedulingCounts {
  cycles: number;
  candidatesExamined: number;
  starts: number;
  stops: Partial<Record<StopReason, number>>;
}

function noCounts(): SchedulingCounts {
  return { cycles: 0, candidatesExamined: 0, starts: 0, stops: {} };
}

/** Counts cycles, examined candidates, starts, and stops by reason; a stop that replaces another is counted again. */
export class SchedulingStats {
  private counts = noCounts();

  countCycle(): void {
    this.counts.cycles++;
  }

  countCandidates(examined: number): void {
    this.counts.candidatesExamined += examined;
  }

  countStarts(tasks: number): void {
    this.counts.starts += tasks;
  }

  countStop(reason: StopReason): void {
    this.counts.stops[reason] = (this.counts.stops[reason] ?? 0) + 1;
  }

  /** Returns the counts and resets them. */
  takeCounts(): SchedulingCounts {
    const { counts } = this;
    this.counts = noCounts();
    return counts;
  }
}
