/** Determines when a requested machine must have booted. */
import type { Machine } from '../workers/machine.js';

/** Factor on the machine type's usual boot time. */
const BOOT_TIMEOUT_FACTOR = 2.3;
const BOOT_TIMEOUT_SLACK_MS = 5000;

/**
 * Whether the boot timeout has passed since the machine was requested, and no heartbeat of it is known to have
 * arrived. Always false for a machine that is being deleted, or that satisfied `mustHaveBooted` when it was added to
 * the table.
 */
export function hasBootTimedOut(machine: Machine, now: number): boolean {
  if (machine.reported || machine.stored || machine.leaseExpired || machine.deleting) return false;
  const timeoutMs = BOOT_TIMEOUT_FACTOR * machine.type.bootS * 1000 + BOOT_TIMEOUT_SLACK_MS;
  return now - (machine.rentedAt ?? now) > timeoutMs;
}

/** Whether a machine of this age that the cloud lists as running must already have sent heartbeats to a leader. */
export function mustHaveBooted(ageS: number, bootS: number): boolean {
  return ageS > BOOT_TIMEOUT_FACTOR * bootS;
}
