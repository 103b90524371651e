/**
 * The leader's latest decisions on tasks, with what they rested on: a bounded list in memory that is written to the log
 * when an audit finds a fault, so that it can be traced without a log line for each start of a large fleet.
 */
import type { Log } from '../runtime.js';
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { QuotaStatus } from './team-usage.js';

/** Bounds memory and the size of one log line. */
const KEPT = 1024;
const WRITTEN = 100;

interface DecisionOnAttempt {
  at: number;
  team: string;
  task: string;
  attempt: number;
  machine: string;
}

/** A start with the team's use before it, a stop with its reason, or a release with the proof of it. */
export type Decision =
  | (DecisionOnAttempt & { kind: 'start'; usedCpus: number; unseenCpus: number; limitCpus: number })
  | (DecisionOnAttempt & { kind: 'found'; state: string })
  | (DecisionOnAttempt & { kind: 'stop'; reason: string })
  | (DecisionOnAttempt & { kind: 'gone'; state: string; cause: string | null; session: number });

function onAttempt(attempt: TaskAttempt, at: number): DecisionOnAttempt {
  return {
    at: Math.round(at),
    team: attempt.job?.spec.team ?? '',
    task: `${attempt.jobId}/${attempt.taskNumber}`,
    attempt: attempt.attempt,
    machine: attempt.machine.id,
  };
}

export class DecisionLog {
  private readonly decisions: Decision[] = [];
  private next = 0;

  constructor(private readonly log: Log) {}

  /** The standing is the team's before the start. */
  started(attempt: TaskAttempt, standing: QuotaStatus | undefined, at: number): void {
    this.note({
      ...onAttempt(attempt, at),
      kind: 'start',
      usedCpus: standing?.used.cpus ?? 0,
      unseenCpus: standing?.unconfirmed.cpus ?? 0,
      limitCpus: standing?.limit.cpus ?? 0,
    });
  }

  /** A report showed an attempt that this leader did not start. */
  found(attempt: TaskAttempt, at: number): void {
    this.note({ ...onAttempt(attempt, at), kind: 'found', state: attempt.state });
  }

  stopped(attempt: TaskAttempt, reason: string, at: number): void {
    this.note({ ...onAttempt(attempt, at), kind: 'stop', reason });
  }

  gone(attempt: TaskAttempt, at: number): void {
    const { state, cause, machine } = attempt;
    this.note({
      ...onAttempt(attempt, at),
      kind: 'gone',
      state,
      cause,
      session: machine.incarnation,
    });
  }

  /** The latest decisions on the team's tasks, oldest first. */
  recent(team: string): Decision[] {
    const inOrder = [...this.decisions.slice(this.next), ...this.decisions.slice(0, this.next)];
    return inOrder.filter((decision) => decision.team === team).slice(-WRITTEN);
  }

  private note(decision: Decision): void {
    this.decisions[this.next] = decision;
    this.next = (this.next + 1) % KEPT;
    this.log.debug(decision, 'decision');
  }
}
