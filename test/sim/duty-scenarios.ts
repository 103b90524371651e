/** Duty groups to begin with, and steps that several tests take with them. */
import assert from 'node:assert/strict';
import type { Duty, IntentResult } from '@millring/duties';
import { DutyGroup, type DutyGroupConfig } from './duty-group.js';

/** All duties are held. */
export async function settledGroup(
  seed: number,
  config: Partial<DutyGroupConfig> = {},
): Promise<DutyGroup> {
  const group = new DutyGroup({ seed, ...config });
  await group.untilAllHeld();
  return group;
}

/** Rents some machines, to be given back. */
export async function rentMachines(group: DutyGroup, count: number): Promise<string[]> {
  let opened: IntentResult | null = null;
  void group.rent(count).then((result) => (opened = result));
  await group.until('machines are rented', () => opened !== null);
  return [...group.provider.machines];
}

/** What the intent came to. */
export async function untilResolved(
  group: DutyGroup,
  opened: Promise<IntentResult>,
): Promise<IntentResult> {
  let result: IntentResult | null = null;
  void opened.then((r) => (result = r));
  await group.until('the intent is followed to its end', () => result !== null);
  return result ?? assert.fail();
}

/** The old holder noticed that it lost the duty, and counts as any other since. */
export function assertLossNoticed(group: DutyGroup, old: string, duty: Duty): void {
  const states = group.logLines
    .filter(
      ({ name, text, fields }) =>
        name === old && text === 'duty state changed' && 'duty' in fields && fields.duty === duty,
    )
    .map(({ fields }) => (fields as { to: string }).to);
  const lost = states.indexOf('lost');
  assert.ok(lost > 0, states.join(', '));
  assert.equal(states[lost + 1], 'vacant');
}

// Guards: the check of the holder by its own steady clock, and the loss of the duty once the record names another.
