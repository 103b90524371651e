/** Duty groups to begin with, and steps that several tests take with them. */
import assert from 'node:assert/strict';
import type { IntentResult } from '@millring/duties';
import { DutyGroup, type DutyGroupConfig } from './duty-group.js';

/** All duties are held. */
export async function settledGroup(
  seed: number,
  config: Partial<DutyGroupConfig> = {},
): Promise<DutyGroup> {
  const group = new DutyGroup({ seed, ...config });
  await group.settled();
  return group;
}

/** Rents some machines, to be given back. */
export async function withMachines(group: DutyGroup, count: number): Promise<string[]> {
  let opened: IntentResult | null = null;
  void group.rent(count).then((result) => (opened = result));
  await group.until('machines are rented', () => opened !== null);
  return [...group.provider.machines];
}

/** What the intent came to. */
export async function resolved(
  group: DutyGroup,
  opened: Promise<IntentResult>,
): Promise<IntentResult> {
  let result: IntentResult | null = null;
  void opened.then((r) => (result = r));
  await group.until('the intent is followed to its end', () => result !== null);
  return result ?? assert.fail();
}
