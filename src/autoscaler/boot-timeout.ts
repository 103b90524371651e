/** When a machine that was requested should be up. */
import type { Machine } from '../workers/machine.js';

/** Of the machine type's usual boot time. */
const BOOT_TIMEOUT_FACTOR = 2.3;
const BOOT_TIMEOUT_SLACK_MS = 5000;

/** Requested long ago, and neither heard nor listed as running since. */
export function hasBootTimedOut(machine: Machine, now: number): boolean {
  if (machine.reported || machine.stored || machine.leaseExpired || machine.deleting) return false;
  const timeoutMs = BOOT_TIMEOUT_FACTOR * machine.type.bootS * 1000 + BOOT_TIMEOUT_SLACK_MS;
  return now - (machine.rentedAt ?? now) > timeoutMs;
}

/** At this age a machine that the cloud lists as running must have been heard by some leader. */
export function mustHaveBooted(ageS: number, bootS: number): boolean {
  return ageS > BOOT_TIMEOUT_FACTOR * bootS;
}
