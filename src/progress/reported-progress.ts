/** The latest report of a leader that a controller has received, and how old it may be. */
import type { Progress } from '../jobs/job-table.js';
import { MAX_CLOCK_DRIFT } from '../runtime.js';
import { type ProgressReport, progressIn } from './progress-report.js';

/** PROTOCOL: "The state may lag by up to 3 s." */
const MAX_STATE_LAG_MS = 3000;
/** Time that a worker may wait before it reports a change to the leader. */
const WORKER_REPORT_DELAY_MS = 500;
/** Age up to which a report may be used, by the clock of the controller that uses it. */
export const MAX_REPORT_AGE_MS = (MAX_STATE_LAG_MS - WORKER_REPORT_DELAY_MS) / MAX_CLOCK_DRIFT;

/** Keeps the latest report. All times are in milliseconds of this controller's clock. */
export class ReportedProgress {
  private report: ProgressReport | null = null;
  private composedAfter = -Infinity;

  /**
   * Records a report that its leader composed after `composedAfter`. Reports may arrive late and in any order. Two
   * leaders never lead at the same time, so that a report of a later epoch is newer, whatever is known of its age.
   */
  record(report: ProgressReport, composedAfter: number): void {
    if (this.report && !isAtLeastAsNew(report, this.report)) return;
    const isLaterTerm = (report.epoch ?? 0) > (this.report?.epoch ?? Infinity);
    if (composedAfter < this.composedAfter && !isLaterTerm) return;
    this.report = report;
    this.composedAfter = Math.max(this.composedAfter, composedAfter);
  }

  /** Time in milliseconds since the report was composed, at the most. */
  ageMs(now: number): number {
    return now - this.composedAfter;
  }

  /** Number of the job's tasks that were finished according to the report, however old it is. */
  finishedTasks(id: string): number {
    return this.report?.jobs.get(id)?.done ?? 0;
  }

  /** The endpoints of machines to ask for the jobs of which the leader is uncertain; none if the report is too old. */
  endpointsToAsk(now: number): Set<string> {
    const endpoints = this.currentReport(now)?.uncertain.values() ?? [];
    return new Set([...endpoints].filter((endpoint) => endpoint !== null));
  }

  /** The progress of a job, or null if the report is too old or its leader did not know the progress. */
  progressOf(id: string, now: number): Progress | null {
    const report = this.currentReport(now);
    return report && progressIn(report, id);
  }

  private currentReport(now: number): ProgressReport | null {
    return this.ageMs(now) > MAX_REPORT_AGE_MS ? null : this.report;
  }
}

function isAtLeastAsNew(report: ProgressReport, previous: ProgressReport): boolean {
  return report.epoch === null || previous.epoch === null || report.epoch >= previous.epoch;
}
