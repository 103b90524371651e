/** Sends commands directly to workers, and handles the outcome of the requests. */
import type { HttpResponse, Runtime } from '../runtime.js';
import { HTTP_STATUS } from '../wire/http-status.js';
import type { Heartbeat, WorkerCommand } from '../wire/model.js';
import { commandsBody, readHeartbeat, workerPaths } from '../wire/workers.js';
import { type CommandBatch, EMPTY_BATCH, collectCommands, takeDueForgets } from './commands.js';
import type { Machine } from './machine.js';
import type { MachineTable } from './machine-table.js';
import { ProbeWindow } from './probe-window.js';
import type { TaskAttempt } from './task-attempt.js';

/** Dependencies of the command sender; all times are in milliseconds. */
export interface CommandSenderDependencies {
  runtime: Runtime;
  table: MachineTable;
  /** Whether this node may act as the leader right now. */
  isLeader(): boolean;
  /** Timeout of a request with commands. */
  timeoutMs: number;
  /** Maximum number of concurrent requests; the limit leaves sockets and CPU time to users and heartbeats. */
  maxInFlight: number;
  /** Whether the known cancellations are recent enough to start tasks. */
  cancellationsAreFresh(): boolean;
  /** Called with the heartbeat that the response to a request sent at `requestedAt` contains. */
  applyHeartbeat(machine: Machine, heartbeat: Heartbeat, requestedAt: number): void;
}

/** Timeout of a request without commands, shorter than that of commands: a late response to it does no harm. */
const PROBE_TIMEOUT_MS = 900;
/** Maximum share of `maxInFlight` for requests to machines that did not respond to the last request. */
const MAX_FAILING_SHARE = 0.5;
/**
 * Time after a heartbeat response in which the machine's next heartbeat is expected to report the token that the
 * response contained. A worker sends a heartbeat within 0.5 s of such a change, regardless of its regular interval.
 */
const NEXT_HEARTBEAT_EXPECTED_MS = 900;
const REJECTED_RETRY_MS = 50;
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 4000;

/**
 * Sends commands directly to workers, one request at a time per machine. If a request gets no response, the machine's
 * token is advanced, which invalidates the request; until the machine reports the new token, the starts of the request
 * count as executed.
 */
export class CommandSender {
  private inFlight = 0;
  /** Requests in flight to machines that did not respond to the previous request. */
  private inFlightToFailing = 0;
  private readonly probes: ProbeWindow;

  constructor(private readonly deps: CommandSenderDependencies) {
    this.probes = new ProbeWindow(deps.maxInFlight);
  }

  /** Called at regular intervals with the delay of the timer, which shows whether this controller is congested. */
  recordTimerDelay(lateMs: number): void {
    this.probes.recordTimerDelay(lateMs);
  }

  /**
   * Whether this controller is congested: a timer fired late recently. Responses may then have arrived but not been
   * read, so that a missing one does not indicate that the machine is unreachable.
   */
  isCongested(): boolean {
    return this.probes.isCongested();
  }

  /**
   * Whether to probe the machine. Returns false shortly after a heartbeat response with a token that the machine has
   * not acknowledged yet: its next heartbeat will acknowledge the token anyway.
   */
  isWorthProbing(machine: Machine, now: number): boolean {
    return (
      machine.pendingTokenAck === null || now - machine.leaseRenewedAt > NEXT_HEARTBEAT_EXPECTED_MS
    );
  }

  /**
   * Sends the due commands of all pending machines. With `includeOutstanding`, also checks the machines whose commands
   * may have to be repeated or waited for a condition.
   */
  flushPending(includeOutstanding: boolean): void {
    const { table } = this.deps;
    for (const machine of includeOutstanding ? table.backlog.outstanding : table.backlog.pending) {
      if (this.inFlight >= this.deps.maxInFlight) return;
      this.flush(machine);
    }
  }

  private maySend(machine: Machine, probe: boolean, now: number): boolean {
    if (machine.inFlight || !machine.endpoint || now < machine.nextSendAt || !this.deps.isLeader())
      return false;
    if (!machine.stored && !probe) return false;
    // A request to an unreachable machine stays in flight until it times out. The limit leaves requests for the other
    // machines, however many are unreachable at once.
    const maxFailing = this.deps.maxInFlight * MAX_FAILING_SHARE;
    if (machine.commandFailures > 0 && this.inFlightToFailing >= maxFailing) return false;
    return !probe || this.inFlight < this.probes.size();
  }

  /**
   * Sends the due commands of a machine. With `probe`, sends a request even if there are none: the response contains
   * a heartbeat with this leader's token.
   */
  flush(machine: Machine, probe = false): void {
    const { runtime, table } = this.deps;
    const now = runtime.clock.now();
    if (!this.maySend(machine, probe, now)) return;
    const { commands, starts, stops, needsToken, nothingOutstanding }: CommandBatch = machine.stored
      ? collectCommands(machine, this.deps, now)
      : EMPTY_BATCH;
    table.backlog.pending.delete(machine);
    if (nothingOutstanding) table.backlog.clear(machine);
    if (commands.length === 0 && !needsToken && !probe) return;
    for (const attempt of stops) table.fenceStart(attempt);
    const forgets = machine.stored ? this.takeForgets(machine, now) : [];
    // While this controller is congested, responses wait unread: a shorter timeout would only cost another request.
    const timeoutMs =
      commands.length === 0 && !this.probes.isCongested() ? PROBE_TIMEOUT_MS : Infinity;
    void this.send(
      machine,
      [...forgets, ...commands],
      starts,
      Math.min(timeoutMs, this.deps.timeoutMs),
    );
  }

  /**
   * Forgets alone wait for the next heartbeat; these are added to a request that is sent anyway. Advancing the token keeps
   * a duplicate of the start, which has a lower token, from starting a forgotten attempt again.
   */
  private takeForgets(machine: Machine, now: number): WorkerCommand[] {
    const forgets = takeDueForgets(machine, now);
    if (forgets.length > 0) this.deps.table.advanceToken(machine);
    return forgets;
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
    const token = table.tokenFor(machine);
    for (const attempt of starts) attempt.markStartSent(token);
    const body = commandsBody(token, machine.incarnation || 1, commands);
    const requestedAt = runtime.clock.now();
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
    this.handleResponse(machine, response, starts, requestedAt);
  }

  private handleResponse(
    machine: Machine,
    response: HttpResponse,
    starts: Set<TaskAttempt>,
    requestedAt: number,
  ): void {
    const { runtime, table } = this.deps;
    const now = runtime.clock.now();
    switch (response.status) {
      case HTTP_STATUS.ok:
        table.startsAcknowledged(starts);
        this.applyResponseHeartbeat(machine, response, requestedAt);
        break;
      case HTTP_STATUS.conflict:
        table.startsRejected(starts, now);
        machine.nextSendAt = now + REJECTED_RETRY_MS;
        this.applyResponseHeartbeat(machine, response, requestedAt);
        break;
      default:
        table.startsWithoutResponse(machine);
        machine.commandFailures++;
        machine.nextSendAt = now + retryDelayMs(machine.commandFailures);
    }
    // Commands that were held back during the request are sent next.
    if (machine.attempts.size > 0) table.backlog.markPending(machine);
  }

  private applyResponseHeartbeat(
    machine: Machine,
    { body }: HttpResponse,
    requestedAt: number,
  ): void {
    machine.commandFailures = 0;
    const heartbeat = readHeartbeat(body);
    if (heartbeat?.machine === machine.id)
      this.deps.applyHeartbeat(machine, heartbeat, requestedAt);
  }
}

function retryDelayMs(failures: number): number {
  return Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
}
