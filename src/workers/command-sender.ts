/** Sends commands to workers: directly, or with the answers to their reports. */
import type { Reply, Runtime } from '../runtime.js';
import type { WorkerCommand, Heartbeat } from '../wire/model.js';
import { commandBody, readHeartbeat, workerPaths } from '../wire/workers.js';
import type { Machine } from './machine.js';
import type { MachineTable } from './machine-table.js';
import { ProbeWindow } from './probe-window.js';
import type { StopRequest, TaskAttempt } from './task-attempt.js';

export interface CommandSenderDependencies {
  runtime: Runtime;
  table: MachineTable;
  /** Entitled to act at this very moment? */
  isLeader(): boolean;
  timeoutMs: number;
  /** Requests under way at once: beyond that, sockets and the processor are left to users and reports. */
  maxInFlight: number;
  /** Is enough known of cancellations for a start? */
  mayStart(): boolean;
  /** A report came back with an answer. */
  applyHeartbeat(m: Machine, r: Heartbeat): void;
}

const COMMAND_REPEAT_MS = 2000;
/** An empty request costs nothing if it is answered late, so that it need not be waited for as long. */
const PROBE_TIMEOUT_MS = 900;
/** Of the requests under way, at most: to machines that did not answer the last one. */
const MAX_FAILING_SHARE = 0.5;
/** A machine whose report was answered shows our token with its next one, which comes within half a second. */
const NEXT_HEARTBEAT_EXPECTED_MS = 900;
const REJECTED_RETRY_MS = 50;
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 4000;

function refOf(e: TaskAttempt): { job: string; taskNumber: number; attempt: number } {
  return { job: e.jobId, taskNumber: e.taskNumber, attempt: e.attempt };
}

/**
 * Stops and forgets can be repeated, so they ride on the answers to reports, which costs no request; starts
 * never do. A forget raises the machine's token, and so does not go out while a start is in flight.
 */
export function commandsForHeartbeat(
  m: Machine,
  table: MachineTable,
  now: number,
): WorkerCommand[] {
  const out: WorkerCommand[] = [];
  const forgets = m.inFlight ? [] : dueForgets(m, now);
  if (forgets.length > 0) table.advanceToken(m);
  out.push(...forgets);
  for (const e of m.attempts.values())
    if (e.stop && e.onMachine()) out.push({ op: 'stop', ...refOf(e), graceS: e.stop.graceS });
  return out;
}

/** Exited tasks whose result is durable, if there was one. */
function dueForgets(m: Machine, now: number): WorkerCommand[] {
  const out: WorkerCommand[] = [];
  for (const e of m.attempts.values()) {
    if (e.state !== 'exited' || e.startUnacknowledged || now - e.forgetSentAt < COMMAND_REPEAT_MS)
      continue;
    if (e.cause === 'done' && e.job && !e.job.isDurable(e.taskNumber)) continue;
    e.forgetSentAt = now;
    out.push({ op: 'forget', ...refOf(e) });
  }
  return out;
}

function isStopDue(attempt: TaskAttempt, now: number): boolean {
  return !attempt.startUnacknowledged && now - attempt.stopSentAt >= COMMAND_REPEAT_MS;
}

function stopCommand(attempt: TaskAttempt, { graceS }: StopRequest, now: number): WorkerCommand {
  attempt.stopSentAt = now;
  return { op: 'stop', ...refOf(attempt), graceS };
}

interface Batch {
  commands: WorkerCommand[];
  starts: Set<TaskAttempt>;
  /** Nothing is left to be sent, now or later. */
  nothingOutstanding: boolean;
}

const NOTHING: Batch = { commands: [], starts: new Set(), nothingOutstanding: false };

/**
 * Orders go straight to the worker, one request at a time per machine. Whatever is not answered raises the
 * machine's token, which ends it; until the machine shows the raised token its starts count as executed.
 */
export class CommandSender {
  private inFlight = 0;
  /** Of these, to machines that did not answer the last one. */
  private failing = 0;
  private readonly probes: ProbeWindow;

  constructor(private readonly deps: CommandSenderDependencies) {
    this.probes = new ProbeWindow(deps.maxInFlight);
  }

  /** Called at regular intervals: how late the timer fired tells whether this controller keeps up. */
  timerFired(lateMs: number): void {
    this.probes.timerFired(lateMs);
  }

  /** Answers may wait unread for longer than timers are late. */
  isCongested(): boolean {
    return this.probes.isCongested();
  }

