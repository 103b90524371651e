/** One attempt of a task on a machine, as the leader tracks it. */
import type { TrackedJob } from '../jobs/tracked-job.js';
import type { Transitions } from '../state-machine.js';
import type { ExitCause } from '../wire/model.js';
import type { StopReason } from './stop-reason.js';
import type { TrackedMachine } from './tracked-machine.js';

/**
 * - `starting`: a start was decided; it may be in flight.
 * - `fetching`, `waiting`, `running`, `saving`: as reported. `waiting`: of a gang only; it has its image and waits for
 *   the other tasks.
 * - `exited`: not on the machine any more, but the machine still reports it until it is told to forget.
 * - `removed`: surely not on the machine, which does not report it either: never executed, killed with its incarnation,
 *   or the machine is gone.
 */
export type AttemptState =
  'starting' | 'fetching' | 'waiting' | 'running' | 'saving' | 'exited' | 'removed';

/** Reports of others are ignored: they are late. */
const TRANSITIONS: Transitions<AttemptState> = {
  starting: ['fetching', 'waiting', 'running', 'saving', 'exited', 'removed'],
  fetching: ['waiting', 'running', 'saving', 'exited', 'removed'],
  waiting: ['running', 'saving', 'exited', 'removed'],
  running: ['saving', 'exited', 'removed'],
  saving: ['exited', 'removed'],
  exited: [],
  removed: [],
};

/** Whether an attempt may go from one state directly to the other. */
export function isAllowedTransition(state: AttemptState, next: AttemptState): boolean {
  return TRANSITIONS[state].includes(next);
}

/** The name under which a machine lists an attempt. */
export function attemptKey(jobId: string, taskNumber: number, attempt: number): string {
  return `${jobId}/${taskNumber}/${attempt}`;
}

/** Why and how an attempt is to leave its machine. */
export interface StopRequest {
  /** Seconds that the task may take to save. */
  graceS: number;
  reason: StopReason;
  /** Of a gathering gang: only this task leaves its machine, and is started again under the same attempt. */
  replaced: boolean;
}

/** A task that may be on a machine. */
export class TaskAttempt {
  state: AttemptState = 'starting';
  cause: ExitCause | null = null;
  /** The start was sent; it is sent once, never again. */
  startSent = false;
  /** No answer to the start is known, so it may still be executed; see `fencedByToken`. */
  startUnacknowledged = true;
  /** With this token shown by the machine, an unanswered start can no longer be executed. */
  fencedByToken = 0;
  /** Set when the task is to go. */
  stop: StopRequest | null = null;
  stopSentAt = -Infinity;
  forgetSentAt = -Infinity;
  /** Not started by this leader: the machine told of it. */
  discovered = false;
  /** 0: not running yet, or it ran before we knew of it, so that its time is not known. */
  runningSince = 0;
  /** Of a waiting gang task: when it was first seen to wait. */
  waitingSince = 0;

  constructor(
    readonly machine: TrackedMachine<TaskAttempt>,
    readonly jobId: string,
    /** Null: the job is not among the live ones. */
    readonly job: TrackedJob<TaskAttempt> | null,
    readonly taskNumber: number,
    /** The attempt's number. A gang's replaced task is started again under the same one. */
    readonly attempt: number,
    readonly createdAt: number,
  ) {}

  onMachine(): boolean {
    return this.state !== 'exited' && this.state !== 'removed';
  }
}
