/** The leader's table of machines and of the task attempts that may be on them, rebuilt from worker reports. */
import type { Job } from '../jobs/job-table.js';
import type { MachineType, TaskReport, WorkerReport } from '../wire/model.js';
import { DRIFT } from '../runtime.js';
import { Machine } from './machine.js';
import { ATTEMPT_TRANSITIONS, type AttemptState, type StopRequest, TaskAttempt } from './task-attempt.js';

/** A start that no report shows may still be executed, unless the machine has shown the token that ends it. */
function mayStillStart(m: Machine, attempt: TaskAttempt): boolean {
  if (!attempt.open) return false;
  const inFlight = m.inflight?.attempts.has(attempt) === true;
  return inFlight || !attempt.sent || attempt.fence === 0 || m.token < attempt.fence;
}

export interface TableEvents {
  /** The task may now be on the machine. */
  attemptAdded(e: TaskAttempt): void;
  /** The task is surely not on the machine any more; `e.state` tells whether it exited or vanished. Told once. */
  attemptGone(e: TaskAttempt): void;
}

function isFetching(e: TaskAttempt): boolean {
  return e.state === 'ordered' || e.state === 'fetching';
}

function countFetch(e: TaskAttempt, sign: 1 | -1): void {
  if (!e.job) return;
  const { fetching } = e.machine;
  const n = (fetching.get(e.job.spec.image) ?? 0) + sign;
  if (n > 0) fetching.set(e.job.spec.image, n);
  else fetching.delete(e.job.spec.image);
}

const attemptKey = (job: string, taskNumber: number, attempt: number): string =>
  `${job}/${taskNumber}/${attempt}`;

/** The machine table and, on it, which tasks may be where: the paper's partition table, rebuilt from reports. */
export class MachineTable {
  private readonly byId = new Map<string, Machine>();
  private nextIndex = 0;
  /** Machines with orders to send at once; and all that have orders outstanding, to be looked at now and then. */
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

  add(id: string, endpoint: string, type: MachineType, zone: string, spot: boolean, now: number): Machine {
    const m = new Machine(this.nextIndex++, id, endpoint, type, zone, spot, this.baseToken, now);
    this.byId.set(id, m);
    return m;
  }

  token(m: Machine): number {
    return this.baseToken + m.bump;
  }

  raise(m: Machine): number {
    m.bump++;
    return this.token(m);
  }

  hold(
    m: Machine,
    jobId: string,
    job: Job | null,
    taskNumber: number,
    attempt: number,
    now: number,
  ): TaskAttempt {
    return this.admit(new TaskAttempt(m, jobId, job, taskNumber, attempt, now));
  }

  private admit(attempt: TaskAttempt): TaskAttempt {
    const { machine } = attempt;
    machine.attempts.set(attemptKey(attempt.jobId, attempt.taskNumber, attempt.attempt), attempt);
    this.occupy(attempt, 1);
    this.events.attemptAdded(attempt);
    this.mark(machine);
    return attempt;
  }

  /** Orders for the machine may be due. */
  mark(m: Machine): void {
    this.hot.add(m);
    this.due.add(m);
  }

  settled(m: Machine): void {
    this.hot.delete(m);
    this.due.delete(m);
  }

  /**
   * The task is to go; its worker is told until it does. A start that is still on its way meets a raised token,
   * once an answer to a report has brought that. A start that was never sent is dropped: it can't be anywhere.
   */
  stop(e: TaskAttempt, request: StopRequest, now: number): void {
    if (!e.sent) {
      this.drop(e, now);
      return;
    }
    if (e.stop) return;
    e.stop = request;
    if (e.open) this.raise(e.machine);
    this.mark(e.machine);
  }

  private occupy(e: TaskAttempt, sign: 1 | -1): void {
    if (!e.job) return;
    const { cpus, gpus, memoryGb } = e.job.spec;
    e.machine.usedCpus += sign * cpus;
    e.machine.usedGpus += sign * gpus;
    e.machine.usedMemory += sign * memoryGb;
    if (e.job.spec.kind === 'service') e.machine.services += sign;
    if (isFetching(e)) countFetch(e, sign);
  }

  /**
   * The one place where an attempt changes its state. What it occupies is released here alone, and the two final
   * states have no successor: whatever else tells later that the attempt is gone, such as the refusal of a start whose
   * machine has begun a new session meanwhile, releases nothing again.
   */
  private become(e: TaskAttempt, next: AttemptState, now: number): void {
    if (next === e.state || !ATTEMPT_TRANSITIONS[e.state].includes(next)) return;
    const isFinal = next === 'exited' || next === 'vanished';
    if (isFinal) this.occupy(e, -1);
    else if (isFetching(e) && next !== 'fetching') countFetch(e, -1);
    if (e.state === 'running' && e.job) e.job.running--;
    e.state = next;
    e.open = false;
    if (next === 'waiting' || next === 'running') this.hasImage(e, next, now);
    if (!isFinal) return;
    this.noteEmpty(e.machine, now);
    if (next === 'exited') this.due.add(e.machine);
    this.events.attemptGone(e);
  }

