/** How much time a task is given to save when it is stopped to leave its machine. */
import type { JobSpec } from '../wire/model.js';

/**
 * Time in seconds: what the task needs to save, or 0 if it can't save or not all of that is left. A task that is given
 * less than it needs exits without saving, so no other values are of use.
 */
export function timeToSave(
  { checkpointS, saveS }: Pick<JobSpec, 'checkpointS' | 'saveS'>,
  timeLeftS = Infinity,
): number {
  const canSave = checkpointS > 0 && saveS <= timeLeftS;
  return canSave ? saveS : 0;
}
