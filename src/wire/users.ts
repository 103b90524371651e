/** Users' requests and answers: submissions, questions and cancellations. */
import { type Body, narrow } from './cbor.js';
import { type JobKind, type JobSpec, type JobState, MAX_TASKS, type Priority } from './model.js';
import { amount, flag, text } from './validators.js';

const PRIORITIES = ['production', 'high', 'normal', 'idle'];
const KINDS: Record<string, JobKind | undefined> = { array: 'array', daemon: 'service', group: 'gang' };
const JOB_ID = /^run-[0-9]{1,18}$/;

export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/** The job asked for, or the name of the first field that is missing or invalid. */
export function readJob(b: Body): JobSpec | string {
  const tasks = narrow(b.sacks);
  const priority = PRIORITIES.indexOf(b.precedence as string);
  const kind = typeof b.grind === 'string' ? KINDS[b.grind] : undefined;
  if (typeof b.id !== 'string' || !isJobId(b.id)) return 'id';
  if (!text(b.grist)) return 'grist';
  if (!text(b.miller)) return 'miller';
  if (!kind) return 'grind';
  if (priority < 0) return 'precedence';
  if (tasks === undefined || !Number.isInteger(tasks) || tasks < 1 || tasks > MAX_TASKS) return 'sacks';
  for (const f of ['vcpus', 'gpus', 'ram_gb', 'image_gb', 'grind_s', 'bin_every_s', 'bin_s'])
    if (!amount(b[f])) return f;
  if (!text(b.seed)) return 'seed';
  const types = b.stone_kinds ?? null;
  if (types !== null && !(Array.isArray(types) && types.length <= 100 && types.every(text)))
    return 'stone_kinds';
  const zone = b.yard ?? null;
  if (zone !== null && !text(zone)) return 'yard';
  for (const f of ['one_zone', 'scatter', 'loaned_stones']) if (!flag(b[f])) return f;
  const due = b.due_s ?? null;
  if (due !== null && !amount(due)) return 'due_s';
  return {
    id: b.id,
    cls: b.grist,
    team: b.miller,
    kind,
    priority: priority as Priority,
    tasks,
    cpus: b.vcpus as number,
    gpus: b.gpus as number,
    memoryGb: b.ram_gb as number,
    image: b.seed,
    imageGb: b.image_gb as number,
    types: types as string[] | null,
    zone: zone as string | null,
    oneZone: b.one_zone as boolean,
    spread: b.scatter as boolean,
    spot: b.loaned_stones as boolean,
    estimateS: b.grind_s as number,
    checkpointS: b.bin_every_s as number,
    saveS: b.bin_s as number,
    deadlineS: due as number | null,
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
