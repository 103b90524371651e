/** The operators' settings of the rollout. */

/** The settings, with the field names of the operators' settings file. */
export interface RolloutSettings {
  /**
   * `off`: controllers announce nothing, and the level remains unchanged. `manual`: an operator raises the level.
   * `automatic`: the leader raises the level once all controllers have been able to raise it for `soak_s`.
   */
  mode: 'off' | 'manual' | 'automatic';
  /**
   * Time in seconds for which one set of processes must have been able to raise the level before it is raised
   * automatically.
   */
  soak_s: number;
  /** Time in seconds after which a change of the level without progress is abandoned. */
  stall_s: number;
  /** A raise of the level is aborted once a controller has restarted this many times since the raise began. */
  restarts: number;
  /** Duration of an announcement's lease in seconds, for which the announcement can outlive its process. */
  announcement_lease_s: number;
  /**
   * Whether it is guaranteed that no build without feature levels, which does not check the cluster's level, can
   * return. Required for features that such a build would misread.
   */
  ungated_builds_retired: boolean;
}
