/** Workers' reports and the commands that answer them or go to workers directly. */
import { type Body, isMap, narrow, wide } from './cbor.js';
import {
  type ExitCause,
  MAX_TASKS,
  type TaskStatus,
  type TaskState,
  type WorkerCommand,
  type Heartbeat,
} from './model.js';
import { isText } from './validators.js';

const TASK_STATES: Record<string, TaskState | undefined> = {
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
function readTask(v: unknown): TaskStatus | null {
  if (!isMap(v) || typeof v.sack !== 'string') return null;
  const slash = v.sack.lastIndexOf('/');
  const taskNumber = Number(v.sack.slice(slash + 1));
  const attempt = narrow(v.try);
  const state = TASK_STATES[v.condition as string];
  if (slash < 1 || !Number.isInteger(taskNumber) || taskNumber < 0 || taskNumber >= MAX_TASKS)
    return null;
  if (attempt === undefined || !state) return null;
  const cause = state === 'exited' ? (CAUSES[v.cause as string] ?? 'error') : null;
  return { job: v.sack.slice(0, slash), taskNumber, attempt, state, cause };
}

/** Null for a bad report: it then changes nothing. */
export function readHeartbeat(b: Body): Heartbeat | null {
  const session = narrow(b.turning);
  const seq = narrow(b.tally);
  const token = narrow(b.warrant);
  if (!isText(b.stone) || !isText(b.endpoint) || !isText(b.stone_kind) || !isText(b.yard))
    return null;
  if (session === undefined || seq === undefined || token === undefined || !Array.isArray(b.sacks))
    return null;
  const tasks: TaskStatus[] = [];
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
    incarnation: session,
    sequence: seq,
    token,
    preemptionNoticeS: typeof notice === 'number' ? notice : null,
    tasks,
  };
}

function writeCommand(o: WorkerCommand): Body {
  const base = {
    order: COMMAND_WORDS[o.op],
    sack: `${o.job}/${o.taskNumber}`,
    try: wide(o.attempt),
  };
  return o.op === 'stop' ? { ...base, wind_down_s: o.graceS } : base;
}

export function heartbeatResponse(token: number, orders: WorkerCommand[]): Body {
  return { warrant: wide(token), orders: orders.map(writeCommand) };
}

export function commandBody(token: number, session: number, orders: WorkerCommand[]): Body {
  return { ...heartbeatResponse(token, orders), turning: session };
}

export function redirectBody(leader: string | null): Body {
  return leader === null ? {} : { overseer: leader };
}

export const workerPaths = {
  heartbeat: '/agent/beat',
  commands: '/commands',
};
