/** The states of one duty in one controller process. */

/**
 * - `vacant`: this process does not hold the duty.
 * - `acquiring`: a claim was sent and its result is not known yet.
 * - `held`: the lease is guaranteed to be valid, by this process's own monotonic clock.
 * - `suspended`: the lease may have expired, so no action may be performed; it may still turn out to be valid.
 * - `releasing`: an orderly hand-over is in progress; no new action is started.
 * - `lost`: this process no longer holds the duty, without having released it.
 */
export type HolderState = 'vacant' | 'acquiring' | 'held' | 'suspended' | 'releasing' | 'lost';

const ALLOWED_TRANSITIONS: Record<HolderState, readonly HolderState[]> = {
  vacant: ['acquiring'],
  acquiring: ['held', 'vacant'],
  held: ['suspended', 'releasing', 'lost'],
  suspended: ['held', 'releasing', 'lost'],
  releasing: ['vacant', 'lost'],
  lost: ['vacant'],
};

/** Whether the state machine allows this transition. */
export function isAllowedTransition(from: HolderState, to: HolderState): boolean {
  return ALLOWED_TRANSITIONS[from].includes(to);
}
