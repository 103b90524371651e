/** The users' side of the protocol for tests: submissions, polls, cancellations and their responses. */
import type { HttpResponse } from '../../../src/runtime.js';
import type { Body } from '../../../src/wire/cbor.js';
import { integerField, textField, enumField } from './fields.js';

export type SubmittedKind = 'array' | 'service' | 'gang';
type SubmittedPriority = 'production' | 'high' | 'normal' | 'idle';
export type JobState = 'pending' | 'running' | 'done' | 'cancelled';

/** A job as submitted by its user. */
export interface JobSubmission {
  id: string;
  jobClass: string;
  team: string;
  kind: SubmittedKind;
  priority: SubmittedPriority;
  tasks: number;
  /** CPUs, GPUs and memory that each task uses on its machine. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Null allows any machine type. */
  machineTypes: string[] | null;
  zone: string | null;
  /** Whether all tasks must run in the same zone. */
  oneZone: boolean;
  /** Whether at most half of the tasks may run in one zone. */
  spread: boolean;
  spot: boolean;
  /** The user's estimate of a task's run time, in seconds; simulated tasks run for about this time. */
  durationS: number;
  /** Interval at which a task saves a checkpoint, in seconds; 0 if the tasks never save. */
  checkpointIntervalS: number;
  /** Time that a task takes to save when it is stopped, in seconds. */
  saveS: number;
  deadlineS: number | null;
}

export interface UserRequest {
  method: 'GET' | 'POST';
  path: string;
  body: Body | null;
}

/** An operation that a user can request from a controller. */
export type UserOperation =
  { kind: 'submit' } | { kind: 'poll'; id: string } | { kind: 'cancel'; id: string };

export interface JobStatus {
  id: string;
  state: JobState;
  /** Task counts, contained in responses to polls. */
  done?: number;
  running?: number;
}

/** `job` is null unless the request was accepted. */
export interface JobResponse {
  status: number;
  job: JobStatus | null;
}

const JOBS_PATH = '/v1/jobs';
const CANCEL = 'withdraw';

const WIRE_FIELDS: Readonly<Record<keyof JobSubmission, string>> = {
  id: 'id',
  jobClass: 'grist',
  team: 'miller',
  kind: 'grind',
  priority: 'precedence',
  tasks: 'sacks',
  cpus: 'vcpus',
  gpus: 'gpus',
  memoryGb: 'ram_gb',
  image: 'seed',
  imageGb: 'image_gb',
  machineTypes: 'stone_kinds',
  zone: 'yard',
  oneZone: 'one_zone',
  spread: 'scatter',
  spot: 'loaned_stones',
  durationS: 'grind_s',
  checkpointIntervalS: 'bin_every_s',
  saveS: 'bin_s',
  deadlineS: 'due_s',
};
const WIRE_KINDS: Readonly<Record<SubmittedKind, string>> = {
  array: 'array',
  service: 'daemon',
  gang: 'group',
};
const WIRE_STATES: Readonly<Record<JobState, string>> = {
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'cancelled',
};

/** The fields keep the order of the submission. */
export function encodeSubmission(job: JobSubmission): Body {
  return encodeFields({ ...job, kind: WIRE_KINDS[job.kind] });
}

/** Returns a submission in which the given fields contain raw values, which need not be valid. */
export function submissionWithRawFields(
  job: JobSubmission,
  rawFields: Partial<Record<keyof JobSubmission, unknown>>,
): Body {
  return encodeFields({ ...job, kind: WIRE_KINDS[job.kind], ...rawFields });
}

/** Returns a submission that lacks one field. */
export function submissionWithout(job: JobSubmission, missing: keyof JobSubmission): Body {
  const fields = Object.entries(encodeSubmission(job));
  return Object.fromEntries(fields.filter(([field]) => field !== WIRE_FIELDS[missing]));
}

function encodeFields(fields: Record<keyof JobSubmission, unknown>): Body {
  return Object.fromEntries(
    Object.entries(fields).map(([field, value]) => {
      if (!Object.hasOwn(WIRE_FIELDS, field))
        throw new Error(`submission field ${field} has no wire name`);
      return [WIRE_FIELDS[field as keyof JobSubmission], value];
    }),
  );
}

export function submitRequest(job: JobSubmission): UserRequest {
  return rawSubmitRequest(encodeSubmission(job));
}

/** Returns a submission request with any body. */
export function rawSubmitRequest(body: Body): UserRequest {
  return { method: 'POST', path: JOBS_PATH, body };
}

export function pollRequest(id: string): UserRequest {
  return { method: 'GET', path: `${JOBS_PATH}/${id}`, body: null };
}

export function cancelRequest(id: string): UserRequest {
  return { method: 'POST', path: `${JOBS_PATH}/${id}/${CANCEL}`, body: null };
}

/** Returns the operation that a request to a controller asks for, or null if it is not a user's request. */
export function userOperation(method: string, path: string): UserOperation | null {
  if (path !== JOBS_PATH && !path.startsWith(`${JOBS_PATH}/`)) return null;
  const [id, verb] = path.slice(JOBS_PATH.length + 1).split('/');
  if (method === 'GET') return { kind: 'poll', id };
  return verb === CANCEL ? { kind: 'cancel', id } : { kind: 'submit' };
}

/** Throws if the response to an accepted request lacks the job's id or a state that is known to users. */
export function decodeJobResponse({ status, body }: HttpResponse): JobResponse {
  const isAccepted = status === 200 || status === 201;
  return { status, job: isAccepted ? decodeJobStatus(body) : null };
}

function decodeJobStatus(body: Body): JobStatus {
  const job: JobStatus = {
    id: textField(body, 'id'),
    state: enumField(body, 'condition', WIRE_STATES),
  };
  if (body.done === undefined) return job;
  return { ...job, done: integerField(body, 'done'), running: integerField(body, 'running') };
}
