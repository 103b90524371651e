/** What the leader knows about whether tasks of its jobs run. */
import type { Job } from '../jobs/job.js';
import { type JobTable, type Progress, progressOf } from '../jobs/job-table.js';
import { NOT_STARTED, type ProgressReport } from '../progress/progress-report.js';
import type { Machine } from '../workers/machine.js';
import type { MachineNews } from '../workers/machine-news.js';
import type { FailoverRecovery } from './failover-recovery.js';

/** Dependencies of `JobConditions`. */
export interface JobConditionsDependencies {
  epoch: number;
  jobs: JobTable;
  recovery: Pick<FailoverRecovery, 'isComplete'>;
  news: MachineNews;
  /** Zones that seem to be cut off from this controller. */
  zonesOutOfContact(now: number): ReadonlySet<string>;
  now(): number;
}

/** Whether it is known if a task of a job runs; if not, the endpoint of an unheard machine on which one ran last. */
interface Assessment {
  isCertain: boolean;
  endpoint: string | null;
}

const CERTAIN: Assessment = { isCertain: true, endpoint: null };

/**
 * A job runs if a task is known to run on a machine whose state is known at present. Otherwise it is uncertain while one
 * of its tasks may be on another machine, or while tasks that a former leader started may be on machines that this one
 * has not heard. Else none of its tasks runs.
 */
export class JobConditions {
  constructor(private readonly deps: JobConditionsDependencies) {}

  /** The progress of a live job, or null if it is not known whether a task runs. */
  progressOf(id: string): Progress | null {
    const job = this.deps.jobs.get(id);
    // A job that has not reached the table was not started.
    if (!job) return NOT_STARTED;
    const now = this.deps.now();
    const { isCertain } = this.assess(job, this.deps.zonesOutOfContact(now), now);
    return isCertain ? progressOf(job) : null;
  }

  /** Returns what is known of all live jobs. */
  report(): ProgressReport {
    const now = this.deps.now();
    const zonesOutOfContact = this.deps.zonesOutOfContact(now);
    const jobs = new Map<string, Progress>();
    const uncertain = new Map<string, string | null>();
    for (const job of this.deps.jobs.all()) {
      const progress = progressOf(job);
      // A job that is missing counts as not started.
      if (progress.done > 0 || progress.running > 0) jobs.set(job.spec.id, progress);
      const { isCertain, endpoint } = this.assess(job, zonesOutOfContact, now);
      if (!isCertain) uncertain.set(job.spec.id, endpoint);
    }
    return { epoch: this.deps.epoch, jobs, uncertain };
  }

  private assess(job: Job, zonesOutOfContact: ReadonlySet<string>, now: number): Assessment {
    let mayRunUnseen = !job.createdInThisTerm && !this.deps.recovery.isComplete();
    let endpoint: string | null = null;
    for (const attempts of job.attempts.values())
      for (const { machine, state } of attempts) {
        const isCurrent = this.isCurrent(machine, zonesOutOfContact, now);
        if (isCurrent && state === 'running') return CERTAIN;
        mayRunUnseen ||= !isCurrent;
        if (!isCurrent && state === 'running') endpoint = machine.endpoint;
      }
    return { isCertain: !mayRunUnseen, endpoint };
  }

  private isCurrent(
    machine: Machine,
    zonesOutOfContact: ReadonlySet<string>,
    now: number,
  ): boolean {
    return this.deps.news.isCurrent(machine, zonesOutOfContact.has(machine.zone), now);
  }
}
