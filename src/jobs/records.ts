/** The stored form of jobs. A job has a live or a terminal record, never both: one compare-and-swap moves a job. */
import { isMap } from '../wire/cbor.js';
import { type JobSpec, MAX_TASKS } from '../wire/model.js';

/** Prefix of the keys of live jobs. */
export const LIVE_PREFIX = 'j/';
const TERMINAL_PREFIX = 'e/';
/** Prefix of the keys of records of finished tasks. */
export const FINISHED_PREFIX = 'd/';

/** The record of a live job, with the names used in the code. */
export interface LiveJobRecord {
  spec: JobSpec;
  /** Wall-clock time of the acceptance, in milliseconds since the Unix epoch. */
  acceptedAt: number;
  cancelled: boolean;
}

/**
 * The record of a live job as stored, without unknown fields (written by other versions). Fields are written in this
 * order.
 */
interface StoredLiveJob {
  spec: JobSpec;
  at: number;
  cancelled: boolean;
}

/** The record of a job in a terminal state. */
export interface TerminalJobRecord {
  state: 'done' | 'cancelled';
  tasks: number;
}

/** The key of a live job. */
export const liveKey = (id: string): string => LIVE_PREFIX + id;
/** The key of a terminal job. */
export const terminalKey = (id: string): string => TERMINAL_PREFIX + id;
/** The key of one record of a job's finished tasks. */
export const finishedKey = (id: string, recordNumber: number): string =>
  `${FINISHED_PREFIX}${id}/${recordNumber}`;

/** Returns null if the value is not a live job that this version can act on. */
export function readLive(value: unknown): LiveJobRecord | null {
  if (!isMap(value) || !isMap(value.spec) || typeof value.at !== 'number') return null;
  const { spec, at, cancelled } = value;
  return isJobSpec(spec) ? { spec, acceptedAt: at, cancelled: cancelled === true } : null;
}

/** Returns the stored form of a newly accepted job. */
export function newLiveValue(spec: JobSpec, acceptedAt: number): StoredLiveJob {
  return { spec, at: acceptedAt, cancelled: false };
}

/**
 * Returns the smallest form of a cancelled record, for a state service that now refuses the record because of its size.
 * It omits unknown fields (written by other versions), and the list of machine types, since no further task of the job
 * starts.
 */
export function minimalCancelledValue({ spec, acceptedAt }: LiveJobRecord): StoredLiveJob {
  const known = Object.fromEntries(SPEC_FIELDS.map((field) => [field, spec[field]]));
  const minimalSpec = { ...(known as unknown as JobSpec), types: null };
  return { spec: minimalSpec, at: acceptedAt, cancelled: true };
}

const KINDS: unknown[] = ['array', 'service', 'gang'];
const PRIORITIES: unknown[] = [0, 1, 2, 3];
const TEXT_FIELDS = ['id', 'cls', 'team', 'image'] as const;
const AMOUNT_FIELDS = [
  'cpus',
  'gpus',
  'memoryGb',
  'imageGb',
  'estimateS',
  'checkpointS',
  'saveS',
] as const;
const FLAG_FIELDS = ['oneZone', 'spread', 'spot'] as const;
/** The fields of a job spec, in the order in which a minimal record is written. */
const SPEC_FIELDS: (keyof JobSpec)[] = [
  ...TEXT_FIELDS,
  ...AMOUNT_FIELDS,
  ...FLAG_FIELDS,
  'kind',
  'priority',
  'tasks',
  'types',
  'zone',
  'deadlineS',
];

const isText = (value: unknown): value is string => typeof value === 'string';

const isAmount = (value: unknown): boolean =>
  typeof value === 'number' && value >= 0 && value < Infinity;

const isTaskCount = (value: unknown): boolean =>
  typeof value === 'number' && Number.isInteger(value) && value >= 1 && value <= MAX_TASKS;

const isTextListOrNull = (value: unknown): boolean =>
  value === null || (Array.isArray(value) && value.every(isText));

/** Validates a stored spec: an invalid record must not crash the leader, and each leader after it. */
function isJobSpec(value: Record<string, unknown>): value is Record<string, unknown> & JobSpec {
  return (
    TEXT_FIELDS.every((field) => isText(value[field])) &&
    AMOUNT_FIELDS.every((field) => isAmount(value[field])) &&
    FLAG_FIELDS.every((field) => typeof value[field] === 'boolean') &&
    KINDS.includes(value.kind) &&
    PRIORITIES.includes(value.priority) &&
    isTaskCount(value.tasks) &&
    isTextListOrNull(value.types) &&
    (value.zone === null || isText(value.zone)) &&
    (value.deadlineS === null || isAmount(value.deadlineS))
  );
}

/** Returns null if the value is not a terminal job. */
export function readTerminal(value: unknown): TerminalJobRecord | null {
  if (!isMap(value) || typeof value.tasks !== 'number') return null;
  const { state, tasks } = value;
  return state === 'done' || state === 'cancelled' ? { state, tasks } : null;
}
