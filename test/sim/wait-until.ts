/** Waiting in real time. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

/** How often to look, and when to give up. */
export interface WaitOptions {
  intervalMs: number;
  timeoutMs: number;
}

/** No test asks how fast anything is: whoever waits for longer than this has a fault, not a slow machine. */
const TIMEOUT_MS = 180_000;
const POLL_INTERVAL_MS = 50;

/** Fails, naming `what`, if it does not hold after a long while. */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  { intervalMs, timeoutMs }: WaitOptions = { intervalMs: POLL_INTERVAL_MS, timeoutMs: TIMEOUT_MS },
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return;
    await delay(intervalMs);
  }
  assert.fail(`in vain: ${description}`);
}
