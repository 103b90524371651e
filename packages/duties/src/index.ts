/** Duties, each performed by at most one controller at a time, under leases and fencing tokens. See docs/duties.md. */
export { DUTIES, type Duty, isDuty } from './duty.js';
export { type DutyHolder, type PerformResult } from './holder.js';
export { IntentLog, type IntentLogDependencies, type IntentResult } from './intent-log.js';
export { MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_REQUEST } from './limits.js';
export { type DutyCounters, DutyMember, type DutyMemberDependencies } from './member.js';
export {
  DutyOperator,
  type DutyOperatorDependencies,
  type DutyResult,
  type DutyStatus,
  type DutyStatusResult,
} from './operator.js';
export { type Permit, StaleTokenError } from './permit.js';
export type { DeleteResult, MachineProvider, RentResult } from './provider.js';
export {
  INTENTS_PREFIX,
  type Intent,
  type IntentAction,
  intentKey,
  type Outcome,
  type RentAction,
} from './records.js';
export { type DutySettings } from './settings.js';
export { type Versioned } from './view.js';
