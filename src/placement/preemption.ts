/** Decides which running tasks may be stopped in favour of a waiting job. The callers stop them. */
import type { Job } from '../jobs/job.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { GuaranteedJobs } from './guaranteed-jobs.js';
import type { TeamUsage } from './team-usage.js';

/** Rules of preemption on a machine: by priority, and to reclaim what teams use beyond their guarantees. */
export class PreemptionPolicy {
  constructor(
    private readonly usage: TeamUsage,
    private readonly guaranteed: GuaranteedJobs,
  ) {}

  /** Whether the attempt may be stopped to free its machine's capacity for the job. */
  mayPreempt(victim: TaskAttempt, job: Job): boolean {
    const victimJob = victim.job;
    // Stopping one task of a gang would end all of them.
    if (!victimJob || victimJob.spec.kind === 'gang') return false;
    // As in `servingOrder`, work within its team's guarantee goes before work of higher priority beyond one. If each
    // could stop the other, two teams on a full fleet would stop each other's tasks forever, and no task would finish.
    if (job.spec.priority > 0 && this.guaranteed.has(victimJob) && !this.guaranteed.has(job))
      return false;
    if (victimJob.spec.priority > job.spec.priority) return true;
    return this.mayReclaim(victimJob, job);
  }

  /** Whether the job may preempt anything at all. If not, only machines with free capacity are of use to it. */
  mayPreemptAny(job: Job, maxRunningPriorityNumber: number): boolean {
    return job.spec.priority < maxRunningPriorityNumber || this.guaranteed.has(job);
  }

  /** Whether the job's team may reclaim capacity that another team uses beyond its guarantee; never from production. */
  private mayReclaim(victimJob: Job, job: Job): boolean {
    const { team, priority } = victimJob.spec;
    return (
      this.guaranteed.has(job) &&
      !this.guaranteed.has(victimJob) &&
      priority > 0 &&
      team !== job.spec.team &&
      this.usage.exceedsGuarantee(team)
    );
  }
}

/**
 * The youngest tasks of lower priority of the job's own team that free enough of the team's limit for one task of the
 * job. Tasks that are stopping already count as freed.
 */
export function victimsWithinTeam(job: Job, jobs: Iterable<Job>): TaskAttempt[] {
  const { team, priority, cpus } = job.spec;
  let freedCpus = 0;
  const candidates: TaskAttempt[] = [];
  for (const other of jobs) {
    if (other.spec.team !== team || other.spec.priority <= priority) continue;
    for (const attempt of [...other.attempts.values()].flat()) {
      if (attempt.stop) freedCpus += other.spec.cpus;
      else if (!attempt.startUnacknowledged) candidates.push(attempt);
    }
  }
  candidates.sort((a, b) => b.createdAt - a.createdAt);
  const victims: TaskAttempt[] = [];
  for (const candidate of candidates) {
    if (freedCpus >= cpus) break;
    freedCpus += candidate.job?.spec.cpus ?? 0;
    victims.push(candidate);
  }
  return victims;
}
