/** The operators' settings of the duties. */
import type { Duty } from './duty.js';

/** Fields are named as in the operators' settings file. */
export interface DutySettings {
  /** `off`: the leader performs everything itself. */
  mode: 'off' | 'on';
  /** The duties that this controller may hold. */
  held_here: Duty[];
  /** How long a holder that is no longer heard keeps its duties. */
  lease_s: number;
  /** A controller counts as settled once it has been a member for so long; others go before one that has not. */
  settle_s: number;
  /** No controller gives up a duty for the sake of an even spread more often than this. */
  rebalance_s: number;
  /** How long the record of a finished action stays. */
  retention_s: number;
  /** How often counters are logged. */
  report_s: number;
}
