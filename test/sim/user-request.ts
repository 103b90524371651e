/** A single request of a user to one controller, without retries. */
import type { HttpResponse } from '../../src/runtime.js';
import type { Cluster } from './cluster.js';
import { type JobResponse, type UserRequest, decodeJobResponse } from './wire/users.js';

const TIMEOUT_MS = 5000;

/** Runs the cluster until the answer is there. */
export async function requestFrom(
  cluster: Cluster,
  node: string,
  { method, path, body }: UserRequest,
): Promise<JobResponse> {
  let reply: HttpResponse | null = null;
  void cluster.network
    .send('user', `${node}:80`, method, path, body, TIMEOUT_MS)
    .then((received) => (reply = received));
  for (let i = 0; i < 60 && !reply; i++) await cluster.run(0.1);
  return decodeJobResponse(reply!);
}
