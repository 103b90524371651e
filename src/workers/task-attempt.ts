/** One attempt of a task on a machine, as the leader tracks it. */
import type { TrackedJob } from '../jobs/tracked-job.js';
import type { Transitions } from '../state-machine.js';
import type { ExitCause } from '../wire/model.js';
import type { StopRequest } from './stop-request.js';
import type { TrackedMachine } from './tracked-machine.js';

/**
 * - `starting`: a start was decided; it may be in flight.
 * - `fetching`, `waiting`, `running`, `saving`: as reported by the worker. `waiting`: only for gangs; the task has its
 *   image and waits for the other tasks.
 * - `fencing`: has exited without a result, was refused, or was lost by a machine that restarted, but the machine has not
 *   yet reported a token above that of the start. If it loses its tasks now, a late copy of the start command starts the
 *   task again, so that the task may not be started elsewhere yet.
 * - `exited`: no longer on the machine, which still reports the attempt until it receives a forget command.
 * - `removed`: guaranteed not to be on the machine, and not reported by it either: the attempt was never executed or
 *   was killed with its incarnation, or the machine no longer exists.
 */
export type AttemptState =
  'starting' | 'fetching' | 'waiting' | 'running' | 'saving' | 'fencing' | 'exited' | 'removed';

/** The allowed transitions. Reports that would cause any other are late, and are ignored. */
const TRANSITIONS: Transitions<AttemptState> = {
  starting: ['fetching', 'waiting', 'running', 'saving', 'fencing', 'exited', 'removed'],
  fetching: ['waiting', 'running', 'saving', 'fencing', 'exited', 'removed'],
  waiting: ['running', 'saving', 'fencing', 'exited', 'removed'],
  running: ['saving', 'fencing', 'exited', 'removed'],
  saving: ['fencing', 'exited', 'removed'],
  fencing: ['fetching', 'waiting', 'running', 'saving', 'exited', 'removed'],
  exited: [],
  removed: [],
};

/** Whether an attempt may change directly from one state to the other. */
export function isAllowedTransition(state: AttemptState, next: AttemptState): boolean {
  return TRANSITIONS[state].includes(next);
}

/** The key of an attempt in the attempts of its machine. */
export function attemptKey(jobId: string, taskNumber: number, attemptNumber: number): string {
  return `${jobId}/${taskNumber}/${attemptNumber}`;
}

/** An attempt of a task that may be on a machine. */
export class TaskAttempt {
  state: AttemptState = 'starting';
  cause: ExitCause | null = null;
  /** Whether the start was sent. It is sent only once. */
  startSent = false;
  /**
   * Token that the start was sent with, or an upper bound of it if another leader sent it. Once the machine has reported
   * a higher token, it executes no copy of the start.
   */
  startToken = 0;
  /** Whether the start may still be executed: it has no known response, or the attempt is `fencing`. */
  startUnacknowledged = true;
  /**
   * Set when the task is to be stopped, or a former leader has stopped it. Replaced only by `MachineTable.stop`, by a
   * stricter request.
   */
  stop: StopRequest | null = null;
  /** When `stop` was last sent in a request of its own; -Infinity if it was not. */
  stopSentAt = -Infinity;
  forgetSentAt = -Infinity;
  /**
   * Whether it is unknown when the attempt began to run: it was discovered in a heartbeat in a state after `fetching`
   * and `waiting`.
   */
  startTimeUnknown = false;
  /** When the attempt began to run; 0 if it does not run yet, or if `startTimeUnknown`. */
  runningSince = 0;
  /** When a gang task was first reported as waiting. */
  waitingSince = 0;

  constructor(
    readonly machine: TrackedMachine<TaskAttempt>,
    readonly jobId: string,
    /** Null if the job is not one of the live jobs. */
    readonly job: TrackedJob<TaskAttempt> | null,
    readonly taskNumber: number,
    /** A replaced task of a gang is started again under the same number. */
    readonly attemptNumber: number,
    readonly createdAt: number,
  ) {}

  /** Records that the start was sent with this token. */
  markStartSent(token: number): void {
    this.startSent = true;
    this.startToken = token;
  }

  /** Whether the machine refuses every copy of the start, because it has reported a higher token. */
  isFenced(): boolean {
    return this.startSent && this.machine.reportedToken > this.startToken;
  }

  /** Whether the attempt is neither exited nor removed. */
  mayBeOnMachine(): boolean {
    return this.state !== 'exited' && this.state !== 'removed';
  }
}
