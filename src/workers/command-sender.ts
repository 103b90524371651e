/** Sends commands directly to workers, and follows what becomes of the requests. */
import type { Reply, Runtime } from '../runtime.js';
import { HTTP_STATUS } from '../wire/http-status.js';
import type { Heartbeat, WorkerCommand } from '../wire/model.js';
import { commandBody, readHeartbeat, workerPaths } from '../wire/workers.js';
import { type CommandBatch, EMPTY_BATCH, collectCommands, takeDueForgets } from './commands.js';
import type { Machine } from './machine.js';
import type { MachineTable } from './machine-table.js';
import { ProbeWindow } from './probe-window.js';
import type { TaskAttempt } from './task-attempt.js';

/** What the command sender needs; all times are in milliseconds. */
export interface CommandSenderDependencies {
  runtime: Runtime;
  table: MachineTable;
  /** Whether this node may act as the leader at this very moment. */
  isLeader(): boolean;
  timeoutMs: number;
  /** Requests under way at once: beyond that, sockets and the processor are left to users and heartbeats. */
  maxInFlight: number;
  /** Whether enough is known of cancellations for a start. */
  mayStart(): boolean;
  /** A heartbeat came back with a response. */
  applyHeartbeat(machine: Machine, heartbeat: Heartbeat): void;
}

/** An empty request costs nothing if it is answered late, so that it need not be waited for as long. */
const PROBE_TIMEOUT_MS = 900;
/** Of the requests under way, at most: to machines that did not answer the last one. */
const MAX_FAILING_SHARE = 0.5;
/** A machine whose heartbeat was answered shows our token with its next one, which comes within half a second. */
const NEXT_HEARTBEAT_EXPECTED_MS = 900;
const REJECTED_RETRY_MS = 50;
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 4000;

/**
 * Commands go straight to the worker, one request at a time per machine. Whatever is not answered raises the
 * machine's token, which ends it; until the machine shows the raised token its starts count as executed.
 */
export class CommandSender {
  private inFlight = 0;
  /** Of these, to machines that did not answer the last one. */
  private inFlightToFailing = 0;
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
  isWorthProbing(machine: Machine, now: number): boolean {
    return (
      machine.pendingTokenAck === null || now - machine.leaseRenewedAt > NEXT_HEARTBEAT_EXPECTED_MS
    );
  }

  /** All that is to go out at once; `all`: also what is repeated, or waited for something else. */
  flushPending(all: boolean): void {
    const { table } = this.deps;
    for (const machine of all ? table.backlog.outstanding : table.backlog.pending) {
      if (this.inFlight >= this.deps.maxInFlight) return;
      this.flush(machine);
    }
  }

  private maySend(machine: Machine, probe: boolean, now: number): boolean {
    if (machine.inFlight || !machine.endpoint || now < machine.nextSendAt || !this.deps.isLeader())
      return false;
    if (!machine.stored && !probe) return false;
    // A dead machine holds its request until it is given up. However many are dead at once, the others get theirs.
    const maxFailing = this.deps.maxInFlight * MAX_FAILING_SHARE;
    if (machine.commandFailures > 0 && this.inFlightToFailing >= maxFailing) return false;
    return !probe || this.inFlight < this.probes.size();
  }

  /** Sends what is due. With `probe`, also an empty request: its answer is a heartbeat under our token. */
  flush(machine: Machine, probe = false): void {
    const { runtime, table } = this.deps;
    const now = runtime.clock.now();
    if (!this.maySend(machine, probe, now)) return;
    const { commands, starts, nothingOutstanding }: CommandBatch = machine.stored
      ? collectCommands(machine, this.deps, now)
      : EMPTY_BATCH;
    table.backlog.pending.delete(machine);
    if (nothingOutstanding) table.backlog.clear(machine);
    if (commands.length === 0 && !probe) return;
    for (const attempt of starts) attempt.startSent = true;
    // Forgets alone wait for the next heartbeat; here they ride along. A copy of the start of what is forgotten
    // could otherwise start it anew: copies have lower tokens.
    const forgets = machine.stored ? takeDueForgets(machine, now) : [];
    if (forgets.length > 0) table.advanceToken(machine);
    // While we are behind, answers wait unread: giving up on them would only cost another request.
    const timeoutMs =
      commands.length === 0 && !this.probes.isCongested() ? PROBE_TIMEOUT_MS : Infinity;
    void this.send(
      machine,
      [...forgets, ...commands],
      starts,
      Math.min(timeoutMs, this.deps.timeoutMs),
    );
  }

  private async send(
    machine: Machine,
    commands: WorkerCommand[],
    starts: Set<TaskAttempt>,
    timeoutMs: number,
  ): Promise<void> {
    const { runtime, table } = this.deps;
    const failing = machine.commandFailures > 0;
    machine.inFlight = { attempts: starts };
    this.inFlight++;
    if (failing) this.inFlightToFailing++;
    const body = commandBody(table.tokenFor(machine), machine.incarnation || 1, commands);
    const response = await runtime.http.send(
      machine.endpoint,
      'POST',
      workerPaths.commands,
      body,
      timeoutMs,
    );
    this.inFlight--;
    if (failing) this.inFlightToFailing--;
    machine.inFlight = null;
    this.handleResponse(machine, response, starts);
  }

  private handleResponse(machine: Machine, response: Reply, starts: Set<TaskAttempt>): void {
    const { runtime, table } = this.deps;
    const now = runtime.clock.now();
    switch (response.status) {
      case HTTP_STATUS.ok:
        table.startsAcknowledged(starts);
        this.applyResponseHeartbeat(machine, response);
        break;
      case HTTP_STATUS.conflict:
        table.startsRejected(starts, now);
        machine.nextSendAt = now + REJECTED_RETRY_MS;
        this.applyResponseHeartbeat(machine, response);
        break;
      default:
        table.startsWithoutResponse(machine, starts);
        machine.commandFailures++;
        machine.nextSendAt = now + retryDelayMs(machine.commandFailures);
    }
    // What was held meanwhile goes out next.
    if (machine.attempts.size > 0) table.backlog.markPending(machine);
  }

  private applyResponseHeartbeat(machine: Machine, { body }: Reply): void {
    machine.commandFailures = 0;
    const heartbeat = readHeartbeat(body);
    if (heartbeat?.machine === machine.id) this.deps.applyHeartbeat(machine, heartbeat);
  }
}

function retryDelayMs(failures: number): number {
  return Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
}
