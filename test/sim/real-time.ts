/** Runs simulated services in real time. */
import { setTimeout as delay } from 'node:timers/promises';
import type { VirtualClock } from './clock.js';

const STEP_MS = 10;

/** Advances virtual time with the monotonic clock until `stopped` returns true, and calls `check` after each event. */
export async function runInRealTime(
  clock: VirtualClock,
  stopped: () => boolean,
  check: () => void = () => undefined,
): Promise<void> {
  const startedAt = performance.now();
  while (!stopped()) {
    await clock.runUntil(performance.now() - startedAt, check);
    await delay(STEP_MS);
  }
}
