/** Answers to users' requests. */
import type { Body } from '../wire/cbor.js';
import { HTTP_STATUS } from '../wire/http-status.js';
import { jobStateResponse } from '../wire/users.js';
import type { Progress } from './job-table.js';
import type { EndedJobRecord } from './records.js';

/** A response to a user. */
export interface Answer {
  status: number;
  body: Body;
  /** Sent with a 503: when the request may be repeated, in seconds. */
  retryAfterS?: number;
}

const NOT_STARTED: Progress = { done: 0, running: 0 };

function failure(status: number, error: string): Answer {
  return { status, body: { error } };
}

function unavailable(error: string): Answer {
  return { ...failure(HTTP_STATUS.serviceUnavailable, error), retryAfterS: 1 };
}

/** Of a node whose version cannot read what is stored. */
export const STATE_UNREADABLE = unavailable('this node cannot read the stored state');
/** The state service did not tell, or what a write came to is not known. */
export const STATE_UNAVAILABLE = unavailable('state service not reached');
/** No job can be checked yet. */
export const TYPES_UNKNOWN = unavailable('machine types not known yet');
/** No job of this id was accepted. */
export const NO_SUCH_JOB = failure(HTTP_STATUS.notFound, 'no such job');

/** A submission with a field that is missing or invalid. */
export function invalidField(field: string): Answer {
  return failure(HTTP_STATUS.badRequest, `missing or invalid: ${field}`);
}

/** A job that can never run. */
export function impossible(reasonText: string): Answer {
  return failure(HTTP_STATUS.unprocessableContent, reasonText);
}

/** The job is stored now. */
export function accepted(id: string): Answer {
  return { status: HTTP_STATUS.created, body: jobStateResponse(id, 'pending') };
}

/** A live job, with what the leader last told of its progress. */
export function liveAnswer(id: string, progress: Progress = NOT_STARTED): Answer {
  const { done, running } = progress;
  const state = running > 0 ? 'running' : 'pending';
  return { status: HTTP_STATUS.ok, body: jobStateResponse(id, state, { done, running }) };
}

/** A job that has ended, or whose cancellation is stored. */
export function endedAnswer(id: string, { state, tasks }: EndedJobRecord): Answer {
  const done = state === 'done' ? tasks : 0;
  return { status: HTTP_STATUS.ok, body: jobStateResponse(id, state, { done, running: 0 }) };
}
