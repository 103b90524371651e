/** The only place that knows the wire's words. */
import { type Body, isMap, narrow, wide } from './cbor.js';
import {
  MAX_TASKS,
  type ExitCause,
  type JobKind,
  type JobSpec,
  type JobState,
  type ListedMachine,
  type ListedState,
  type MachineType,
  type WorkerCommand,
  type Priority,
  type TaskReport,
  type TaskState,
  type WorkerReport,
} from './model.js';

const PRIORITIES = ['production', 'high', 'normal', 'idle'];
const KINDS: Record<string, JobKind | undefined> = { array: 'array', daemon: 'service', group: 'gang' };
const TASK_STATES: Record<string, TaskState> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peer_lost',
  incomplete: 'incomplete',
  error: 'error',
  no_room: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
};
const COMMAND_WORDS = { start: 'run', stop: 'stop', forget: 'reap' } as const;
const JOB_ID = /^run-[0-9]{1,18}$/;

export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

const text = (v: unknown): v is string => typeof v === 'string' && v.length > 0 && v.length <= 120;
const amount = (v: unknown): v is number => typeof v === 'number' && Number.isFinite(v) && v >= 0 && v < 1e9;
const flag = (v: unknown): v is boolean => typeof v === 'boolean';

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

function readTask(v: unknown): TaskReport | null {
  if (!isMap(v) || typeof v.sack !== 'string') return null;
  const slash = v.sack.lastIndexOf('/');
  const num = Number(v.sack.slice(slash + 1));
  const attempt = narrow(v.try);
  const state = TASK_STATES[v.condition as string];
  if (slash < 1 || !Number.isInteger(num) || num < 0 || num >= MAX_TASKS) return null;
  if (attempt === undefined || !state) return null;
  const cause = state === 'exited' ? (CAUSES[v.cause as string] ?? 'error') : null;
  return { job: v.sack.slice(0, slash), num, attempt, state, cause };
}

/** Null for a bad report: it then changes nothing. */
export function readReport(b: Body): WorkerReport | null {
  const session = narrow(b.turning);
  const seq = narrow(b.tally);
  const token = narrow(b.warrant);
  if (!text(b.stone) || !text(b.endpoint) || !text(b.stone_kind) || !text(b.yard)) return null;
  if (session === undefined || seq === undefined || token === undefined || !Array.isArray(b.sacks))
    return null;
  const tasks: TaskReport[] = [];
  for (const v of b.sacks) {
    const t = readTask(v);
    if (!t) return null;
    tasks.push(t);
  }
  const notice = b.recall_s;
  return {
    machine: b.stone,
    endpoint: b.endpoint,
    type: b.stone_kind,
    zone: b.yard,
    spot: b.loaned_stones === true,
    session,
    seq,
    token,
    noticeS: typeof notice === 'number' ? notice : null,
    tasks,
  };
}

function writeCommand(o: WorkerCommand): Body {
  const base = { order: COMMAND_WORDS[o.op], sack: `${o.job}/${o.num}`, try: wide(o.attempt) };
  return o.op === 'stop' ? { ...base, wind_down_s: o.graceS } : base;
}

export function reportAnswer(token: number, orders: WorkerCommand[]): Body {
  return { warrant: wide(token), orders: orders.map(writeCommand) };
}

export function commandBody(token: number, session: number, orders: WorkerCommand[]): Body {
  return { ...reportAnswer(token, orders), turning: session };
}

export function redirectBody(leader: string | null): Body {
  return leader === null ? {} : { overseer: leader };
}

export function readTypes(b: Body): MachineType[] | null {
  if (!Array.isArray(b.stone_kinds)) return null;
  const out: MachineType[] = [];
  for (const v of b.stone_kinds) {
    if (!isMap(v) || !text(v.name) || !amount(v.vcpus) || !amount(v.ram_gb)) return null;
    out.push({
      name: v.name,
      cpus: v.vcpus,
      gpus: amount(v.gpus) ? v.gpus : 0,
      memoryGb: v.ram_gb,
      fetchGbPerS: amount(v.fetch_gb_per_s) ? v.fetch_gb_per_s : 0.1,
      price: amount(v.price) ? v.price : 0,
      spotPrice: amount(v.spot_price) ? v.spot_price : 0,
      bootS: amount(v.boot_s) ? v.boot_s : 60,
      zones: Array.isArray(v.yards) ? v.yards.filter(text) : [],
    });
  }
  return out;
}

