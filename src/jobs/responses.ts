/** Responses to requests of users, and the type of a response. */
import type { Body } from '../wire/cbor.js';
import { HTTP_STATUS } from '../wire/http-status.js';
import { jobStateResponse } from '../wire/users.js';
import type { Progress } from './job-table.js';
import type { TerminalJobRecord } from './records.js';

/** A response to a request of a user or of a worker. */
export interface ApiResponse {
  status: number;
  body: Body;
  /** Sent with a 503: seconds after which the request may be repeated. */
  retryAfterS?: number;
}

function errorResponse(status: number, error: string): ApiResponse {
  return { status, body: { error } };
}

function unavailableResponse(error: string): ApiResponse {
  return { ...errorResponse(HTTP_STATUS.serviceUnavailable, error), retryAfterS: 1 };
}

/** Sent by a node whose version cannot read the stored state. */
export const STATE_UNREADABLE = unavailableResponse('this node cannot read the stored state');
/** Sent if the state service did not respond, or if the outcome of a write is unknown. */
export const STATE_UNAVAILABLE = unavailableResponse('state service not reached');
/** Sent while machine types are unknown, so that no job can be validated. */
export const TYPES_UNKNOWN = unavailableResponse('machine types not known yet');
/** Sent while this node does not know whether tasks of the job run. */
const PROGRESS_UNKNOWN = unavailableResponse('the present state of the job is not known here');
/** Sent if no job with this id was accepted. */
export const NO_SUCH_JOB = errorResponse(HTTP_STATUS.notFound, 'no such job');

/** The response to a submission with a field that is missing or invalid. */
export function invalidFieldResponse(field: string): ApiResponse {
  return errorResponse(HTTP_STATUS.badRequest, `missing or invalid: ${field}`);
}

/** The response to the submission of a job that can never run. */
export function impossibleJobResponse(reasonText: string): ApiResponse {
  return errorResponse(HTTP_STATUS.unprocessableContent, reasonText);
}

/** The response to a submission whose job is now stored. */
export function acceptedResponse(id: string): ApiResponse {
  return { status: HTTP_STATUS.created, body: jobStateResponse(id, 'pending') };
}

/** The response for a live job with this progress, or a 503 if the progress is not known. */
export function liveJobResponse(id: string, progress: Progress | null): ApiResponse {
  if (!progress) return PROGRESS_UNKNOWN;
  const { done, running } = progress;
  const state = running > 0 ? 'running' : 'pending';
  return { status: HTTP_STATUS.ok, body: jobStateResponse(id, state, { done, running }) };
}

/** The response for a job in a terminal state, or whose cancellation is stored. */
export function terminalJobResponse(id: string, { state, tasks }: TerminalJobRecord): ApiResponse {
  const done = state === 'done' ? tasks : 0;
  return { status: HTTP_STATUS.ok, body: jobStateResponse(id, state, { done, running: 0 }) };
}
