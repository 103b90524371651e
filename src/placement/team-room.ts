/** Room under the limits of teams: pure functions over the live jobs. */
import type { Job } from '../jobs/job-table.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import { NO_RESOURCES, type Resources, plus, times } from './resources.js';

/**
 * Until every machine is known, tasks of old jobs may be where nobody has looked yet. The most that they can be
 * counts against their team's limit, or a new job could take the team over it.
 */
export function unseenResources(jobs: Iterable<Job>): Map<string, Resources> {
  const unseen = new Map<string, Resources>();
  for (const job of jobs) {
    if (job.createdInThisTerm) continue;
    const { team, tasks } = job.spec;
    const hidden = Math.max(0, tasks - job.finishedCount - job.attempts.size);
    unseen.set(team, plus(unseen.get(team) ?? NO_RESOURCES, times(job.spec, hidden)));
  }
  return unseen;
}

/** The youngest less urgent tasks of the job's own team whose end makes room for one task of the job. */
export function victimsForTeamRoom(job: Job, jobs: Iterable<Job>): TaskAttempt[] {
  const { team, priority, cpus } = job.spec;
  let leaving = 0;
  const candidates: TaskAttempt[] = [];
  for (const other of jobs) {
    if (other.spec.team !== team || other.spec.priority <= priority) continue;
    for (const attempt of [...other.attempts.values()].flat()) {
      if (attempt.stop) leaving += other.spec.cpus;
      else if (!attempt.startUnacknowledged) candidates.push(attempt);
    }
  }
  candidates.sort((a, b) => b.createdAt - a.createdAt);
  const victims: TaskAttempt[] = [];
  for (const candidate of candidates) {
    if (leaving >= cpus) break;
    leaving += candidate.job?.spec.cpus ?? 0;
    victims.push(candidate);
  }
  return victims;
}
