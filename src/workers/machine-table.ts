/** The leader's table of machines and of the task attempts that may be on them, rebuilt from worker reports. */
import type { Job } from '../jobs/job-table.js';
import type { MachineType, TaskStatus, Heartbeat } from '../wire/model.js';
import { DRIFT } from '../runtime.js';
import { Machine } from './machine.js';
import {
  ATTEMPT_TRANSITIONS,
  type AttemptState,
  type StopRequest,
  TaskAttempt,
} from './task-attempt.js';

/** A start that no report shows may still be executed, unless the machine has shown the token that ends it. */
function mayStillStart(machine: Machine, attempt: TaskAttempt): boolean {
  if (!attempt.startUnacknowledged) return false;
  const inFlight = machine.inFlight?.attempts.has(attempt) === true;
  return (
    inFlight ||
    !attempt.startSent ||
    attempt.fencedByToken === 0 ||
    machine.shownToken < attempt.fencedByToken
  );
}

export interface TableEvents {
  /** The task may now be on the machine. */
  attemptAdded(attempt: TaskAttempt): void;
  /** The task is surely not on the machine any more; `attempt.state` tells whether it exited or vanished. Told once. */
  attemptEnded(attempt: TaskAttempt): void;
}

function isFetching(attempt: TaskAttempt): boolean {
  return attempt.state === 'starting' || attempt.state === 'fetching';
}

function countFetch(attempt: TaskAttempt, sign: 1 | -1): void {
  if (!attempt.job) return;
  const { fetching } = attempt.machine;
  const n = (fetching.get(attempt.job.spec.image) ?? 0) + sign;
  if (n > 0) fetching.set(attempt.job.spec.image, n);
  else fetching.delete(attempt.job.spec.image);
}

const attemptKey = (job: string, taskNumber: number, attempt: number): string =>
  `${job}/${taskNumber}/${attempt}`;

/** The machine table and, on it, which tasks may be where: the paper's partition table, rebuilt from reports. */
export class MachineTable {
  private readonly byId = new Map<string, Machine>();
  private nextIndex = 0;
  /** Machines with commands to send at once; and all that have some outstanding, to be looked at now and then. */
  readonly withPendingCommands = new Set<Machine>();
  readonly withOutstandingCommands = new Set<Machine>();

