/** The state of one duty as one controller process holds it, or does not. */

/**
 * - `vacant`: this process does not hold the duty.
 * - `acquiring`: a claim is on its way.
 * - `held`: the lease surely lives, counted by this process's own steady clock.
 * - `suspended`: the lease may have ended, so nothing may be done; it may still turn out to live.
 * - `releasing`: handed over in order; nothing new is begun.
 * - `lost`: the duty ended without this process's doing.
 */
export type HolderState = 'vacant' | 'acquiring' | 'held' | 'suspended' | 'releasing' | 'lost';

const NEXT: Record<HolderState, readonly HolderState[]> = {
  vacant: ['acquiring'],
  acquiring: ['held', 'vacant'],
  held: ['suspended', 'releasing', 'lost'],
  suspended: ['held', 'releasing', 'lost'],
  releasing: ['vacant', 'lost'],
  lost: ['vacant'],
};

export function mayFollow(from: HolderState, to: HolderState): boolean {
  return NEXT[from].includes(to);
}
