/** Waits for conditions in real time. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

/** Polling interval and timeout, in milliseconds. */
export interface WaitOptions {
  intervalMs: number;
  timeoutMs: number;
}

/** No test measures speed: a wait longer than this is caused by a fault, not by a slow machine. */
const TIMEOUT_MS = 180_000;
const POLL_INTERVAL_MS = 50;

/** Polls until the condition is true. Fails with the description if it is not true within the timeout. */
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
  assert.fail(`timed out waiting for: ${description}`);
}
