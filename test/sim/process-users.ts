/** Simulated users of controllers that run as real processes. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { PLAIN_ARRAY, jobId } from './jobs.js';
import type { LoopbackServices } from './loopback-services.js';
import { observedJob } from './observed-job.js';
import { waitUntil } from './wait-until.js';
import {
  type JobSubmission,
  type UserRequest,
  decodeJobResponse,
  pollRequest,
  submitRequest,
} from './wire/users.js';

/** Submits jobs and waits until they are done. The invariants of the simulated services check each response. */
export class ProcessUsers {
  private nextJob = 1;
  private unfinishedJobs = 0;
  private submitting = false;
  /** Time from the first attempt to acceptance for each accepted submission, in milliseconds. */
  readonly latenciesMs: number[] = [];
  /** Number of submission attempts that were not accepted. */
  failedAttempts = 0;

  constructor(
    private readonly services: LoopbackServices,
    private readonly controllers: { address: string }[],
    private readonly team: string,
  ) {}

  stop(): void {
    this.submitting = false;
  }

  newJob(overrides: Partial<JobSubmission> = {}): JobSubmission {
    return {
      ...PLAIN_ARRAY,
      id: jobId(this.nextJob++),
      team: this.team,
      tasks: 4,
      memoryGb: 2,
      imageGb: 0.2,
      ...overrides,
    };
  }

  /** As PROTOCOL specifies, repeats a submission until it is accepted, then polls until the job is done. */
  async run(job: JobSubmission): Promise<void> {
    this.unfinishedJobs++;
    const { id } = job;
    const { invariants, clock } = this.services;
    invariants.jobs.set(id, observedJob(job, clock.time));
    const startedAt = performance.now();
    while (!(await this.request(id, submitRequest(job)))) this.failedAttempts++;
    this.latenciesMs.push(performance.now() - startedAt);
    await waitUntil(`${id} is done`, async () => {
      await this.request(id, pollRequest(id));
      await delay(300);
      return invariants.jobs.get(id)!.reportedDoneAt !== null;
    });
    this.unfinishedJobs--;
  }

  /** Sends a request to any controller that accepts connections. Returns false if the request has to be repeated. */
  private async request(id: string, { method, path, body }: UserRequest): Promise<boolean> {
    const { invariants, clock } = this.services;
    const sentAt = clock.time;
    const start = Math.floor(Math.random() * this.controllers.length);
    for (let i = 0; i < this.controllers.length; i++) {
      const { address } = this.controllers[(start + i) % this.controllers.length];
      const response = await this.services.sendToController(address, method, path, body);
      if (response.status === 0) continue;
      const decoded = decodeJobResponse(response);
      invariants.recordResponse(id, decoded, sentAt);
      if (decoded.job) return true;
      break;
    }
    await delay(200);
    return false;
  }

  /** Submits a job every `intervalMs` until `stopSubmitting` is called. */
  async submitRegularly(intervalMs: number): Promise<void> {
    this.submitting = true;
    while (this.submitting) {
      void this.run(this.newJob({ tasks: 1 + (this.nextJob % 6) }));
      await delay(intervalMs);
    }
  }

  /** Stops submitting jobs, and waits until each submitted job has been reported to its user as done. */
  async stopSubmitting(): Promise<void> {
    this.submitting = false;
    await waitUntil('all jobs are done', () => this.unfinishedJobs === 0);
  }

  /** Asserts that each accepted job completed once, and that no task ran in two places or again after it was done. */
  checkHistory(): void {
    const { invariants } = this.services;
    assert.deepEqual(invariants.violations, []);
    assert.deepEqual(invariants.startsAfterFinish, []);
    for (const [id, job] of invariants.jobs)
      if (job.reportedDoneAt !== null) assert.equal(job.finishedTasks.size, job.spec.tasks, id);
  }
}
