/** The workers' side of the protocol for simulated workers: heartbeats, their responses, and commands. */
import type { HttpResponse } from '../../../src/runtime.js';
import { type Body, toNumber } from '../../../src/wire/cbor.js';
import { numberField, integerField, mapsField, textField, enumField } from './fields.js';

export type ReportedTaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ReportedExitCause =
  | 'done'
  | 'stopped'
  | 'error'
  | 'peer_lost'
  | 'incomplete'
  | 'insufficient_resources'
  | 'already_present'
  | 'unknown_task';

/** A bigint takes eight bytes on the wire, even if its value is small. */
type WireInteger = number | bigint;

export interface ReportedTask {
  /** For example `run-000412/3`. */
  task: string;
  attempt: WireInteger;
  state: ReportedTaskState;
  cause?: ReportedExitCause | undefined;
}

export interface WorkerHeartbeat {
  machine: string;
  endpoint: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Increases each time the worker's lease expires. */
  incarnation: number;
  /** Increases with every heartbeat. */
  sequence: number;
  /** The highest fencing token seen. */
  token: WireInteger;
  preemptionNoticeS: number | null;
  tasks: ReportedTask[];
}

export type TaskCommand =
  | { kind: 'start' | 'remove'; task: string; attempt: number }
  | { kind: 'stop'; task: string; attempt: number; graceS: number };

/** A controller's response to a heartbeat. */
export interface HeartbeatResponse {
  token: number | undefined;
  commands: TaskCommand[];
}

/** Commands sent directly to a worker. */
export interface CommandRequest extends HeartbeatResponse {
  incarnation: number | undefined;
}

export const HEARTBEAT_PATH = '/agent/beat';
export const COMMANDS_PATH = '/commands';

const WIRE_TASK_STATES: Readonly<Record<ReportedTaskState, string>> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'flushing',
  exited: 'ended',
};
const WIRE_CAUSES: Readonly<Record<ReportedExitCause, string>> = {
  done: 'done',
  stopped: 'stopped',
  error: 'error',
  peer_lost: 'peers',
  incomplete: 'incomplete',
  insufficient_resources: 'no_room',
  already_present: 'busy',
  unknown_task: 'no_such',
};
const WIRE_COMMANDS: Readonly<Record<TaskCommand['kind'], string>> = {
  start: 'run',
  stop: 'stop',
  remove: 'reap',
};

export function encodeHeartbeat(heartbeat: WorkerHeartbeat): Body {
  return {
    stone: heartbeat.machine,
    endpoint: heartbeat.endpoint,
    stone_kind: heartbeat.machineType,
    yard: heartbeat.zone,
    loaned_stones: heartbeat.spot,
    turning: heartbeat.incarnation,
    tally: heartbeat.sequence,
    warrant: heartbeat.token,
    recall_s: heartbeat.preemptionNoticeS,
    sacks: heartbeat.tasks.map(encodeTask),
  };
}

function encodeTask({ task, attempt, state, cause }: ReportedTask): Body {
  return {
    sack: task,
    try: attempt,
    condition: WIRE_TASK_STATES[state],
    ...(cause === undefined ? {} : { cause: WIRE_CAUSES[cause] }),
  };
}

/** Returns a malformed heartbeat, which contains only the name of its machine. */
export function heartbeatOfNameOnly(machine: string): Body {
  return { stone: machine };
}

/** Returns the name of the machine that sent the heartbeat. */
export function reportingMachine(heartbeat: Body): string {
  return textField(heartbeat, 'stone');
}

export function decodeHeartbeatResponse(body: Body): HeartbeatResponse {
  return { token: toNumber(body.warrant), commands: mapsField(body, 'orders').map(decodeCommand) };
}

/** Returns the controller to which the response redirects a heartbeat, or undefined if it names none. */
export function redirectTarget({ body }: HttpResponse): string | undefined {
  return body.overseer === undefined ? undefined : textField(body, 'overseer');
}

export function decodeCommandRequest(body: Body): CommandRequest {
  return { ...decodeHeartbeatResponse(body), incarnation: toNumber(body.turning) };
}

/** Whether a request to a worker starts any task. */
export function startsTasks(body: Body): boolean {
  return decodeHeartbeatResponse(body).commands.some(({ kind }) => kind === 'start');
}

function decodeCommand(body: Body): TaskCommand {
  const kind = enumField(body, 'order', WIRE_COMMANDS);
  const target = { task: textField(body, 'sack'), attempt: integerField(body, 'try') };
  if (kind !== 'stop') return { kind, ...target };
  return { kind, ...target, graceS: numberField(body, 'wind_down_s') };
}
