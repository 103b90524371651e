/** Which commands are due for a machine: those that ride on the answers to heartbeats, and those that are sent. */
import type { WorkerCommand } from '../wire/model.js';
import type { Machine } from './machine.js';
import type { MachineTable } from './machine-table.js';
import type { StopRequest, TaskAttempt } from './task-attempt.js';

/** Stops and forgets are repeated after so long, until the machine shows that they were executed. */
const COMMAND_REPEAT_MS = 2000;

/** The commands of one request. */
export interface CommandBatch {
  commands: WorkerCommand[];
  /** Attempts that the commands start. */
  starts: Set<TaskAttempt>;
  /** Nothing is left to be sent, now or later. */
  nothingOutstanding: boolean;
}

/** A request without commands. */
export const EMPTY_BATCH: CommandBatch = {
  commands: [],
  starts: new Set(),
  nothingOutstanding: false,
};

function refOf(attempt: TaskAttempt): { job: string; taskNumber: number; attempt: number } {
  return { job: attempt.jobId, taskNumber: attempt.taskNumber, attempt: attempt.attempt };
}

/**
 * Stops and forgets can be repeated, so they ride on the answers to heartbeats, which costs no request; starts
 * never do. A forget raises the machine's token, and so does not go out while a start is in flight.
 */
export function commandsForHeartbeat(
  machine: Machine,
  table: MachineTable,
  now: number,
): WorkerCommand[] {
  const commands = machine.inFlight ? [] : takeDueForgets(machine, now);
  if (commands.length > 0) table.advanceToken(machine);
  for (const attempt of machine.attempts.values())
    if (attempt.stop && attempt.onMachine())
      commands.push({ op: 'stop', ...refOf(attempt), graceS: attempt.stop.graceS });
  return commands;
}

/** Forgets for the exited attempts whose result is durable, if there was one; they count as sent. */
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

/** The stops and starts that are due; the stops count as sent. */
export function collectCommands(
  machine: Machine,
  conditions: { mayStart(): boolean },
  now: number,
): CommandBatch {
  const stopCommands: WorkerCommand[] = [];
  const startCommands: WorkerCommand[] = [];
  const starts = new Set<TaskAttempt>();
  let nothingOutstanding = true;
  for (const attempt of machine.attempts.values()) {
    if (attempt.state === 'exited') nothingOutstanding = false;
    else if (attempt.stop && attempt.startSent) {
      nothingOutstanding = false;
      if (isStopDue(attempt, now)) stopCommands.push(takeStop(attempt, attempt.stop, now));
    } else if (!attempt.startSent && !attempt.stop) {
      nothingOutstanding = false;
      if (!machine.isReconciled() || !conditions.mayStart()) continue;
      starts.add(attempt);
      startCommands.push({ op: 'start', ...refOf(attempt) });
    }
  }
  return { commands: [...stopCommands, ...startCommands], starts, nothingOutstanding };
}

function isStopDue(attempt: TaskAttempt, now: number): boolean {
  return !attempt.startUnacknowledged && now - attempt.stopSentAt >= COMMAND_REPEAT_MS;
}

function takeStop(attempt: TaskAttempt, { graceS }: StopRequest, now: number): WorkerCommand {
  attempt.stopSentAt = now;
  return { op: 'stop', ...refOf(attempt), graceS };
}