  /** The attempt has its image: it waits for its gang, or runs. */
  private hasImage(e: TaskAttempt, state: 'waiting' | 'running', now: number): void {
    if (e.job) e.machine.images.add(e.job.spec.image);
    if (state === 'waiting') {
      e.waitingSince = now;
      return;
    }
    if (e.job) e.job.running++;
    // A former leader's tasks are seen in the middle: timed from here they would make all others look slow.
    if (!e.found) e.runningSince = now;
  }

  private noteEmpty(m: Machine, now: number): void {
    for (const e of m.attempts.values()) if (e.onMachine()) return;
    m.emptySince = now;
  }

  /** Surely not on the machine: never executed, killed with its session, or the machine is gone. */
  drop(e: TaskAttempt, now: number): void {
    const key = attemptKey(e.jobId, e.taskNumber, e.attempt);
    // A gang's replacement has the same number: a late word of the task that it replaces must not remove it.
    if (e.machine.attempts.get(key) === e) e.machine.attempts.delete(key);
    this.become(e, 'vanished', now);
  }

  private dropAll(m: Machine, now: number): void {
    for (const e of [...m.attempts.values()]) this.drop(e, now);
  }

  /**
   * Takes a report over. A bad or older one changes nothing. An entry that the report lacks is dropped only
   * if its start cannot be executed any more: it was answered, or the machine has shown the raised token.
   */
  apply(m: Machine, r: WorkerReport, now: number): boolean {
    if (!this.holds(m)) return false;
    if (r.session < m.session || (r.session === m.session && r.seq <= m.seq)) return false;
    if (r.session > m.session) this.beginSession(m, r.session, now);
    this.applyState(m, r, now);
    const seen = new Set<string>();
    for (const task of r.tasks) {
      const key = attemptKey(task.job, task.taskNumber, task.attempt);
      seen.add(key);
      this.applyTask(m, key, task, now);
    }
    for (const [key, attempt] of m.attempts)
      if (!seen.has(key) && !mayStillStart(m, attempt)) this.drop(attempt, now);
    return true;
  }

  /** The worker has killed and forgotten everything, and refuses commands for the earlier session. */
  private beginSession(m: Machine, session: number, now: number): void {
    this.dropAll(m, now);
    m.session = session;
    m.reportSeq = -1;
    // The new session's own lease counts from its beginning, which was at the latest now.
    m.renewedAt = Math.max(m.renewedAt, now);
  }

  private applyState(m: Machine, r: WorkerReport, now: number): void {
    m.seq = r.seq;
    m.token = Math.max(m.token, r.token);
    if (m.asked && m.token >= m.asked.token) {
      m.asked = null;
      m.tokenConfirmedAt = now;
    }
    m.endpoint = r.endpoint;
    m.reported = true;
    m.expired = false;
    m.noticeUntil = r.noticeS === null ? null : now + r.noticeS * 1000;
  }

  private applyTask(m: Machine, key: string, task: TaskReport, now: number): void {
    let attempt = m.attempts.get(key);
    if (!attempt) {
      const job = this.findJob(task.job) ?? null;
      attempt = new TaskAttempt(m, task.job, job, task.taskNumber, task.attempt, now);
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
  ask(m: Machine, now: number, everyMs: number): number {
    if (m.asked) m.asked.reports++;
    else {
      if (m.token >= this.token(m) && !m.inflight && now - m.tokenConfirmedAt > everyMs) this.raise(m);
      if (m.token < this.token(m)) m.asked = { token: this.token(m), since: now, reports: 0 };
    }
    return this.token(m);
  }

  /** The request was surely not executed. */
  refused(entries: Iterable<TaskAttempt>, now: number): void {
    for (const e of entries) if (e.state === 'ordered' && e.open) this.drop(e, now);
  }

  /** Answered with 200: what is still open was executed, so a later report without it means that it is gone. */
  answered(entries: Iterable<TaskAttempt>): void {
    for (const e of entries) e.open = false;
  }

  /** No answer: the starts may be executed minutes later, until the machine shows a higher token. */
  unanswered(m: Machine, entries: Iterable<TaskAttempt>): void {
    m.fence = this.raise(m);
    for (const e of entries) if (e.open) e.fence = m.fence;
  }

  /** The worker's lease has surely run out, counted from the last answer, ours or a keeper's, that may have renewed it. */
  leaseOver(m: Machine, keptUntil: number, now: number): boolean {
    return now - Math.max(m.renewedAt, keptUntil) > this.leaseMs * DRIFT + 500;
  }

  expire(m: Machine, now: number): void {
    this.dropAll(m, now);
    if (m.reported) {
      // Only a newer session counts from here: a held report of the old one tells of tasks that are dead.
      m.session++;
      m.seq = -1;
      m.reportSeq = -1;
    }
    m.renewedAt = now;
    m.reported = false;
    m.suspect = false;
    m.expired = true;
  }

  remove(m: Machine, now: number): void {
    this.dropAll(m, now);
    this.settled(m);
    this.byId.delete(m.id);
  }
}
