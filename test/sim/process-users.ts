/** Users of controllers that are real processes. */
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

/** Submits jobs, and waits for their ends; each answer is checked by the invariants of the stand-ins. */
export class ProcessUsers {
  private nextJob = 1;
  private unfinishedJobs = 0;
  private streaming = false;
  /** Of each accepted submission, from its first attempt on, in milliseconds. */
  readonly latenciesMs: number[] = [];
  /** Attempts that were not accepted. */
  refused = 0;

  constructor(
    private readonly services: LoopbackServices,
    private readonly controllers: { address: string }[],
    private readonly team: string,
  ) {}

  stop(): void {
    this.streaming = false;
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

  /** As PROTOCOL has it: a submission is repeated until it is accepted, then its user asks until the job is over. */
  async run(job: JobSubmission): Promise<void> {
    this.unfinishedJobs++;
    const { id } = job;
    const { invariants, clock } = this.services;
    invariants.jobs.set(id, observedJob(job, clock.time));
    const startedAt = performance.now();
    while (!(await this.request(id, submitRequest(job)))) this.refused++;
    this.latenciesMs.push(performance.now() - startedAt);
    await waitUntil(`${id} is done`, async () => {
      await this.request(id, pollRequest(id));
      await delay(300);
      return invariants.jobs.get(id)!.reportedDoneAt !== null;
    });
    this.unfinishedJobs--;
  }

  /** Asks any controller that accepts connections; false if the request has to be repeated. */
  private async request(id: string, { method, path, body }: UserRequest): Promise<boolean> {
    const { invariants, clock } = this.services;
    const sentAt = clock.time;
    const start = Math.floor(Math.random() * this.controllers.length);
    for (let i = 0; i < this.controllers.length; i++) {
      const { address } = this.controllers[(start + i) % this.controllers.length];
      const response = await this.services.sendToController(address, method, path, body);
      if (response.status === 0) continue;
      const decoded = decodeJobResponse(response);
      invariants.recordAnswer(id, decoded, sentAt);
      if (decoded.job) return true;
      break;
    }
    await delay(200);
    return false;
  }

  /** Jobs keep coming until `endStream`. */
  async stream(intervalMs: number): Promise<void> {
    this.streaming = true;
    while (this.streaming) {
      void this.run(this.newJob({ tasks: 1 + (this.nextJob % 6) }));
      await delay(intervalMs);
    }
  }

  /** Every job that was begun has ended, as its user was told. */
  async endStream(): Promise<void> {
    this.streaming = false;
    await waitUntil('all jobs are done', () => this.unfinishedJobs === 0);
  }

  /** Each accepted job ended once; no task ran in two places, or again after it was done. */
  checkHistory(): void {
    const { invariants } = this.services;
    assert.deepEqual(invariants.violations, []);
    assert.deepEqual(invariants.startsAfterFinish, []);
    for (const [id, job] of invariants.jobs)
      if (job.reportedDoneAt !== null) assert.equal(job.finishedTasks.size, job.spec.tasks, id);
  }
}
