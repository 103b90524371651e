/** The leader's table of machines and of the task attempts that may be on them, rebuilt from worker reports. */
import type { Job } from '../jobs/job-table.js';
import type { MachineType, TaskReport, WorkerReport } from '../wire/model.js';
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
  if (!attempt.open) return false;
  const inFlight = machine.inflight?.attempts.has(attempt) === true;
  return inFlight || !attempt.sent || attempt.fence === 0 || machine.token < attempt.fence;
}

export interface TableEvents {
  /** The task may now be on the machine. */
  attemptAdded(attempt: TaskAttempt): void;
  /** The task is surely not on the machine any more; `attempt.state` tells whether it exited or vanished. Told once. */
  attemptGone(attempt: TaskAttempt): void;
}

function isFetching(attempt: TaskAttempt): boolean {
  return attempt.state === 'ordered' || attempt.state === 'fetching';
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
  readonly hot = new Set<Machine>();
  readonly due = new Set<Machine>();

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
  holds(machine: Machine): boolean {
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

  token(machine: Machine): number {
    return this.baseToken + machine.bump;
  }

  raise(machine: Machine): number {
    machine.bump++;
    return this.token(machine);
  }

  hold(
    machine: Machine,
    jobId: string,
    job: Job | null,
    taskNumber: number,
    attempt: number,
    now: number,
  ): TaskAttempt {
    return this.admit(new TaskAttempt(machine, jobId, job, taskNumber, attempt, now));
  }

  private admit(attempt: TaskAttempt): TaskAttempt {
    const { machine } = attempt;
    machine.attempts.set(attemptKey(attempt.jobId, attempt.taskNumber, attempt.attempt), attempt);
    this.occupy(attempt, 1);
    this.events.attemptAdded(attempt);
    this.mark(machine);
    return attempt;
  }

  /** Commands for the machine may be due. */
  mark(machine: Machine): void {
    this.hot.add(machine);
    this.due.add(machine);
  }

  settled(machine: Machine): void {
    this.hot.delete(machine);
    this.due.delete(machine);
  }

  /**
   * The task is to go; its worker is told until it does. A start that is still on its way meets a raised token,
   * once an answer to a report has brought that. A start that was never sent is dropped: it can't be anywhere.
   */
  stop(attempt: TaskAttempt, request: StopRequest, now: number): void {
    if (!attempt.sent) {
      this.drop(attempt, now);
      return;
    }
    if (attempt.stop) return;
    attempt.stop = request;
    if (attempt.open) this.raise(attempt.machine);
    this.mark(attempt.machine);
  }

  private occupy(attempt: TaskAttempt, sign: 1 | -1): void {
    if (!attempt.job) return;
    const { cpus, gpus, memoryGb } = attempt.job.spec;
    attempt.machine.usedCpus += sign * cpus;
    attempt.machine.usedGpus += sign * gpus;
    attempt.machine.usedMemory += sign * memoryGb;
    if (attempt.job.spec.kind === 'service') attempt.machine.services += sign;
    if (isFetching(attempt)) countFetch(attempt, sign);
  }

  /**
   * The one place where an attempt changes its state. What it occupies is released here alone, and the two final
   * states have no successor: whatever else tells later that the attempt is gone, such as the refusal of a start whose
   * machine has begun a new session meanwhile, releases nothing again.
   */
  private become(attempt: TaskAttempt, next: AttemptState, now: number): void {
    if (next === attempt.state || !ATTEMPT_TRANSITIONS[attempt.state].includes(next)) return;
    const isFinal = next === 'exited' || next === 'vanished';
    if (isFinal) this.occupy(attempt, -1);
    else if (isFetching(attempt) && next !== 'fetching') countFetch(attempt, -1);
    if (attempt.state === 'running' && attempt.job) attempt.job.running--;
    attempt.state = next;
    attempt.open = false;
    if (next === 'waiting' || next === 'running') this.hasImage(attempt, next, now);
    if (!isFinal) return;
    this.noteEmpty(attempt.machine, now);
    if (next === 'exited') this.due.add(attempt.machine);
    this.events.attemptGone(attempt);
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
    if (!attempt.found) attempt.runningSince = now;
  }

  private noteEmpty(machine: Machine, now: number): void {
    for (const attempt of machine.attempts.values()) if (attempt.onMachine()) return;
    machine.emptySince = now;
  }

  /** Surely not on the machine: never executed, killed with its session, or the machine is gone. */
  drop(attempt: TaskAttempt, now: number): void {
    const key = attemptKey(attempt.jobId, attempt.taskNumber, attempt.attempt);
    // A gang's replacement has the same number: a late word of the task that it replaces must not remove it.
    if (attempt.machine.attempts.get(key) === attempt) attempt.machine.attempts.delete(key);
    this.become(attempt, 'vanished', now);
  }

  private dropAll(machine: Machine, now: number): void {
    for (const attempt of [...machine.attempts.values()]) this.drop(attempt, now);
  }

  /**
   * Takes a report over. A bad or older one changes nothing. An attempt that the report lacks is dropped only
   * if its start cannot be executed any more: it was answered, or the machine has shown the raised token.
   */
  apply(machine: Machine, report: WorkerReport, now: number): boolean {
    if (!this.holds(machine)) return false;
    if (
      report.session < machine.session ||
      (report.session === machine.session && report.seq <= machine.seq)
    )
      return false;
    if (report.session > machine.session) this.beginSession(machine, report.session, now);
    this.applyState(machine, report, now);
    const seen = new Set<string>();
    for (const task of report.tasks) {
      const key = attemptKey(task.job, task.taskNumber, task.attempt);
      seen.add(key);
      this.applyTask(machine, key, task, now);
    }
    for (const [key, attempt] of machine.attempts)
      if (!seen.has(key) && !mayStillStart(machine, attempt)) this.drop(attempt, now);
    return true;
  }

  /** The worker has killed and forgotten everything, and refuses commands for the earlier session. */
  private beginSession(machine: Machine, session: number, now: number): void {
    this.dropAll(machine, now);
    machine.session = session;
    machine.reportSeq = -1;
    // The new session's own lease counts from its beginning, which was at the latest now.
    machine.renewedAt = Math.max(machine.renewedAt, now);
  }

  private applyState(machine: Machine, report: WorkerReport, now: number): void {
    machine.seq = report.seq;
    machine.token = Math.max(machine.token, report.token);
    if (machine.asked && machine.token >= machine.asked.token) {
      machine.asked = null;
      machine.tokenConfirmedAt = now;
    }
    machine.endpoint = report.endpoint;
    machine.reported = true;
    machine.expired = false;
    machine.noticeUntil = report.noticeS === null ? null : now + report.noticeS * 1000;
  }

  private applyTask(machine: Machine, key: string, task: TaskReport, now: number): void {
    let attempt = machine.attempts.get(key);
    if (!attempt) {
      const job = this.findJob(task.job) ?? null;
      attempt = new TaskAttempt(machine, task.job, job, task.taskNumber, task.attempt, now);
      attempt.sent = true;
      attempt.found = task.state !== 'fetching' && task.state !== 'waiting';
      this.admit(attempt);
    }
    attempt.open = false;
    if (task.state === 'exited' && attempt.cause === null) attempt.cause = task.cause;
    this.become(attempt, task.state, now);
  }

  /**
   * The token for the answer to a report. Now and then it is raised, so that the next report tells whether
   * answers reach the machine at all: one that is heard, but deaf, would else look well until its lease ends.
   */
  ask(machine: Machine, now: number, everyMs: number): number {
    if (machine.asked) machine.asked.reports++;
    else {
      if (
        machine.token >= this.token(machine) &&
        !machine.inflight &&
        now - machine.tokenConfirmedAt > everyMs
      )
        this.raise(machine);
      if (machine.token < this.token(machine))
        machine.asked = { token: this.token(machine), since: now, reports: 0 };
    }
    return this.token(machine);
  }

  /** The request was surely not executed. */
  refused(entries: Iterable<TaskAttempt>, now: number): void {
    for (const attempt of entries)
      if (attempt.state === 'ordered' && attempt.open) this.drop(attempt, now);
  }

  /** Answered with 200: what is still open was executed, so a later report without it means that it is gone. */
  answered(entries: Iterable<TaskAttempt>): void {
    for (const attempt of entries) attempt.open = false;
  }

  /** No answer: the starts may be executed minutes later, until the machine shows a higher token. */
  unanswered(machine: Machine, entries: Iterable<TaskAttempt>): void {
    machine.fence = this.raise(machine);
    for (const attempt of entries) if (attempt.open) attempt.fence = machine.fence;
  }

  /** The worker's lease has surely run out, counted from the last answer that may have renewed it, a follower's included. */
  leaseOver(machine: Machine, keptUntil: number, now: number): boolean {
    return now - Math.max(machine.renewedAt, keptUntil) > this.leaseMs * DRIFT + 500;
  }

  expire(machine: Machine, now: number): void {
    this.dropAll(machine, now);
    if (machine.reported) {
      // Only a newer session counts from here: a held report of the old one tells of tasks that are dead.
      machine.session++;
      machine.seq = -1;
      machine.reportSeq = -1;
    }
    machine.renewedAt = now;
    machine.reported = false;
    machine.suspect = false;
    machine.expired = true;
  }

  remove(machine: Machine, now: number): void {
    this.dropAll(machine, now);
    this.settled(machine);
    this.byId.delete(machine.id);
  }
}