/** The catalog in its own words, so that one reader serves the cloud's and the kept one. */
export function catalogBody(types: MachineType[]): Body {
  return {
    stone_kinds: types.map((t) => ({
      name: t.name,
      vcpus: t.cpus,
      gpus: t.gpus,
      ram_gb: t.memoryGb,
      fetch_gb_per_s: t.fetchGbPerS,
      price: t.price,
      spot_price: t.spotPrice,
      boot_s: t.bootS,
      yards: t.zones,
    })),
  };
}

const LISTED: Record<string, ListedState> = { starting: 'booting', running: 'running', failed: 'failed' };

export function readMachineList(b: Body): { machines: ListedMachine[]; more: boolean } | null {
  if (!Array.isArray(b.stones)) return null;
  const machines: ListedMachine[] = [];
  for (const v of b.stones) {
    if (!isMap(v) || !text(v.id)) continue;
    machines.push({
      id: v.id,
      endpoint: text(v.endpoint) ? v.endpoint : '',
      type: String(v.stone_kind),
      zone: String(v.yard),
      spot: v.loaned_stones === true,
      state: LISTED[v.condition as string] ?? 'running',
      ageS: amount(v.age_s) ? v.age_s : 0,
    });
  }
  return { machines, more: b.truncated === true };
}

export function rentalBody(request: string, type: string, zone: string, spot: boolean, count: number): Body {
  return { hire: request, stone_kind: type, yard: zone, loaned_stones: spot, number: count };
}

export function readRental(b: Body): string[] | null {
  return Array.isArray(b.stones) ? b.stones.filter(text) : null;
}

export function deletionBody(ids: string[]): Body {
  return { stones: ids };
}

export interface Pair {
  key: string;
  value: unknown;
  version: number;
}

export function readPair(v: unknown): Pair | null {
  if (!isMap(v) || typeof v.k !== 'string') return null;
  return { key: v.k, value: v.data, version: narrow(v.entry_mark) ?? 0 };
}

export function readPairs(b: Body): { pairs: Pair[]; more: boolean; revision: number } | null {
  if (!Array.isArray(b.pairs)) return null;
  const pairs = b.pairs.map(readPair).filter((p): p is Pair => p !== null);
  return { pairs, more: b.truncated === true, revision: narrow(b.ledger_mark) ?? 0 };
}

export interface Guard {
  key: string;
  version: number;
}
export type Change = { put: string; value: unknown; lease?: number } | { remove: string };

export function txnBody(guards: Guard[], changes: Change[]): Body {
  return {
    guards: guards.map((g) => ({ k: g.key, entry_mark: wide(g.version) })),
    then: changes.map((c) =>
      'remove' in c
        ? { remove: c.remove }
        : c.lease === undefined
          ? { put: c.put, data: c.value }
          : { put: c.put, data: c.value, tenancy: c.lease },
    ),
  };
}

export function readRevision(b: Body): number {
  return narrow(b.ledger_mark) ?? 0;
}

export function readFailed(b: Body): string[] {
  return Array.isArray(b.failed) ? b.failed.filter(text) : [];
}

export type WatchEvent = { key: string; value: unknown; version: number; gone: boolean };

export function readWatchEvents(b: Body): { revision: number; news: WatchEvent[] } | null {
  if (!Array.isArray(b.news)) return null;
  const news: WatchEvent[] = [];
  for (const v of b.news) {
    if (!isMap(v)) continue;
    const gone = typeof v.remove === 'string';
    const key = gone ? v.remove : v.put;
    if (typeof key === 'string') news.push({ key, value: v.data, version: narrow(v.entry_mark) ?? 0, gone });
  }
  return { revision: readRevision(b), news };
}

export function leaseBody(ttlMs: number): Body {
  return { life_ms: ttlMs };
}

export function readLease(b: Body): number | undefined {
  return narrow(b.tenancy);
}

export const paths = {
  jobs: '/v1/jobs',
  cancel: (id: string) => `/v1/jobs/${id}/withdraw`,
  health: '/healthz',
  report: '/agent/beat',
  commands: '/commands',
  types: '/catalog',
  machines: '/machines',
  deletion: '/machines/delete',
  list: (after: string) => `/machines?limit=500${after ? `&since=${after}` : ''}`,
  key: (key: string) => `/kv/${key}`,
  scan: (prefix: string, after: string) => `/kv?starts=${prefix}&limit=1000${after ? `&since=${after}` : ''}`,
  txn: '/txn',
  leases: '/leases',
  renew: (lease: number) => `/leases/${lease}/extend`,
  lease: (lease: number) => `/leases/${lease}`,
  watch: (prefix: string, after: number, waitMs: number) =>
    `/watch?starts=${prefix}&since=${after}&block_ms=${waitMs}`,
};
