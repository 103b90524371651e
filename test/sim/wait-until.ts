/** Waiting in real time. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

/** How often to look, and when to give up. */
export interface WaitOptions {
  everyMs: number;
  patienceMs: number;
}

/** No test asks how fast anything is: whoever waits for longer than this has a fault, not a slow machine. */
const PATIENCE_MS = 180_000;
const LOOK_MS = 50;

/** Fails, naming `what`, if it does not hold after a long while. */
export async function waitUntil(
  what: string,
  holds: () => Promise<boolean> | boolean,
  { everyMs, patienceMs }: WaitOptions = { everyMs: LOOK_MS, patienceMs: PATIENCE_MS },
): Promise<void> {
  const giveUpAt = performance.now() + patienceMs;
  while (performance.now() < giveUpAt) {
    if (await holds()) return;
    await delay(everyMs);
  }
  assert.fail(`in vain: ${what}`);
}
