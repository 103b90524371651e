/** A machine with the attempts that may be on it, as the leader knows it. */
import type { TaskAttempt } from './task-attempt.js';
import type { TrackedMachine } from './tracked-machine.js';

/** One machine in the leader's table. */
export type Machine = TrackedMachine<TaskAttempt>;
