/** Users of a simulated deployment: they submit, ask and cancel, and note what they are told. */
import type { VirtualClock } from './clock.js';
import type { Invariants } from './invariants.js';
import { observedJob } from './observed-job.js';
import { randomJob } from './jobs.js';
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
/** How likely a user submits once more instead of asking only. */
const RESUBMIT_CHANCE = 0.03;

/** What users reach, and where what they are told is recorded. */
export interface UsersDependencies {
  clock: VirtualClock;
  random: SeededRandom;
  network: Network;
  invariants: Invariants;
  nodeNames: string[];
}

/** Users repeat a request until it is answered, as PROTOCOL asks; each answer is checked by the invariants. */
export class Users {
  private nextJob = 1;

  constructor(private readonly deps: UsersDependencies) {}

  newJob(over: Partial<JobSubmission> = {}): JobSubmission {
    return { ...randomJob(this.nextJob++, this.deps.random), ...over };
  }

  private async send({ method, path, body }: UserRequest, via?: string): Promise<JobResponse> {
    const node = via ?? this.deps.random.pick(this.deps.nodeNames);
    return decodeJobResponse(
      await this.deps.network.send('user', `${node}:80`, method, path, body, TIMEOUT_MS),
    );
  }

  /** Asks, through `via` or any node, until there is an answer that stands. */
  private async retryUntilAnswered(
    id: string,
    request: UserRequest,
    via?: string,
  ): Promise<JobResponse> {
    for (let i = 0; ; i++) {
      const asked = this.deps.clock.time;
      const reply = await this.send(request, via);
      if (reply.job) {
        this.deps.invariants.recordAnswer(id, reply, asked);
        return reply;
      }
      if (reply.status === 400 || reply.status === 422 || i > RETRIES) return reply;
      await this.later(RETRY_MS);
    }
  }

  /** The user cancels the job. */
  async cancel(id: string, via?: string): Promise<void> {
    this.deps.invariants.jobs.get(id)!.cancelRequested = true;
    await this.retryUntilAnswered(id, cancelRequest(id), via);
  }

  private later(ms: number): Promise<void> {
    return new Promise((done) => this.deps.clock.after(ms, done));
  }

  async poll(id: string): Promise<JobResponse> {
    const asked = this.deps.clock.time;
    const reply = await this.send(pollRequest(id));
    this.deps.invariants.recordAnswer(id, reply, asked);
    return reply;
  }

  /** The same submission once more. */
  async resubmit(id: string): Promise<JobResponse> {
    const asked = this.deps.clock.time;
    const reply = await this.send(submitRequest(this.deps.invariants.jobs.get(id)!.spec));
    this.deps.invariants.recordAnswer(id, reply, asked);
    if (reply.status === 400 || reply.status === 422)
      this.deps.invariants.recordViolation('forgotten', id);
    return reply;
  }

  /** Submits with retries, polls until the end; cancels after a while if asked to. */
  async run(job: JobSubmission, cancelAfterMs: number | null): Promise<void> {
    const { id } = job;
    const facts = observedJob(job, this.deps.clock.time);
    this.deps.invariants.jobs.set(id, facts);
    const first = await this.retryUntilAnswered(id, submitRequest(job));
    if (first.status === 422 && facts.reportedAccepted)
      this.deps.invariants.recordViolation('forgotten', id);
    if (!facts.reportedAccepted) return;
    if (cancelAfterMs !== null) this.deps.clock.after(cancelAfterMs, () => void this.cancel(id));
    for (;;) {
      await this.later(this.deps.random.between(2000, 5000));
      await this.poll(id);
      if (this.deps.random.chance(RESUBMIT_CHANCE))
        void this.retryUntilAnswered(id, submitRequest(job));
    }
  }
}
