/** The operators' settings for the duties. */
import type { Duty } from './duty.js';

/** Fields are named as in the operators' settings file. */
export interface DutySettings {
  /** `off`: the leader performs everything itself. */
  mode: 'off' | 'on';
  /** The duties that this controller may hold. */
  held_here: Duty[];
  /** Lease duration in seconds: the time for which an unreachable holder keeps its duties. */
  lease_s: number;
  /**
   * Time in seconds after which a member counts as settled. Settled members acquire duties before those that are not.
   */
  settle_s: number;
  /** Minimum time in seconds between two hand-overs that one controller makes to balance the load. */
  rebalance_s: number;
  /** Time in seconds for which the record of a resolved intent is kept. */
  retention_s: number;
  /** Interval in seconds at which counters are logged. */
  report_s: number;
}
