/** Lowering the feature level below the one that duties need: with open intents, and next to another feature. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BUILD } from '../src/build.js';
import { BATCH } from './sim/jobs.js';
import {
  LARGE_CLUSTER,
  RollingUpgrade,
  ROLLOUT_SETTINGS,
  submitArrays,
} from './sim/rolling-upgrade.js';

// A leader of a build without intents must not lead while an open intent may still delete a machine.
test('lowering the feature level below the one that duties need waits for open intents, and the leader then rents without intents', async () => {
  const upgrade = new RollingUpgrade(19, BUILD, {
    ordinaryUp: 0,
    rollout: { ...ROLLOUT_SETTINGS, ungated_builds_retired: true },
    duties: { mode: 'on', lease_s: 2, settle_s: 3, rebalance_s: 15, retention_s: 10 },
  });
  const { state } = upgrade.cluster;
  await upgrade.reaches('stable', 3);
  await upgrade.until('the duty is held', () => state.items.has('duties/holders/rent'));
  await state.deleteAsOperator('duties/holders/rent');
  state.putDirectly('duties/holds/rent', { by: 'operator', sinceMs: 0 });
  submitArrays(upgrade);
  const open = (): number =>
    [...state.items].filter(([key, { value }]) => isOpenIntent(key, value)).length;
  await upgrade.until('an intent is open', () => open() > 0);
  assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'done');
  await upgrade.staysAt(3, 10);
  assert.equal(upgrade.level.state, 'lowering');
  const openBefore = open();
  assert.equal(upgrade.cluster.cloud.machines.size, 0);
  await state.deleteAsOperator('duties/holds/rent');
  await upgrade.reaches('stable', 2);
  assert.deepEqual([openBefore > 0, open()], [true, 0]);
  const intents = state.changesUnder('duties/intents/');
  await upgrade.finish();
  const rented = upgrade.cluster.cloud.machines.size;
  for (let i = 0; i < 10; i++)
    void upgrade.cluster.users.run(
      upgrade.cluster.users.newJob({ ...BATCH, tasks: 12, durationS: 8 }),
      null,
    );
  await upgrade.until('the leader rents', () => upgrade.cluster.cloud.machines.size > rented);
  assert.equal(
    state.changesUnder('duties/intents/'),
    intents,
    'no intent is opened below the level that duties need',
  );
});

// Records in a layout that the lower level supports must not be converted.
test('lowering the feature level below the one that duties need leaves segments unchanged', async () => {
  const upgrade = new RollingUpgrade(20, BUILD, {
    ...LARGE_CLUSTER,
    rollout: { ...ROLLOUT_SETTINGS, ungated_builds_retired: true },
  });
  await upgrade.reaches('stable', 3);
  upgrade.submitLargeArray(8);
  await upgrade.until('segments are stored', () => upgrade.invariants.segments().length > 0);
  assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'done');
  await upgrade.reaches('stable', 2);
  assert.ok(upgrade.invariants.segments().length > 0);
  await upgrade.finish();
});

function isOpenIntent(key: string, value: unknown): boolean {
  return key.startsWith('duties/intents/') && (value as { outcome: unknown }).outcome === null;
}
