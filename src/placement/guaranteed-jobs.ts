/** Determines which jobs are within their team's guaranteed CPUs. */
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import { ROUNDING_TOLERANCE } from './resources.js';
import type { TeamUsage } from './team-usage.js';

/** The set changes slowly, and recomputing it sorts all jobs. */
const REFRESH_INTERVAL_MS = 300;

/** The jobs within their team's guarantee, as of the latest refresh. */
export class GuaranteedJobs {
  private jobs: ReadonlySet<Job> = new Set();
  private refreshedAt = -Infinity;

  constructor(
    private readonly table: JobTable,
    private readonly usage: TeamUsage,
  ) {}

  has(job: Job): boolean {
    return this.jobs.has(job);
  }

  /** Recomputes the set if it is older than the refresh interval. */
  refresh(now: number): void {
    if (now - this.refreshedAt < REFRESH_INTERVAL_MS) return;
    this.refreshedAt = now;
    this.jobs = jobsWithinGuarantee(this.table.all(), this.usage);
  }

  /** Makes the next `refresh` recompute the set. */
  invalidate(): void {
    this.refreshedAt = -Infinity;
  }
}

/** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
function jobsWithinGuarantee(jobs: Iterable<Job>, usage: TeamUsage): Set<Job> {
  const cpusByTeam = new Map<string, number>();
  const guaranteed = new Set<Job>();
  const byAge = [...jobs]
    .filter((job) => !job.jobCancelled)
    .sort((a, b) => a.acceptedAt - b.acceptedAt || a.index - b.index);
  for (const job of byAge) {
    const team = usage.team(job.spec.team);
    if (!team) continue;
    const unfinishedTasks = job.spec.tasks - job.finishedCount;
    const total = (cpusByTeam.get(team.name) ?? 0) + job.spec.cpus * unfinishedTasks;
    cpusByTeam.set(team.name, total);
    if (team.cpus > 0 && total <= team.cpus + ROUNDING_TOLERANCE) guaranteed.add(job);
  }
  return guaranteed;
}
