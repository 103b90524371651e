/** A live job with the attempts of its tasks, as the leader knows it. */
import type { TaskAttempt } from '../workers/task-attempt.js';
import type { TrackedJob } from './tracked-job.js';

/** One live job in the leader's table. */
export type Job = TrackedJob<TaskAttempt>;
