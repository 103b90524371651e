/** The states of one duty at one controller process. */

/**
 * - `vacant`: this process does not hold the duty.
 * - `acquiring`: a claim is on its way.
 * - `held`: the lease is surely valid, counted by this process's own steady clock.
 * - `suspended`: the lease may have expired, so nothing may be done; it may still turn out to be valid.
 * - `releasing`: handed over in order; nothing new is begun.
 * - `lost`: the duty ended without this process's doing.
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

/** Whether the state machine has this transition. */
export function isAllowedTransition(from: HolderState, to: HolderState): boolean {
  return ALLOWED_TRANSITIONS[from].includes(to);
}