  constructor(
    private readonly baseToken: number,
    private readonly leaseMs: number,
    private readonly findJob: (id: string) => Job | undefined,
    private readonly events: TableEvents,
  ) {}

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
    const machine = new Machine(
      this.nextIndex++,
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

  tokenFor(machine: Machine): number {
    return this.baseToken + machine.tokenOffset;
  }

  advanceToken(machine: Machine): number {
    machine.tokenOffset++;
    return this.tokenFor(machine);
  }

  addAttempt(
    machine: Machine,
    jobId: string,
    job: Job | null,
    taskNumber: number,
    attempt: number,
    now: number,
  ): TaskAttempt {
    return this.insertAttempt(new TaskAttempt(machine, jobId, job, taskNumber, attempt, now));
  }

  private insertAttempt(attempt: TaskAttempt): TaskAttempt {
    const { machine } = attempt;
    machine.attempts.set(attemptKey(attempt.jobId, attempt.taskNumber, attempt.attempt), attempt);
    this.accountResources(attempt, 1);
    this.events.attemptAdded(attempt);
    this.markPending(machine);
    return attempt;
  }

  /** Commands for the machine may be due. */
  markPending(machine: Machine): void {
    this.withPendingCommands.add(machine);
    this.withOutstandingCommands.add(machine);
  }

  clearPending(machine: Machine): void {
    this.withPendingCommands.delete(machine);
    this.withOutstandingCommands.delete(machine);
  }

  /**
   * The task is to go; its worker is told until it does. A start that is still on its way meets a raised token,
   * once an answer to a report has brought that. A start that was never sent is dropped: it can't be anywhere.
   */
  stop(attempt: TaskAttempt, request: StopRequest, now: number): void {
    if (!attempt.startSent) {
      this.removeAttempt(attempt, now);
      return;
    }
    if (attempt.stop) return;
    attempt.stop = request;
    if (attempt.startUnacknowledged) this.advanceToken(attempt.machine);
    this.markPending(attempt.machine);
  }

  private accountResources(attempt: TaskAttempt, sign: 1 | -1): void {
    if (!attempt.job) return;
    const { cpus, gpus, memoryGb } = attempt.job.spec;
    attempt.machine.usedCpus += sign * cpus;
    attempt.machine.usedGpus += sign * gpus;
    attempt.machine.usedMemory += sign * memoryGb;
    if (attempt.job.spec.kind === 'service') attempt.machine.serviceTasks += sign;
    if (isFetching(attempt)) countFetch(attempt, sign);
  }

  /**
   * The one place where an attempt changes its state. What it occupies is released here alone, and the two final
   * states have no successor: whatever else tells later that the attempt is gone, such as the refusal of a start whose
   * machine has begun a new session meanwhile, releases nothing again.
   */
  private transitionTo(attempt: TaskAttempt, next: AttemptState, now: number): void {
    if (next === attempt.state || !ATTEMPT_TRANSITIONS[attempt.state].includes(next)) return;
    const isFinal = next === 'exited' || next === 'removed';
    if (isFinal) this.accountResources(attempt, -1);
    else if (isFetching(attempt) && next !== 'fetching') countFetch(attempt, -1);
    if (attempt.state === 'running' && attempt.job) attempt.job.running--;
    attempt.state = next;
    attempt.startUnacknowledged = false;
    if (next === 'waiting' || next === 'running') this.hasImage(attempt, next, now);
    if (!isFinal) return;
    this.noteEmpty(attempt.machine, now);
    if (next === 'exited') this.withOutstandingCommands.add(attempt.machine);
    this.events.attemptEnded(attempt);
  }

  /** The attempt has its image: it waits for its gang, or runs. */
  private hasImage(attempt: TaskAttempt, state: 'waiting' | 'running', now: number): void {
    if (attempt.job) attempt.machine.images.add(attempt.job.spec.image);
    if (state === 'waiting') {
      attempt.waitingSince = now;
      return;
    }
    if (attempt.job) attempt.job.running++;
    // A former leader's tasks are seen in the middle: timed from here they would make all others look slow.
    if (!attempt.discovered) attempt.runningSince = now;
  }

  private noteEmpty(machine: Machine, now: number): void {
    for (const attempt of machine.attempts.values()) if (attempt.onMachine()) return;
    machine.emptySince = now;
  }

  /** Surely not on the machine: never executed, killed with its session, or the machine is gone. */
  removeAttempt(attempt: TaskAttempt, now: number): void {
    const key = attemptKey(attempt.jobId, attempt.taskNumber, attempt.attempt);
    // A gang's replacement has the same number: a late word of the task that it replaces must not remove it.
    if (attempt.machine.attempts.get(key) === attempt) attempt.machine.attempts.delete(key);
    this.transitionTo(attempt, 'removed', now);
  }

  private removeAllAttempts(machine: Machine, now: number): void {
    for (const attempt of [...machine.attempts.values()]) this.removeAttempt(attempt, now);
  }

  /**
   * Takes a report over. A bad or older one changes nothing. An attempt that the report lacks is dropped only
   * if its start cannot be executed any more: it was answered, or the machine has shown the raised token.
   */
  applyHeartbeat(machine: Machine, report: Heartbeat, now: number): boolean {
    if (!this.contains(machine)) return false;
    if (
      report.incarnation < machine.incarnation ||
      (report.incarnation === machine.incarnation && report.sequence <= machine.lastSequence)
    )
      return false;
    if (report.incarnation > machine.incarnation)
      this.beginIncarnation(machine, report.incarnation, now);
    this.applyMachineStatus(machine, report, now);
    const seen = new Set<string>();
    for (const task of report.tasks) {
      const key = attemptKey(task.job, task.taskNumber, task.attempt);
      seen.add(key);
      this.applyTaskStatus(machine, key, task, now);
    }
    for (const [key, attempt] of machine.attempts)
      if (!seen.has(key) && !mayStillStart(machine, attempt)) this.removeAttempt(attempt, now);
    return true;
  }

  /** The worker has killed and forgotten everything, and refuses commands for the earlier session. */
  private beginIncarnation(machine: Machine, session: number, now: number): void {
    this.removeAllAttempts(machine, now);
    machine.incarnation = session;
    machine.lastHeartbeatSequence = -1;
    // The new session's own lease counts from its beginning, which was at the latest now.
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
  }

  private applyMachineStatus(machine: Machine, report: Heartbeat, now: number): void {
    machine.lastSequence = report.sequence;
    machine.shownToken = Math.max(machine.shownToken, report.token);
    if (machine.pendingTokenAck && machine.shownToken >= machine.pendingTokenAck.token) {
      machine.pendingTokenAck = null;
      machine.tokenConfirmedAt = now;
    }
    machine.endpoint = report.endpoint;
    machine.reported = true;
    machine.leaseExpired = false;
    machine.preemptionDeadline =
      report.preemptionNoticeS === null ? null : now + report.preemptionNoticeS * 1000;
  }

  private applyTaskStatus(machine: Machine, key: string, task: TaskStatus, now: number): void {
    let attempt = machine.attempts.get(key);
    if (!attempt) {
      const job = this.findJob(task.job) ?? null;
      attempt = new TaskAttempt(machine, task.job, job, task.taskNumber, task.attempt, now);
      attempt.startSent = true;
      attempt.discovered = task.state !== 'fetching' && task.state !== 'waiting';
      this.insertAttempt(attempt);
    }
    attempt.startUnacknowledged = false;
    if (task.state === 'exited' && attempt.cause === null) attempt.cause = task.cause;
    this.transitionTo(attempt, task.state, now);
  }

  /**
   * The token for the answer to a report. Now and then it is raised, so that the next report tells whether
   * answers reach the machine at all: one that is heard, but deaf, would else look well until its lease ends.
   */
  requestTokenAck(machine: Machine, now: number, everyMs: number): number {
    if (machine.pendingTokenAck) machine.pendingTokenAck.heartbeats++;
    else {
      if (
        machine.shownToken >= this.tokenFor(machine) &&
        !machine.inFlight &&
        now - machine.tokenConfirmedAt > everyMs
      )
        this.advanceToken(machine);
      if (machine.shownToken < this.tokenFor(machine))
        machine.pendingTokenAck = { token: this.tokenFor(machine), since: now, heartbeats: 0 };
    }
    return this.tokenFor(machine);
  }

  /** The request was surely not executed. */
  startsRejected(entries: Iterable<TaskAttempt>, now: number): void {
    for (const attempt of entries)
      if (attempt.state === 'starting' && attempt.startUnacknowledged)
        this.removeAttempt(attempt, now);
  }

  /** Answered with 200: what is still open was executed, so a later report without it means that it is gone. */
  startsAcknowledged(entries: Iterable<TaskAttempt>): void {
    for (const attempt of entries) attempt.startUnacknowledged = false;
  }

  /** No answer: the starts may be executed minutes later, until the machine shows a higher token. */
  startsUnanswered(machine: Machine, entries: Iterable<TaskAttempt>): void {
    machine.requiredToken = this.advanceToken(machine);
    for (const attempt of entries)
      if (attempt.startUnacknowledged) attempt.fencedByToken = machine.requiredToken;
  }

  /** The worker's lease has surely run out, counted from the last answer that may have renewed it, a follower's included. */
  isLeaseExpired(machine: Machine, keptUntil: number, now: number): boolean {
    return now - Math.max(machine.leaseRenewedAt, keptUntil) > this.leaseMs * DRIFT + 500;
  }

  expireLease(machine: Machine, now: number): void {
    this.removeAllAttempts(machine, now);
    if (machine.reported) {
      // Only a newer session counts from here: a held report of the old one tells of tasks that are dead.
      machine.incarnation++;
      machine.lastSequence = -1;
      machine.lastHeartbeatSequence = -1;
    }
    machine.leaseRenewedAt = now;
    machine.reported = false;
    machine.awaitingReconciliation = false;
    machine.leaseExpired = true;
  }

  remove(machine: Machine, now: number): void {
    this.removeAllAttempts(machine, now);
    this.clearPending(machine);
    this.byId.delete(machine.id);
  }
}
