/** Why the leader stops an attempt. */

/** Stops that only the scheduler's own bookkeeping and the job's cancellation call for. */
type ObsoleteAttemptReason =
  'unknown-job' | 'job-cancelled' | 'finished-elsewhere' | 'duplicate-attempt';

/** Stops that make capacity or quota available to other work. */
type PreemptionReason = 'preempted' | 'preempted-within-team';

/** Stops that move a task to another machine. */
type RelocationReason = 'machine-drained' | 'moved-off-straggler' | 'gang-moved-off-straggler';

/** Stops of all tasks of a gang that can't run as a whole. */
type GangAbortReason =
  'gang-member-lost' | 'gang-member-unschedulable' | 'gang-start-timeout' | 'gang-attempt-aborted';

/** Written to the log with each stop; workers are not told it. */
export type StopReason =
  ObsoleteAttemptReason | PreemptionReason | RelocationReason | GangAbortReason;
