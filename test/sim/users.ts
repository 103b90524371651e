/** Users of a simulated deployment, who submit, poll and cancel jobs; the responses are recorded. */
import type { VirtualClock } from './clock.js';
import type { Invariants } from './invariants.js';
import { observedJob } from './observed-job.js';
import { randomJob, randomSaves } from './jobs.js';
import type { Network } from './network.js';
import type { SeededRandom } from './random.js';
import {
  type JobResponse,
  type JobSubmission,
  type UserRequest,
  cancelRequest,
  decodeJobResponse,
  pollRequest,
  submitRequest,
} from './wire/users.js';

const TIMEOUT_MS = 5000;
const RETRY_MS = 1000;
const RETRIES = 60;
/** Probability that a user submits the job again after a poll. */
const RESUBMIT_CHANCE = 0.03;

/** The network and controllers that users send requests to, and the invariants that record the responses. */
export interface UsersDependencies {
  clock: VirtualClock;
  random: SeededRandom;
  /** Decides how long tasks save; apart from `random`, so that it leaves the rest of a run as it is. */
  saveRandom: SeededRandom;
  /** Maximum time in milliseconds from a confirmed cancellation until no task of the job runs. */
  cancelMs: number;
  network: Network;
  invariants: Invariants;
  nodeNames: string[];
}

/** Users repeat a request until it gets a response, as PROTOCOL requires; the invariants check each response. */
export class Users {
  private nextJob = 1;

  constructor(private readonly deps: UsersDependencies) {}

  newJob(overrides: Partial<JobSubmission> = {}): JobSubmission {
    const { random, saveRandom, cancelMs } = this.deps;
    const job = { ...randomJob(this.nextJob++, random), ...overrides };
    if (job.kind !== 'array' || job.checkpointIntervalS > 0) return job;
    return { ...job, ...randomSaves(saveRandom, cancelMs) };
  }

  private async send({ method, path, body }: UserRequest, via?: string): Promise<JobResponse> {
    const node = via ?? this.deps.random.pick(this.deps.nodeNames);
    return decodeJobResponse(
      await this.deps.network.send('user', `${node}:80`, method, path, body, TIMEOUT_MS),
    );
  }

  /**
   * Sends a request through `via`, or through a random node each time, until it is accepted, is rejected with status
   * 400 or 422, or has been retried more than `RETRIES` times.
   */
  private async retryUntilAccepted(
    id: string,
    request: UserRequest,
    via?: string,
  ): Promise<JobResponse> {
    for (let i = 0; ; i++) {
      const sentAt = this.deps.clock.time;
      const response = await this.send(request, via);
      if (response.job) {
        this.deps.invariants.recordResponse(id, response, sentAt);
        return response;
      }
      if (response.status === 400 || response.status === 422 || i > RETRIES) return response;
      await this.delay(RETRY_MS);
    }
  }

  async cancel(id: string, via?: string): Promise<void> {
    this.deps.invariants.jobs.get(id)!.cancelRequested = true;
    await this.retryUntilAccepted(id, cancelRequest(id), via);
  }

  private delay(ms: number): Promise<void> {
    return new Promise((done) => this.deps.clock.after(ms, done));
  }

  /** Polls the job once, at `via` or at a random node. */
  async poll(id: string, via?: string): Promise<JobResponse> {
    const sentAt = this.deps.clock.time;
    const response = await this.send(pollRequest(id), via);
    this.deps.invariants.recordResponse(id, response, sentAt);
    return response;
  }

  /** Submits the job again, once; an accepted job must not be rejected. */
  async resubmit(id: string): Promise<JobResponse> {
    const sentAt = this.deps.clock.time;
    const response = await this.send(submitRequest(this.deps.invariants.jobs.get(id)!.spec));
    this.deps.invariants.recordResponse(id, response, sentAt);
    if (response.status === 400 || response.status === 422)
      this.deps.invariants.recordViolation('forgotten', id);
    return response;
  }

  /**
   * Submits the job with retries and, if it is accepted, polls it until the cluster's run ends. Cancels the job
   * `cancelAfterMs` after its acceptance; null means never.
   */
  async run(job: JobSubmission, cancelAfterMs: number | null): Promise<void> {
    const { id } = job;
    const observed = observedJob(job, this.deps.clock.time);
    this.deps.invariants.jobs.set(id, observed);
    const first = await this.retryUntilAccepted(id, submitRequest(job));
    if (first.status === 422 && observed.reportedAccepted)
      this.deps.invariants.recordViolation('forgotten', id);
    if (!observed.reportedAccepted) return;
    if (cancelAfterMs !== null) this.deps.clock.after(cancelAfterMs, () => void this.cancel(id));
    for (;;) {
      await this.delay(this.deps.random.between(2000, 5000));
      await this.poll(id);
      if (this.deps.random.chance(RESUBMIT_CHANCE))
        void this.retryUntilAccepted(id, submitRequest(job));
    }
  }
}
