/** Detects attempts that machines report although they are no longer needed. */
import type { StopReason } from '../workers/stop-reason.js';
import type { TaskAttempt } from '../workers/task-attempt.js';

/** Reason why a reported attempt has to stop; null if it may continue. */
export function obsoleteReason(attempt: TaskAttempt): StopReason | null {
  const { job, taskNumber } = attempt;
  if (!job) return 'unknown-job';
  if (job.jobCancelled) return 'job-cancelled';
  if (job.isFinished(taskNumber) && job.spec.kind !== 'gang') return 'finished-elsewhere';
  return isDuplicate(attempt, job.attempts.get(taskNumber)) ? 'duplicate-attempt' : null;
}

/**
 * Whether the attempt duplicates the oldest attempt of its task, which is kept. A late heartbeat of a machine that no
 * longer exists may report one of the two, so they count as duplicates only once both machines are reconciled.
 */
function isDuplicate(attempt: TaskAttempt, attemptsOfTask: TaskAttempt[] | undefined): boolean {
  if (!attemptsOfTask || attemptsOfTask.length < 2) return false;
  const oldest = attemptsOfTask[0];
  if (oldest === attempt) return false;
  return oldest.machine.isReconciled() && attempt.machine.isReconciled();
}
