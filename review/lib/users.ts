/** Users of the controllers; what they are told is checked by the stand-ins' rules. */
import { setTimeout as delay } from 'node:timers/promises';
import { observedJob } from '../../test/sim/observed-job.js';
import {
  type JobResponse,
  type JobSubmission,
  type UserRequest,
  decodeJobResponse,
  submitRequest,
} from '../../test/sim/wire/users.js';
import type { Deployment } from './deployment.js';

const RETRY_MS = 1000;
const MAX_TRIES = 20;

/** Sends a user's request to a controller and records the answer. */
export async function ask(
  deployment: Deployment,
  name: string,
  id: string,
  request: UserRequest,
): Promise<JobResponse> {
  const { services, recorder } = deployment;
  const sentAt = services.clock.time - 50;
  const { address } = deployment.controller(name);
  const { method, path, body } = request;
  const response = await services.sendToController(address, method, path, body);
  const decoded: JobResponse =
    response.status === 0 ? { status: 0, job: null } : decodeJobResponse(response);
  const state = decoded.job?.state ?? '';
  recorder.note(`user ${method} ${path} at ${name}: ${response.status} ${state}`);
  if (response.status === 0) return decoded;
  services.invariants.recordResponse(id, decoded, sentAt);
  return decoded;
}

/** Submits a job until it is accepted. */
export async function submit(
  deployment: Deployment,
  name: string,
  job: JobSubmission,
): Promise<void> {
  const { services } = deployment;
  services.invariants.jobs.set(job.id, observedJob(job, services.clock.time));
  for (let i = 0; i < MAX_TRIES; i++) {
    const { job: accepted } = await ask(deployment, name, job.id, submitRequest(job));
    if (accepted) return;
    await delay(RETRY_MS);
  }
  throw new Error(`${job.id} was not accepted`);
}

/** Waits until the condition holds. Throws if it takes longer than `timeoutMs`. */
export async function until(
  what: string,
  timeoutMs: number,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`not in time: ${what}`);
    await delay(100);
  }
}
