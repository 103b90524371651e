/** How builds from before cluster levels see the stored records. */
import type { HttpResponse } from '../../src/runtime.js';
import { decodeReadRequest, encodeRevision, mapPageValues } from './wire/state.js';

const ROLLOUT_RECORDS = 'rollout/';
const FINISHED_RECORDS = 'd/';

/**
 * What a build from before levels sees of the state service: it never asks for the rollout's records, and takes a
 * record of finished tasks that is no text for one that tells of no task.
 */
export function responseToUngatedBuild(path: string, response: HttpResponse): HttpResponse {
  const read = decodeReadRequest(path);
  if (read?.kind === 'get' && read.key.startsWith(ROLLOUT_RECORDS))
    return { status: 404, body: encodeRevision(1) };
  if (read?.kind !== 'scan' || !read.prefix.startsWith(FINISHED_RECORDS)) return response;
  return mapPageValues(response, (value) => (typeof value === 'string' ? value : ''));
}
