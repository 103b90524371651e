/** How jobs are kept in the state service. Live and ended records never stand together: one transaction moves them. */
import { isMap } from '../wire/cbor.js';
import { type JobSpec, MAX_TASKS } from '../wire/model.js';

export const LIVE = 'j/';
export const ENDED = 'e/';
export const FINISHED = 'd/';

/** Tasks per record of finished task numbers: small enough for the least value size that settings allow. */
export const TASKS_PER_CHUNK = 8192;

export interface LiveRecord {
  spec: JobSpec;
  /** Time of day of the acceptance, milliseconds. */
  at: number;
  cancelled: boolean;
}

export type EndedRecord = { state: 'done' | 'cancelled'; tasks: number };

export const liveKey = (id: string): string => LIVE + id;
export const endedKey = (id: string): string => ENDED + id;
export const finishedKey = (id: string, recordNumber: number): string =>
  `${FINISHED}${id}/${recordNumber}`;

export function readLive(v: unknown): LiveRecord | null {
  if (!isMap(v) || !isMap(v.spec) || typeof v.at !== 'number' || !isSpec(v.spec)) return null;
  return { spec: v.spec, at: v.at, cancelled: v.cancelled === true };
}

/**
 * A cancelled record as small as it can be, for a state service that has come to refuse it at its size: what only
 * another version knows is left out, and the list of machine types, since nothing of the job starts any more.
 */
export function minimalCancelled(record: LiveRecord): LiveRecord {
  const { spec, at } = record;
  const known = Object.fromEntries(SPEC_FIELDS.map((field) => [field, spec[field]]));
  return { spec: { ...(known as unknown as JobSpec), types: null }, at, cancelled: true };
}

const KINDS: unknown[] = ['array', 'service', 'gang'];
const TEXTS = ['id', 'cls', 'team', 'image'] as const;
const AMOUNTS = [
  'cpus',
  'gpus',
  'memoryGb',
  'imageGb',
  'estimateS',
  'checkpointS',
  'saveS',
] as const;
const FLAGS = ['oneZone', 'spread', 'spot'] as const;
const SPEC_FIELDS: (keyof JobSpec)[] = [
  ...TEXTS,
  ...AMOUNTS,
  ...FLAGS,
  'kind',
  'priority',
  'tasks',
  'types',
  'zone',
  'deadlineS',
];

/** A broken record must not bring the leader down, and each next leader after it. */
function isSpec(s: Record<string, unknown>): s is Record<string, unknown> & JobSpec {
  const amount = (v: unknown): boolean => typeof v === 'number' && v >= 0 && v < Infinity;
  return (
    TEXTS.every((f) => typeof s[f] === 'string') &&
    AMOUNTS.every((f) => amount(s[f])) &&
    FLAGS.every((f) => typeof s[f] === 'boolean') &&
    KINDS.includes(s.kind) &&
    [0, 1, 2, 3].includes(s.priority as number) &&
    Number.isInteger(s.tasks) &&
    (s.tasks as number) >= 1 &&
    (s.tasks as number) <= MAX_TASKS &&
    (s.types === null || (Array.isArray(s.types) && s.types.every((t) => typeof t === 'string'))) &&
    (s.zone === null || typeof s.zone === 'string') &&
    (s.deadlineS === null || amount(s.deadlineS))
  );
}

export function readEnded(v: unknown): EndedRecord | null {
  if (!isMap(v) || (v.state !== 'done' && v.state !== 'cancelled') || typeof v.tasks !== 'number')
    return null;
  return { state: v.state, tasks: v.tasks };
}

/** One bit a task, as text, since no body holds anything binary. */
export function packChunk(bits: Uint8Array, chunk: number): string {
  return Buffer.from(
    bits.subarray((chunk * TASKS_PER_CHUNK) / 8, ((chunk + 1) * TASKS_PER_CHUNK) / 8),
  ).toString('base64');
}
