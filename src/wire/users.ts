/** Users' requests and the responses to them: submissions, status queries and cancellations. */
import { type Body, toNumber } from './cbor.js';
import { type JobKind, type JobSpec, type JobState, MAX_TASKS, type Priority } from './model.js';
import { isAmount, isBoolean, isText } from './validators.js';

/*
 * Terms of the protocol: `grist` is a job's class, `miller` a team, `grind` a kind, `precedence` a priority, `sacks`
 * the number of tasks, `seed` an image, `stone_kinds` machine types, `yard` a zone, `scatter` whether tasks are spread
 * over zones, `loaned_stones` whether spot machines are allowed; `grind_s` is a task's estimated run time,
 * `bin_every_s` the time between checkpoints, `bin_s` the time that saving takes, `due_s` a deadline; `condition` is a
 * state and "withdraw" a cancellation.
 */

/** Names of the priorities, indexed by number: 0 is the most urgent. */
const PRIORITIES = ['production', 'high', 'normal', 'idle'];
const JOB_KINDS: Record<string, JobKind> = { array: 'array', daemon: 'service', group: 'gang' };
/** Maximum number of machine types in one submission. */
const MAX_TYPES_PER_JOB = 100;
const JOB_ID_PATTERN = /^run-[0-9]{1,18}$/;

/** Whether the string is a valid job id. */
export function isJobId(id: string): boolean {
  return JOB_ID_PATTERN.test(id);
}

type Check = (value: unknown) => boolean;

const orNull =
  (check: Check): Check =>
  (value) =>
    value === null || value === undefined || check(value);

function isTaskCount(value: unknown): boolean {
  const tasks = toNumber(value);
  return tasks !== undefined && Number.isInteger(tasks) && tasks >= 1 && tasks <= MAX_TASKS;
}

const isTypeList: Check = (value) =>
  Array.isArray(value) && value.length <= MAX_TYPES_PER_JOB && value.every(isText);

/** Checks of the fields of a submission, in the order in which they are applied. */
const SUBMISSION_CHECKS: Record<string, Check> = {
  id: (value) => typeof value === 'string' && isJobId(value),
  grist: isText,
  miller: isText,
  grind: (value) => typeof value === 'string' && Object.hasOwn(JOB_KINDS, value),
  precedence: (value) => PRIORITIES.includes(value as string),
  sacks: isTaskCount,
  vcpus: isAmount,
  gpus: isAmount,
  ram_gb: isAmount,
  image_gb: isAmount,
  grind_s: isAmount,
  bin_every_s: isAmount,
  bin_s: isAmount,
  seed: isText,
  stone_kinds: orNull(isTypeList),
  yard: orNull(isText),
  one_zone: isBoolean,
  scatter: isBoolean,
  loaned_stones: isBoolean,
  due_s: orNull(isAmount),
};

/** The job, or the first field that is missing or invalid, by its name in the protocol. */
export type ParsedSubmission = { kind: 'job'; job: JobSpec } | { kind: 'invalid'; field: string };

/** Validates and reads a submission. */
export function readJob(body: Body): ParsedSubmission {
  for (const [field, isValid] of Object.entries(SUBMISSION_CHECKS))
    if (!isValid(body[field])) return { kind: 'invalid', field };
  return { kind: 'job', job: jobSpecOf(body) };
}

/** Returns the job in a body whose fields have been checked. */
function jobSpecOf(body: Body): JobSpec {
  return {
    id: body.id as string,
    cls: body.grist as string,
    team: body.miller as string,
    kind: JOB_KINDS[body.grind as string],
    priority: PRIORITIES.indexOf(body.precedence as string) as Priority,
    tasks: Number(toNumber(body.sacks)),
    cpus: body.vcpus as number,
    gpus: body.gpus as number,
    memoryGb: body.ram_gb as number,
    image: body.seed as string,
    imageGb: body.image_gb as number,
    types: (body.stone_kinds ?? null) as string[] | null,
    zone: (body.yard ?? null) as string | null,
    oneZone: body.one_zone as boolean,
    spread: body.scatter as boolean,
    spot: body.loaned_stones as boolean,
    estimateS: body.grind_s as number,
    checkpointS: body.bin_every_s as number,
    saveS: body.bin_s as number,
    deadlineS: (body.due_s ?? null) as number | null,
  };
}

/** Returns the body with a job's state and, if `progress` is given, its numbers of finished and running tasks. */
export function jobStateResponse(
  id: string,
  state: JobState,
  progress?: { done: number; running: number },
): Body {
  if (!progress) return { id, condition: state };
  return { id, condition: state, done: progress.done, running: progress.running };
}

/** Paths of the API for users and health checks. */
export const userPaths = {
  jobs: '/v1/jobs',
  cancel: (id: string) => `/v1/jobs/${id}/withdraw`,
  health: '/healthz',
};
