/** Initial duty groups, and steps that several tests share. */
import assert from 'node:assert/strict';
import type { Duty, IntentResult } from '@millring/duties';
import { DutyGroup, type DutyGroupConfig } from './duty-group.js';

/** Returns a group in which all duties are held. */
export async function settledGroup(
  seed: number,
  config: Partial<DutyGroupConfig> = {},
): Promise<DutyGroup> {
  const group = new DutyGroup({ seed, ...config });
  await group.untilAllHeld();
  return group;
}

/** Rents machines for tests to delete. Returns the names of all the provider's machines. */
export async function rentMachines(group: DutyGroup, count: number): Promise<string[]> {
  let opened: IntentResult | null = null;
  void group.rent(count).then((result) => (opened = result));
  await group.until('machines are rented', () => opened !== null);
  return [...group.provider.machines];
}

/** Waits for the result of an intent. */
export async function untilResolved(
  group: DutyGroup,
  opened: Promise<IntentResult>,
): Promise<IntentResult> {
  let result: IntentResult | null = null;
  void opened.then((r) => (result = r));
  await group.until('the intent has a result', () => result !== null);
  return result ?? assert.fail();
}

/** Asserts that the controller `old` logged the loss of the duty, followed by `vacant`, the state of any non-holder. */
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
