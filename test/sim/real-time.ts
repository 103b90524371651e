/** Runs the stand-ins in real time. */
import { setTimeout as delay } from 'node:timers/promises';
import type { VirtualClock } from './clock.js';

const STEP_MS = 10;

/** Virtual time follows the steady clock until `stopped`. */
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
