/** A user that talks to the controllers as the page PROTOCOL says, and records what is sent and answered. */
import { setTimeout as delay } from 'node:timers/promises';
import type { HttpResponse } from '../../src/runtime.js';
import { observedJob } from '../../test/sim/observed-job.js';
import {
  type JobSubmission,
  type UserRequest,
  cancelRequest,
  decodeJobResponse,
  pollRequest,
  submitRequest,
} from '../../test/sim/wire/users.js';
import type { Deployment } from './deployment.js';
import type { Record } from './record.js';

const RETRY_MS = 1000;

/** Sends requests to controllers by name. */
export class Users {
  constructor(
    private readonly deployment: Deployment,
    private readonly record: Record,
  ) {}

  /** Sends one request to a controller; status 0 if there is no answer. */
  async send(name: string, { method, path, body }: UserRequest): Promise<HttpResponse> {
    const controller = this.deployment.controllers.find((candidate) => candidate.name === name);
    if (!controller) throw new Error(`no controller ${name}`);
    const { services } = this.deployment;
    const response = await services.sendToController(controller.address, method, path, body);
    const answer = JSON.stringify(response.body);
    this.record.add(`user ${method} ${path} to ${name}: ${response.status} ${answer}`);
    return response;
  }

  /** Submits a job, and repeats that until it is accepted. */
  async submit(name: string, job: JobSubmission): Promise<void> {
    const { invariants, clock } = this.deployment.services;
    invariants.jobs.set(job.id, observedJob(job, clock.time));
    await this.untilAccepted(name, submitRequest(job));
  }

  async cancel(name: string, id: string): Promise<void> {
    await this.untilAccepted(name, cancelRequest(id));
  }

  /** Returns the state that the controller answers, or null if it answers none. */
  async poll(name: string, id: string): Promise<string | null> {
    return decodeJobResponse(await this.send(name, pollRequest(id))).job?.state ?? null;
  }

  private async untilAccepted(name: string, request: UserRequest): Promise<void> {
    for (;;) {
      const { status } = await this.send(name, request);
      if (status === 200 || status === 201) return;
      await delay(RETRY_MS);
    }
  }
}
