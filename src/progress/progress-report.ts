/** What a leader knows of its live jobs at one time, in the form in which the other controllers get it. */
import type { Progress } from '../jobs/job-table.js';

/** A job that is neither in `jobs` nor in `uncertain` has not started: no task of it runs. */
export interface ProgressReport {
  /** Epoch of the leader's term; null if a build sent it that does not tell. */
  epoch: number | null;
  jobs: ReadonlyMap<string, Progress>;
  /**
   * Jobs of which the leader does not know whether a task runs, because it can't hear a machine at present. For each, the
   * endpoint of such a machine on which a task ran according to its last report; null if there is none.
   */
  uncertain: ReadonlyMap<string, string | null>;
}

/** The progress of a job of which nothing has run. */
export const NOT_STARTED: Progress = { done: 0, running: 0 };

/** The progress of a job according to the report, or null if the leader did not know it. */
export function progressIn({ jobs, uncertain }: ProgressReport, id: string): Progress | null {
  return uncertain.has(id) ? null : (jobs.get(id) ?? NOT_STARTED);
}
