/**
 * The leader's latest decisions on tasks, with the data they were based on: a bounded list in memory that is written to
 * the log when an audit finds a violation. The violation can then be traced without an info line for each start in a
 * large fleet.
 */
import type { Log } from '../runtime.js';
import type { ExitCause } from '../wire/model.js';
import type { StopReason } from '../workers/stop-reason.js';
import type { StopRequest } from '../workers/stop-request.js';
import type { AttemptState, TaskAttempt } from '../workers/task-attempt.js';
import type { QuotaStatus } from './team-usage.js';

const MAX_DECISIONS_KEPT = 1024;
/** Bounds the size of one log line. */
const MAX_DECISIONS_IN_LOG = 100;

interface DecisionOnAttempt {
  at: number;
  team: string;
  task: string;
  attempt: number;
  machine: string;
}

/**
 * A start with the team's usage before it, an attempt discovered in a heartbeat, a stop with its reason, or the end of
 * an attempt with the data that proves it.
 */
export type Decision =
  | (DecisionOnAttempt & {
      kind: 'start';
      usedCpus: number;
      unconfirmedCpus: number;
      limitCpus: number;
    })
  | (DecisionOnAttempt & { kind: 'discovered'; state: AttemptState })
  | (DecisionOnAttempt & {
      kind: 'stop';
      reason: StopReason;
      graceS: number;
      /** The reason of the stop that this one replaces; null if there was none. */
      earlierReason: StopReason | null;
    })
  | (DecisionOnAttempt & {
      kind: 'end';
      state: AttemptState;
      cause: ExitCause | null;
      incarnation: number;
    });

function attemptFields(attempt: TaskAttempt, at: number): DecisionOnAttempt {
  return {
    at: Math.round(at),
    team: attempt.job?.spec.team ?? '',
    task: `${attempt.jobId}/${attempt.taskNumber}`,
    attempt: attempt.attemptNumber,
    machine: attempt.machine.id,
  };
}

/** Records decisions in a ring buffer, and writes each to the debug log. */
export class DecisionLog {
  private readonly decisions: Decision[] = [];
  private nextSlot = 0;

  constructor(private readonly log: Log) {}

  /** Records a start; `status` is the quota status of the team before it. */
  started(attempt: TaskAttempt, status: QuotaStatus | undefined, at: number): void {
    this.record({
      ...attemptFields(attempt, at),
      kind: 'start',
      usedCpus: status?.used.cpus ?? 0,
      unconfirmedCpus: status?.unconfirmed.cpus ?? 0,
      limitCpus: status?.limit.cpus ?? 0,
    });
  }

  /**
   * Records an attempt that a heartbeat reported and that was not in the machine table: a former leader started it, or
   * this leader had removed it. Unlike `TaskAttempt.startTimeUnknown`, this includes attempts that are fetching or
   * waiting.
   */
  discovered(attempt: TaskAttempt, at: number): void {
    this.record({ ...attemptFields(attempt, at), kind: 'discovered', state: attempt.state });
  }

  /** Records a stop; `earlier` is the one that it replaces, or null. */
  stopped(
    attempt: TaskAttempt,
    { reason, graceS }: StopRequest,
    earlier: StopRequest | null,
    at: number,
  ): void {
    const earlierReason = earlier?.reason ?? null;
    this.record({ ...attemptFields(attempt, at), kind: 'stop', reason, graceS, earlierReason });
  }

  /** Records that the attempt is on no machine any more; its state and the machine's incarnation prove it. */
  ended(attempt: TaskAttempt, at: number): void {
    const { state, cause, machine } = attempt;
    this.record({
      ...attemptFields(attempt, at),
      kind: 'end',
      state,
      cause,
      incarnation: machine.incarnation,
    });
  }

  /** The latest decisions on the team's tasks, oldest first. */
  recent(team: string): Decision[] {
    const inOrder = [
      ...this.decisions.slice(this.nextSlot),
      ...this.decisions.slice(0, this.nextSlot),
    ];
    return inOrder.filter((decision) => decision.team === team).slice(-MAX_DECISIONS_IN_LOG);
  }

  private record(decision: Decision): void {
    this.decisions[this.nextSlot] = decision;
    this.nextSlot = (this.nextSlot + 1) % MAX_DECISIONS_KEPT;
    this.log.debug(decision, 'scheduling decision');
  }
}
