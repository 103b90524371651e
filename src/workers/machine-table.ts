/** The leader's table of machines and of the task attempts that may be on them, rebuilt from worker heartbeats. */
import type { Job } from '../jobs/job.js';
import { MAX_CLOCK_DRIFT } from '../runtime.js';
import type { Heartbeat, MachineType } from '../wire/model.js';
import { type AttemptEvents, AttemptLifecycle } from './attempt-lifecycle.js';
import { CommandBacklog } from './command-backlog.js';
import { FencingTokens } from './fencing-tokens.js';
import { HeartbeatApplier } from './heartbeat-applier.js';
import type { Machine } from './machine.js';
import { type StopOutcome, type StopRequest, combineStops } from './stop-request.js';
import { TaskAttempt } from './task-attempt.js';
import { TrackedMachine } from './tracked-machine.js';

/** Workers check their leases only periodically. */
const LEASE_EXPIRY_MARGIN_MS = 500;

/**
 * The machine table, with the tasks that may be on each machine. It combines the modules for attempts, heartbeats,
 * tokens and commands.
 */
export class MachineTable {
  private readonly byId = new Map<string, Machine>();
  private nextIndex = 0;
  readonly backlog = new CommandBacklog();
  private readonly tokens: FencingTokens;
  private readonly lifecycle: AttemptLifecycle;
  private readonly heartbeats: HeartbeatApplier;

  constructor(
    private readonly baseToken: number,
    private readonly leaseMs: number,
    findJob: (id: string) => Job | undefined,
    events: AttemptEvents,
  ) {
    this.tokens = new FencingTokens(baseToken);
    this.lifecycle = new AttemptLifecycle(events, this.backlog);
    this.heartbeats = new HeartbeatApplier(this.lifecycle, this.tokens, findJob);
  }

  all(): IterableIterator<Machine> {
    return this.byId.values();
  }

  /** Number of stored machines, to which commands may have been sent. */
  storedCount(): number {
    let count = 0;
    for (const machine of this.all()) if (machine.stored) count++;
    return count;
  }

  size(): number {
    return this.byId.size;
  }

  get(id: string): Machine | undefined {
    return this.byId.get(id);
  }

  /**
   * Whether the table has this same machine object under its id. A response that was in flight when the machine was
   * removed must change nothing: the attempts that it reports would count forever, and their tasks never be started
   * elsewhere.
   */
  contains(machine: Machine): boolean {
    return this.byId.get(machine.id) === machine;
  }

  add(
    id: string,
    endpoint: string,
    type: MachineType,
    zone: string,
    spot: boolean,
    now: number,
  ): Machine {
    const index = this.nextIndex++;
    const machine: Machine = new TrackedMachine(
      index,
      id,
      endpoint,
      type,
      zone,
      spot,
      this.baseToken,
      now,
    );
    this.byId.set(id, machine);
    return machine;
  }

  remove(machine: Machine, now: number): void {
    this.lifecycle.removeAll(machine, now);
    this.backlog.clear(machine);
    this.byId.delete(machine.id);
  }

  tokenFor(machine: Machine): number {
    return this.tokens.tokenFor(machine);
  }

  /**
   * Advances the token for a machine and returns it. Commands sent with lower tokens can no longer be executed once the
   * machine reports the new one.
   */
  advanceToken(machine: Machine): number {
    return this.tokens.advance(machine);
  }

  /**
   * Makes the next message to the attempt's machine carry a token above that of its start. Sent with a stop, it lets the
   * task be started elsewhere as soon as the exit is reported.
   */
  fenceStart(attempt: TaskAttempt): void {
    this.tokens.ensureAbove(attempt.machine, attempt.startToken);
  }

  /** Returns the token for a heartbeat response; every `intervalMs` the machine has to acknowledge a new one. */
  requestTokenAck(machine: Machine, now: number, intervalMs: number): number {
    return this.tokens.requestAck(machine, now, intervalMs);
  }

  addAttempt(
    machine: Machine,
    jobId: string,
    job: Job | null,
    taskNumber: number,
    attemptNumber: number,
    now: number,
  ): TaskAttempt {
    return this.lifecycle.insert(
      new TaskAttempt(machine, jobId, job, taskNumber, attemptNumber, now),
    );
  }

  /**
   * Removes an attempt that is guaranteed not to be on the machine: it was never executed, was killed with its
   * incarnation, or the machine no longer exists.
   */
  removeAttempt(attempt: TaskAttempt, now: number): void {
    this.lifecycle.remove(attempt, now);
  }

  /**
   * Stops a task: the stop command is repeated until the task exits. A start that is still in flight is refused once a
   * heartbeat response has delivered the new token. A start that was never sent is dropped, since it cannot be on
   * any machine. If a stop is pending already, `combineStops` decides which of the two applies. A stricter one is sent
   * at once; it does not wait until the repetition of the earlier one is due.
   */
  stop(attempt: TaskAttempt, request: StopRequest, now: number): StopOutcome {
    if (!attempt.startSent) {
      this.removeAttempt(attempt, now);
      return { kind: 'never-sent' };
    }
    const outcome = combineStops(attempt.stop, request);
    if (outcome.kind !== 'requested' && outcome.kind !== 'tightened') return outcome;
    attempt.stop = outcome.request;
    attempt.stopSentAt = -Infinity;
    if (attempt.startUnacknowledged) this.advanceToken(attempt.machine);
    this.backlog.markPending(attempt.machine);
    return outcome;
  }

  /** Applies a heartbeat. Returns false, and changes nothing, if it is not newer, or the machine was removed. */
  applyHeartbeat(machine: Machine, heartbeat: Heartbeat, now: number): boolean {
    return this.contains(machine) && this.heartbeats.apply(machine, heartbeat, now);
  }

  /** Removes the attempts of a request that was refused, and so is guaranteed not to be executed. */
  startsRejected(attempts: Iterable<TaskAttempt>, now: number): void {
    for (const attempt of attempts)
      if (attempt.state === 'starting' && attempt.startUnacknowledged)
        this.removeAttempt(attempt, now);
  }

  /** Marks the starts of an executed request: an attempt missing in a later heartbeat no longer exists. */
  startsAcknowledged(attempts: Iterable<TaskAttempt>): void {
    for (const attempt of attempts)
      if (attempt.state !== 'fencing') attempt.startUnacknowledged = false;
  }

  /**
   * Handles a missing response: the starts may be executed even minutes later, until the machine reports a higher
   * token.
   */
  startsWithoutResponse(machine: Machine): void {
    machine.requiredToken = this.advanceToken(machine);
  }

  /**
   * Whether the worker's lease is guaranteed to have expired, counted from the last response that may have renewed it,
   * including responses of followers.
   */
  isLeaseExpired(machine: Machine, extendableUntil: number, now: number): boolean {
    const renewedAt = Math.max(machine.leaseRenewedAt, extendableUntil);
    return now - renewedAt > this.leaseMs * MAX_CLOCK_DRIFT + LEASE_EXPIRY_MARGIN_MS;
  }

  /** Removes all attempts of a machine whose lease has expired. */
  expireLease(machine: Machine, now: number): void {
    this.lifecycle.removeAll(machine, now);
    if (machine.reported) {
      // From now on only a newer incarnation counts: a delayed heartbeat of the old one lists tasks that were killed.
      machine.incarnation++;
      machine.lastAppliedSequence = -1;
      machine.lastRequestSequence = -1;
    }
    machine.leaseRenewedAt = now;
    machine.reported = false;
    machine.awaitingReconciliation = false;
    machine.leaseExpired = true;
  }
}
