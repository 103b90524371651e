/** The leader's table of live jobs. */
import type { JobSpec } from '../wire/model.js';
import type { Job } from './job.js';
import { TrackedJob } from './tracked-job.js';

/** Number of finished and running tasks of a job, as reported to users. */
export interface Progress {
  done: number;
  running: number;
}

/** The leader's live jobs, by id. */
export class JobTable {
  private readonly byId = new Map<string, Job>();
  private nextIndex = 0;

  all(): IterableIterator<Job> {
    return this.byId.values();
  }

  size(): number {
    return this.byId.size;
  }

  get(id: string): Job | undefined {
    return this.byId.get(id);
  }

  add(
    spec: JobSpec,
    version: number,
    acceptedAt: number,
    createdInThisTerm: boolean,
    now: number,
  ): Job {
    const index = this.nextIndex++;
    const job: Job = new TrackedJob(index, spec, version, acceptedAt, createdInThisTerm, now);
    this.byId.set(spec.id, job);
    return job;
  }

  remove(job: Job): void {
    this.byId.delete(job.spec.id);
  }
}

/** The numbers of finished and running tasks, as far as the leader knows. */
export function progressOf(job: Job): Progress {
  return { done: job.finishedCount, running: job.running };
}
