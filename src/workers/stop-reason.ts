/** The reasons for which the leader stops an attempt. */

/** Stops of attempts that are not needed any more: unknown, duplicate, already finished elsewhere, or cancelled. */
const OBSOLETE_ATTEMPT_REASONS = [
  'unknown-job',
  'job-cancelled',
  'finished-elsewhere',
  'duplicate-attempt',
] as const;
type ObsoleteAttemptReason = (typeof OBSOLETE_ATTEMPT_REASONS)[number];

/** Stops that make capacity or quota available to other work. */
type PreemptionReason = 'preempted' | 'preempted-within-team';

/**
 * Stops that move a task to another machine. `stopped-by-former-leader`: a worker reports that the task saves, so a
 * former leader has stopped it, most likely to move it.
 */
type RelocationReason =
  | 'machine-drained'
  | 'moved-off-straggler'
  | 'gang-moved-off-straggler'
  | 'stopped-by-former-leader';

/** Stops of all tasks of a gang that can't run as a whole. */
type GangAbortReason =
  'gang-member-lost' | 'gang-member-unschedulable' | 'gang-start-timeout' | 'gang-attempt-aborted';

/** Logged with each stop; it is not sent to workers. */
export type StopReason =
  ObsoleteAttemptReason | PreemptionReason | RelocationReason | GangAbortReason;

const DISCARDING: ReadonlySet<StopReason> = new Set(OBSOLETE_ATTEMPT_REASONS);

/** Whether nobody has any use for the progress of a task that is stopped for this reason. */
export function discardsProgress(reason: StopReason): boolean {
  return DISCARDING.has(reason);
}
