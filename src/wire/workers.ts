/** Workers' heartbeats, and the commands that workers receive in the responses or in direct requests. */
import { type Body, isMap, toNumber, toWireInteger } from './cbor.js';
import {
  type ExitCause,
  type Heartbeat,
  MAX_TASKS,
  type TaskState,
  type TaskStatus,
  type WorkerCommand,
} from './model.js';
import { isText } from './validators.js';

/*
 * Terms of the protocol: `stone` is a machine, `stone_kind` its type, `yard` its zone, `loaned_stones` whether it is a
 * spot machine and `recall_s` the preemption notice in seconds; `turning` is an incarnation, `tally` a sequence number
 * and `warrant` a fencing token; `sack` is a task, as "job/number", `try` its attempt and `condition` its state;
 * `order` is a command, `wind_down_s` the time that a stopped task has to save its state, and `overseer` the leader.
 */

const TASK_STATES: Record<string, TaskState | undefined> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

/** By the names in the protocol: `peers` is a lost task of the same gang, `no_such` an unknown task. */
const EXIT_CAUSES: Record<string, ExitCause> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peer_lost',
  incomplete: 'incomplete',
  error: 'error',
  no_room: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
};

const COMMAND_NAMES = { start: 'run', stop: 'stop', forget: 'reap' } as const;

function isTaskNumber(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value < MAX_TASKS;
}

function readTaskStatus(body: unknown): TaskStatus | null {
  if (!isMap(body) || typeof body.sack !== 'string') return null;
  const slash = body.sack.lastIndexOf('/');
  const taskNumber = Number(body.sack.slice(slash + 1));
  const attempt = toNumber(body.try);
  const state = TASK_STATES[body.condition as string];
  if (slash < 1 || !isTaskNumber(taskNumber)) return null;
  if (attempt === undefined || !state) return null;
  const cause = state === 'exited' ? (EXIT_CAUSES[body.cause as string] ?? 'error') : null;
  return { job: body.sack.slice(0, slash), taskNumber, attempt, state, cause };
}

/** Reads the list of task attempts in a heartbeat. Returns null if one of the entries can't be read. */
function readTaskStatuses(list: unknown): TaskStatus[] | null {
  if (!Array.isArray(list)) return null;
  const tasks: TaskStatus[] = [];
  for (const entry of list) {
    const task = readTaskStatus(entry);
    if (!task) return null;
    tasks.push(task);
  }
  return tasks;
}

/** Reads a heartbeat. Returns null if it is malformed; it must then have no effect. */
export function readHeartbeat(body: Body): Heartbeat | null {
  const { stone, endpoint, stone_kind: type, yard: zone, recall_s: noticeS } = body;
  const incarnation = toNumber(body.turning);
  const sequence = toNumber(body.tally);
  const token = toNumber(body.warrant);
  if (!isText(stone) || !isText(endpoint) || !isText(type) || !isText(zone)) return null;
  if (incarnation === undefined || sequence === undefined || token === undefined) return null;
  const tasks = readTaskStatuses(body.sacks);
  if (!tasks) return null;
  return {
    machine: stone,
    endpoint,
    type,
    zone,
    spot: body.loaned_stones === true,
    incarnation,
    sequence,
    token,
    preemptionNoticeS: typeof noticeS === 'number' ? noticeS : null,
    tasks,
  };
}

function commandBody(command: WorkerCommand): Body {
  const base = {
    order: COMMAND_NAMES[command.op],
    sack: `${command.job}/${command.taskNumber}`,
    try: toWireInteger(command.attempt),
  };
  return command.op === 'stop' ? { ...base, wind_down_s: command.graceS } : base;
}

/** Returns the body of the response to a heartbeat that renews the worker's lease. */
export function heartbeatResponseBody(token: number, commands: WorkerCommand[]): Body {
  return { warrant: toWireInteger(token), orders: commands.map(commandBody) };
}

/**
 * Returns the body of a request to a worker. The worker rejects a request for another incarnation, or with a lower
 * token than it has seen.
 */
export function commandsBody(token: number, incarnation: number, commands: WorkerCommand[]): Body {
  return { ...heartbeatResponseBody(token, commands), turning: incarnation };
}

/** Returns the body of the response of a controller that is not the leader; `leader` is null if it knows of none. */
export function redirectBody(leader: string | null): Body {
  return leader === null ? {} : { overseer: leader };
}

/** `heartbeat` is a path of controllers, to which workers report; `commands` is a path of workers. */
export const workerPaths = {
  heartbeat: '/agent/beat',
  commands: '/commands',
  show: '/show',
};
