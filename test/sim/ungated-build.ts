/**
 * Simulates an ungated build: one from before feature levels. It lacks the gate, i.e. the check of the cluster's
 * feature level by which a build refuses to serve when it can't read the records of that level.
 */
import type { HttpResponse } from '../../src/runtime.js';
import { decodeReadRequest, encodeRevision, mapPageValues } from './wire/state.js';

const ROLLOUT_RECORDS = 'rollout/';
const FINISHED_RECORDS = 'd/';

/**
 * Returns the state service's response as an ungated build interprets it: such a build never requests
 * the rollout's records, and reads a record of finished tasks that is not text as a record without tasks.
 */
export function responseToUngatedBuild(path: string, response: HttpResponse): HttpResponse {
  const read = decodeReadRequest(path);
  if (read?.kind === 'get' && read.key.startsWith(ROLLOUT_RECORDS))
    return { status: 404, body: encodeRevision(1) };
  if (read?.kind !== 'scan' || !read.prefix.startsWith(FINISHED_RECORDS)) return response;
  return mapPageValues(response, (value) => (typeof value === 'string' ? value : ''));
}
