/** A single user request to one controller, without retries. */
import type { HttpResponse } from '../../src/runtime.js';
import type { Cluster } from './cluster.js';
import { type JobResponse, type UserRequest, decodeJobResponse } from './wire/users.js';

const TIMEOUT_MS = 5000;

/** Sends the request and runs the cluster until the response arrives, for at most 6 s. */
export async function requestFrom(
  cluster: Cluster,
  node: string,
  { method, path, body }: UserRequest,
): Promise<JobResponse> {
  let response: HttpResponse | null = null;
  void cluster.network
    .send('user', `${node}:80`, method, path, body, TIMEOUT_MS)
    .then((received) => (response = received));
  for (let i = 0; i < 60 && !response; i++) await cluster.run(0.1);
  return decodeJobResponse(response!);
}
