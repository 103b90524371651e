/** Users' requests and answers: submissions, questions and cancellations. */
import { type Body, narrow } from './cbor.js';
import { type JobKind, type JobSpec, type JobState, MAX_TASKS, type Priority } from './model.js';
import { isAmount, isFlag, isText } from './validators.js';

const PRIORITIES = ['production', 'high', 'normal', 'idle'];
const KINDS: Record<string, JobKind> = { array: 'array', daemon: 'service', group: 'gang' };
/** Machine types that one submission may name. */
const MAX_TYPES = 100;
const JOB_ID = /^run-[0-9]{1,18}$/;

export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

type Check = (value: unknown) => boolean;

const orNull =
  (check: Check): Check =>
  (value) =>
    value === null || value === undefined || check(value);

function isTaskCount(value: unknown): boolean {
  const tasks = narrow(value);
  return tasks !== undefined && Number.isInteger(tasks) && tasks >= 1 && tasks <= MAX_TASKS;
}

const isTypeList: Check = (value) =>
  Array.isArray(value) && value.length <= MAX_TYPES && value.every(isText);

/** What each field of a submission must be, in the order in which they are checked. */
const SUBMISSION_CHECKS: Record<string, Check> = {
  id: (value) => typeof value === 'string' && isJobId(value),
  grist: isText,
  miller: isText,
  grind: (value) => typeof value === 'string' && Object.hasOwn(KINDS, value),
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
  one_zone: isFlag,
  scatter: isFlag,
  loaned_stones: isFlag,
  due_s: orNull(isAmount),
};

export type Submission = { kind: 'job'; job: JobSpec } | { kind: 'invalid'; field: string };

/** The job asked for, or the name of the first field that is missing or invalid. */
export function readJob(body: Body): Submission {
  for (const [field, isValid] of Object.entries(SUBMISSION_CHECKS))
    if (!isValid(body[field])) return { kind: 'invalid', field };
  return { kind: 'job', job: jobOf(body) };
}

/** Of a body whose fields have been checked. */
function jobOf(body: Body): JobSpec {
  return {
    id: body.id as string,
    cls: body.grist as string,
    team: body.miller as string,
    kind: KINDS[body.grind as string],
    priority: PRIORITIES.indexOf(body.precedence as string) as Priority,
    tasks: Number(narrow(body.sacks)),
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

export function jobAnswer(id: string, state: JobState, done?: number, running?: number): Body {
  return done === undefined
    ? { id, condition: state }
    : { id, condition: state, done, running: running ?? 0 };
}

export const userPaths = {
  jobs: '/v1/jobs',
  cancel: (id: string) => `/v1/jobs/${id}/withdraw`,
  health: '/healthz',
};
