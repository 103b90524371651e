/** The commands that are due for a machine: those added to heartbeat responses, and those sent as requests. */
import type { WorkerCommand } from '../wire/model.js';
import type { Machine } from './machine.js';
import type { MachineTable } from './machine-table.js';
import type { StopRequest } from './stop-request.js';
import type { TaskAttempt } from './task-attempt.js';

/** Interval at which stops and forgets are repeated until the machine's heartbeats show that they were executed. */
const COMMAND_REPEAT_MS = 2000;

/** The commands of one request. */
export interface CommandBatch {
  commands: WorkerCommand[];
  /** The attempts that the commands start. */
  starts: Set<TaskAttempt>;
  /** The attempts that the commands stop. */
  stops: TaskAttempt[];
  /** Whether the request is to be sent even without commands: attempts are `fencing` until the machine reports its token. */
  needsToken: boolean;
  /** Whether the machine has no commands left to be sent, now or later. */
  nothingOutstanding: boolean;
}

/** A request without commands. */
export const EMPTY_BATCH: CommandBatch = {
  commands: [],
  starts: new Set(),
  stops: [],
  needsToken: false,
  nothingOutstanding: false,
};

function refOf(attempt: TaskAttempt): { job: string; taskNumber: number; attempt: number } {
  return { job: attempt.jobId, taskNumber: attempt.taskNumber, attempt: attempt.attemptNumber };
}

/**
 * Returns the commands to add to a heartbeat response: stops and forgets, which can be repeated and so need no request
 * of their own, but never starts. A forget advances the machine's token, so none is sent while a request is in flight.
 */
export function commandsForHeartbeat(
  machine: Machine,
  table: MachineTable,
  now: number,
): WorkerCommand[] {
  const commands = machine.inFlight ? [] : takeDueForgets(machine, now);
  if (commands.length > 0) table.advanceToken(machine);
  for (const attempt of machine.attempts.values()) {
    if (!attempt.stop || !attempt.mayBeOnMachine()) continue;
    if (!machine.inFlight) table.fenceStart(attempt);
    commands.push({ op: 'stop', ...refOf(attempt), graceS: attempt.stop.graceS });
  }
  return commands;
}

/** Returns the due forgets for exited attempts whose result, if any, is durable, and marks them as sent. */
export function takeDueForgets(machine: Machine, now: number): WorkerCommand[] {
  const forgets: WorkerCommand[] = [];
  for (const attempt of machine.attempts.values()) {
    if (!mayBeForgotten(attempt) || now - attempt.forgetSentAt < COMMAND_REPEAT_MS) continue;
    attempt.forgetSentAt = now;
    forgets.push({ op: 'forget', ...refOf(attempt) });
  }
  return forgets;
}

function mayBeForgotten(attempt: TaskAttempt): boolean {
  if (attempt.state !== 'exited' || attempt.startUnacknowledged) return false;
  return attempt.cause !== 'done' || !attempt.job || attempt.job.isDurable(attempt.taskNumber);
}

/** Returns the stops and starts that are due, and marks the stops as sent. */
export function collectCommands(
  machine: Machine,
  conditions: { cancellationsAreFresh(): boolean },
  now: number,
): CommandBatch {
  const stopCommands: WorkerCommand[] = [];
  const startCommands: WorkerCommand[] = [];
  const starts = new Set<TaskAttempt>();
  const stops: TaskAttempt[] = [];
  let nothingOutstanding = true;
  let needsToken = false;
  for (const attempt of machine.attempts.values()) {
    if (attempt.state === 'exited') nothingOutstanding = false;
    else if (attempt.state === 'fencing') {
      nothingOutstanding = false;
      needsToken = true;
    } else if (attempt.stop && attempt.startSent) {
      nothingOutstanding = false;
      if (!isStopDue(attempt, now)) continue;
      stopCommands.push(takeStop(attempt, attempt.stop, now));
      stops.push(attempt);
    } else if (!attempt.startSent && !attempt.stop) {
      nothingOutstanding = false;
      if (!machine.isReconciled() || !conditions.cancellationsAreFresh()) continue;
      starts.add(attempt);
      startCommands.push({ op: 'start', ...refOf(attempt) });
    }
  }
  const commands = [...stopCommands, ...startCommands];
  return { commands, starts, stops, needsToken, nothingOutstanding };
}

function isStopDue(attempt: TaskAttempt, now: number): boolean {
  return !attempt.startUnacknowledged && now - attempt.stopSentAt >= COMMAND_REPEAT_MS;
}

function takeStop(attempt: TaskAttempt, { graceS }: StopRequest, now: number): WorkerCommand {
  attempt.stopSentAt = now;
  return { op: 'stop', ...refOf(attempt), graceS };
}