  /** Whether its silence would tell anything yet. */
  isWorthProbing(m: Machine, now: number): boolean {
    return m.pendingTokenAck === null || now - m.leaseRenewedAt > NEXT_HEARTBEAT_EXPECTED_MS;
  }

  private collect(m: Machine, now: number): Batch {
    const stops: WorkerCommand[] = [];
    const starts: WorkerCommand[] = [];
    const started = new Set<TaskAttempt>();
    let settled = true;
    for (const attempt of m.attempts.values()) {
      if (attempt.state === 'exited') settled = false;
      else if (attempt.stop && attempt.startSent) {
        settled = false;
        if (isStopDue(attempt, now)) stops.push(stopCommand(attempt, attempt.stop, now));
      } else if (!attempt.startSent && !attempt.stop) {
        settled = false;
        if (!m.isReconciled() || !this.deps.mayStart()) continue;
        started.add(attempt);
        starts.push({ op: 'start', ...refOf(attempt) });
      }
    }
    return { commands: [...stops, ...starts], starts: started, nothingOutstanding: settled };
  }

  /** All that is to go out at once; `all`: also what is repeated, or waited for something else. */
  flushPending(all: boolean): void {
    const { table } = this.deps;
    for (const m of all ? table.withOutstandingCommands : table.withPendingCommands) {
      if (this.inFlight >= this.deps.maxInFlight) return;
      this.flush(m);
    }
  }

  private maySend(m: Machine, probe: boolean, now: number): boolean {
    if (m.inFlight || !m.endpoint || now < m.nextSendAt || !this.deps.isLeader()) return false;
    if (!m.stored && !probe) return false;
    // A dead machine holds its request until it is given up. However many are dead at once, the others get theirs.
    const most = this.deps.maxInFlight;
    if (m.commandFailures > 0 && this.failing >= most * MAX_FAILING_SHARE) return false;
    return !probe || this.inFlight < this.probes.size();
  }

  /** Sends what is due. With `probe`, also an empty request: its answer is a report under our token. */
  flush(m: Machine, probe = false): void {
    const { runtime, table } = this.deps;
    const now = runtime.clock.now();
    if (!this.maySend(m, probe, now)) return;
    const { commands, starts, nothingOutstanding } = m.stored ? this.collect(m, now) : NOTHING;
    table.withPendingCommands.delete(m);
    if (nothingOutstanding) table.clearPending(m);
    if (commands.length === 0 && !probe) return;
    for (const attempt of starts) attempt.startSent = true;
    // Forgets alone wait for the next report; here they ride along. A copy of the start of what is forgotten
    // could otherwise start it anew: copies have lower tokens.
    const forgets = m.stored ? dueForgets(m, now) : [];
    if (forgets.length > 0) table.advanceToken(m);
    // While we are behind, answers wait unread: giving up on them would only cost another request.
    const timeoutMs =
      commands.length === 0 && !this.probes.isCongested() ? PROBE_TIMEOUT_MS : Infinity;
    void this.send(m, [...forgets, ...commands], starts, Math.min(timeoutMs, this.deps.timeoutMs));
  }

  private async send(
    m: Machine,
    commands: WorkerCommand[],
    starts: Set<TaskAttempt>,
    timeoutMs: number,
  ): Promise<void> {
    const { runtime, table } = this.deps;
    const failing = m.commandFailures > 0;
    m.inFlight = { attempts: starts };
    this.inFlight++;
    if (failing) this.failing++;
    const body = commandBody(table.tokenFor(m), m.incarnation || 1, commands);
    const reply = await runtime.http.send(
      m.endpoint,
      'POST',
      workerPaths.commands,
      body,
      timeoutMs,
    );
    this.inFlight--;
    if (failing) this.failing--;
    m.inFlight = null;
    this.handleReply(m, reply, starts);
  }

  private handleReply(m: Machine, { status, body }: Reply, starts: Set<TaskAttempt>): void {
    const { runtime, table } = this.deps;
    const now = runtime.clock.now();
    const executed = status === 200;
    const refused = status === 409;
    if (executed) table.startsAcknowledged(starts);
    else if (refused) table.startsRejected(starts, now);
    else table.startsUnanswered(m, starts);
    if (executed || refused) {
      m.commandFailures = 0;
      if (refused) m.nextSendAt = now + REJECTED_RETRY_MS;
      const report = readHeartbeat(body);
      if (report?.machine === m.id) this.deps.applyHeartbeat(m, report);
    } else {
      m.commandFailures++;
      m.nextSendAt = now + Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** m.commandFailures);
    }
    // What was held meanwhile goes out next.
    if (m.attempts.size > 0) table.markPending(m);
  }
}
