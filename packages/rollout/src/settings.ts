/** The operators' settings of the rollout. */

/** Fields are named as in the operators' settings file. */
export interface RolloutSettings {
  /**
   * `off`: controllers announce nothing, and the level stays as it is. `manual`: an operator raises it. `automatic`:
   * it is raised once all controllers have been able to for `soak_s`.
   */
  mode: 'off' | 'manual' | 'automatic';
  /** How long one set of processes must have been able to raise the level before it is raised by itself. */
  soak_s: number;
  /** A change without progress for so long is given up. */
  stall_s: number;
  /** A change is given up once a controller has started this often since it began. */
  restarts: number;
  /** How long an announcement outlives its process. */
  announcement_lease_s: number;
  /**
   * No build from before the rollout's gate can return: required for features that such a build would misread.
   */
  ungated_builds_retired: boolean;
}
