/** Applies the reports of workers to the machine table. */
import type { Job } from '../jobs/job.js';
import type { Heartbeat, TaskStatus } from '../wire/model.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';
import { type FencingTokens, recordReportedToken } from './fencing-tokens.js';
import type { Machine } from './machine.js';
import type { StopRequest } from './stop-request.js';
import { TaskAttempt, attemptKey } from './task-attempt.js';

/** Applies heartbeats in the order in which workers sent them. Each heartbeat lists all attempts on its machine. */
export class HeartbeatApplier {
  constructor(
    private readonly lifecycle: AttemptLifecycle,
    private readonly tokens: FencingTokens,
    private readonly findJob: (id: string) => Job | undefined,
  ) {}

  /**
   * Returns false, and changes nothing, for a heartbeat that is not newer than the last. An attempt that the heartbeat
   * does not list is removed only if its start can no longer be executed, not even by a late copy of the command.
   */
  apply(machine: Machine, heartbeat: Heartbeat, now: number): boolean {
    if (!isNewer(heartbeat, machine, machine.lastAppliedSequence)) return false;
    if (heartbeat.incarnation > machine.incarnation)
      this.beginIncarnation(machine, heartbeat.incarnation, now);
    applyMachineStatus(machine, heartbeat, now);
    const reportedKeys = new Set<string>();
    for (const task of heartbeat.tasks) {
      const key = attemptKey(task.job, task.taskNumber, task.attempt);
      reportedKeys.add(key);
      this.applyTaskStatus(machine, key, task, now);
    }
    for (const [key, attempt] of machine.attempts)
      if (!reportedKeys.has(key)) this.handleMissing(attempt, now);
    return true;
  }

  /**
   * Removes a missing attempt that can't be started any more. Fences one that was on the machine and that it was not told
   * to forget: the machine has restarted without its tasks, and a late copy of the start command would start it again.
   */
  private handleMissing(attempt: TaskAttempt, now: number): void {
    if (!mayStillStart(attempt)) this.lifecycle.remove(attempt, now);
    else if (!attempt.startUnacknowledged) this.fence(attempt, now);
  }

  /** Has the machine report a token above that of the attempt's start; until then, the task may be on the machine. */
  private fence(attempt: TaskAttempt, now: number): void {
    this.lifecycle.transitionTo(attempt, 'fencing', now);
    this.tokens.ensureAbove(attempt.machine, attempt.startToken);
  }

  /**
   * Removes all attempts: a worker that begins a new incarnation has killed and forgotten all tasks, and refuses
   * commands for the earlier one.
   */
  private beginIncarnation(machine: Machine, incarnation: number, now: number): void {
    this.lifecycle.removeAll(machine, now);
    machine.incarnation = incarnation;
    machine.lastRequestSequence = -1;
    // The lease of the new incarnation counts from its beginning, which was no later than now.
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
  }

  private applyTaskStatus(machine: Machine, key: string, task: TaskStatus, now: number): void {
    const attempt = machine.attempts.get(key) ?? this.discover(machine, task, now);
    if (task.state === 'exited') {
      this.applyExit(attempt, task, now);
      return;
    }
    // Before it was fenced, a late copy of the start may have started it again.
    if (attempt.state === 'fencing') attempt.cause = null;
    attempt.startUnacknowledged = false;
    this.lifecycle.transitionTo(attempt, task.state, now);
    // A task saves only if it was told to stop. Its new leader must neither stop it again with less time, nor start
    // anything in its favour: it is leaving already.
    if (attempt.state === 'saving' && attempt.job) attempt.stop ??= stopByFormerLeader(attempt.job);
  }

  /**
   * An attempt whose task will be started again has left the machine only once no copy of its start can be executed. A
   * task that is done ends at once wherever it is started again.
   */
  private applyExit(attempt: TaskAttempt, { cause }: TaskStatus, now: number): void {
    if (!attempt.mayBeOnMachine()) return;
    attempt.cause ??= cause;
    const isRestartable = attempt.job !== null && attempt.cause !== 'done';
    if (isRestartable && !attempt.isFenced()) this.fence(attempt, now);
    else this.lifecycle.transitionTo(attempt, 'exited', now);
  }

  /** Adds an attempt that the table does not have: a former leader started it, or this leader removed it before. */
  private discover(machine: Machine, task: TaskStatus, now: number): TaskAttempt {
    const job = this.findJob(task.job) ?? null;
    const attempt = new TaskAttempt(machine, task.job, job, task.taskNumber, task.attempt, now);
    // The start was executed, so that its token is not above the highest one that the machine has seen.
    attempt.markStartSent(machine.reportedToken);
    attempt.startTimeUnknown = task.state !== 'fetching' && task.state !== 'waiting';
    return this.lifecycle.insert(attempt);
  }
}

/** Whether a heartbeat is newer than the one with the sequence number `lastSequence` in the machine's incarnation. */
export function isNewer(
  heartbeat: Heartbeat,
  machine: { incarnation: number },
  lastSequence: number,
): boolean {
  if (heartbeat.incarnation !== machine.incarnation)
    return heartbeat.incarnation > machine.incarnation;
  return heartbeat.sequence > lastSequence;
}

/** The stop that a task which saves was given before this leader's term, as far as it is known. */
function stopByFormerLeader(job: Job): StopRequest {
  return { graceS: job.spec.saveS, reason: 'stopped-by-former-leader', replaced: false };
}

function applyMachineStatus(machine: Machine, heartbeat: Heartbeat, now: number): void {
  const { preemptionNoticeS } = heartbeat;
  machine.lastAppliedSequence = heartbeat.sequence;
  recordReportedToken(machine, heartbeat.token, now);
  machine.endpoint = heartbeat.endpoint;
  machine.reported = true;
  machine.leaseExpired = false;
  machine.preemptionDeadline = preemptionNoticeS === null ? null : now + preemptionNoticeS * 1000;
}

/** Whether the start of an attempt that the heartbeat does not list may still be executed. */
function mayStillStart(attempt: TaskAttempt): boolean {
  if (!attempt.mayBeOnMachine()) return false;
  const inFlight = attempt.machine.inFlight?.attempts.has(attempt) === true;
  return inFlight || !attempt.isFenced();
}
