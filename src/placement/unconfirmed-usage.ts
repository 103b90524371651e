/** Computes what tasks of earlier leadership terms may use on machines that have not reported yet. */
import type { Job } from '../jobs/job.js';
import { NO_RESOURCES, type Resources, addResources, scaleResources } from './resources.js';

/** Once all machines are reconciled, no task can run that no heartbeat has reported. */
export const NO_UNCONFIRMED_USAGE: ReadonlyMap<string, Resources> = new Map();

/**
 * By team, an upper bound of the usage that no heartbeat has reported yet: that of all unfinished tasks without a known
 * attempt, of jobs that former leaders may have started. Without it, a new job could take its team over the limit after
 * a failover.
 */
export function unconfirmedUsage(jobs: Iterable<Job>): Map<string, Resources> {
  const byTeam = new Map<string, Resources>();
  for (const job of jobs) {
    if (job.createdInThisTerm) continue;
    const { team, tasks } = job.spec;
    const unconfirmedTasks = Math.max(0, tasks - job.finishedCount - job.attempts.size);
    const usage = scaleResources(job.spec, unconfirmedTasks);
    byTeam.set(team, addResources(byTeam.get(team) ?? NO_RESOURCES, usage));
  }
  return byTeam;
}
