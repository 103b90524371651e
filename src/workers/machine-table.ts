/** The leader's table of machines and of the task attempts that may be on them, rebuilt from worker heartbeats. */
import type { Job } from '../jobs/job.js';
import { DRIFT } from '../runtime.js';
import type { Heartbeat, MachineType } from '../wire/model.js';
import { type AttemptEvents, AttemptLifecycle } from './attempt-lifecycle.js';
import { CommandBacklog } from './command-backlog.js';
import { FencingTokens } from './fencing-tokens.js';
import { HeartbeatApplier } from './heartbeat-applier.js';
import type { Machine } from './machine.js';
import { type StopRequest, TaskAttempt } from './task-attempt.js';
import { TrackedMachine } from './tracked-machine.js';

/** Workers look at their leases now and then. */
const LEASE_EXPIRY_MARGIN_MS = 500;

/**
 * The machine table and, on it, which tasks may be where. It composes what happens to attempts, heartbeats, tokens
 * and commands; each of these has a module of its own.
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
    this.heartbeats = new HeartbeatApplier(this.lifecycle, findJob);
  }

  all(): IterableIterator<Machine> {
    return this.byId.values();
  }

  /** How many are stored: commands may have been sent to them. */
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
   * Is this the machine that the table has under its name? An answer that was on its way when the machine was removed
   * must change nothing: what it showed would count for ever, and no other place would ever start it again.
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

  /** Whatever was sent with the token up to now ends once the machine shows the new one. */
  advanceToken(machine: Machine): number {
    return this.tokens.advance(machine);
  }

  /** The token for the answer to a heartbeat; every `intervalMs` the machine has to confirm a new one. */
  requestTokenAck(machine: Machine, now: number, intervalMs: number): number {
    return this.tokens.requestAck(machine, now, intervalMs);
  }

  addAttempt(
    machine: Machine,
    jobId: string,
    job: Job | null,
    taskNumber: number,
    attempt: number,
    now: number,
  ): TaskAttempt {
    return this.lifecycle.insert(new TaskAttempt(machine, jobId, job, taskNumber, attempt, now));
  }

  /** Surely not on the machine: never executed, killed with its incarnation, or the machine is gone. */
  removeAttempt(attempt: TaskAttempt, now: number): void {
    this.lifecycle.remove(attempt, now);
  }

  /**
   * The task is to go; its worker is told until it does. A start that is still on its way meets a raised token,
   * once an answer to a heartbeat has brought that. A start that was never sent is dropped: it can't be anywhere.
   */
  stop(attempt: TaskAttempt, request: StopRequest, now: number): void {
    if (!attempt.startSent) {
      this.removeAttempt(attempt, now);
      return;
    }
    if (attempt.stop) return;
    attempt.stop = request;
    if (attempt.startUnacknowledged) this.advanceToken(attempt.machine);
    this.backlog.markPending(attempt.machine);
  }

  /** Takes a heartbeat over. False, and nothing changes, for one that is older, or of a machine that was removed. */
  applyHeartbeat(machine: Machine, heartbeat: Heartbeat, now: number): boolean {
    return this.contains(machine) && this.heartbeats.apply(machine, heartbeat, now);
  }

  /** The request was surely not executed. */
  startsRejected(attempts: Iterable<TaskAttempt>, now: number): void {
    for (const attempt of attempts)
      if (attempt.state === 'starting' && attempt.startUnacknowledged)
        this.removeAttempt(attempt, now);
  }

  /** The request was executed, so a later heartbeat without an attempt of it means that this is gone. */
  startsAcknowledged(attempts: Iterable<TaskAttempt>): void {
    for (const attempt of attempts) attempt.startUnacknowledged = false;
  }

  /** No answer: the starts may be executed minutes later, until the machine shows a higher token. */
  startsWithoutResponse(machine: Machine, attempts: Iterable<TaskAttempt>): void {
    machine.requiredToken = this.advanceToken(machine);
    for (const attempt of attempts)
      if (attempt.startUnacknowledged) attempt.fencedByToken = machine.requiredToken;
  }

  /** The worker's lease has surely run out, counted from the last answer that may have renewed it, a follower's included. */
  isLeaseExpired(machine: Machine, extendableUntil: number, now: number): boolean {
    const renewedAt = Math.max(machine.leaseRenewedAt, extendableUntil);
    return now - renewedAt > this.leaseMs * DRIFT + LEASE_EXPIRY_MARGIN_MS;
  }

  /** Nothing is on the machine any more. */
  expireLease(machine: Machine, now: number): void {
    this.lifecycle.removeAll(machine, now);
    if (machine.reported) {
      // Only a newer incarnation counts from here: a held heartbeat of the old one tells of tasks that are dead.
      machine.incarnation++;
      machine.lastSequence = -1;
      machine.lastHeartbeatSequence = -1;
    }
    machine.leaseRenewedAt = now;
    machine.reported = false;
    machine.awaitingReconciliation = false;
    machine.leaseExpired = true;
  }
}
