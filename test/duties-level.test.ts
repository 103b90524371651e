/** Lowering the cluster's feature level below that of the duties: with open intents, and next to another feature. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BUILD } from '../src/build.js';
import { BATCH } from './sim/jobs.js';
import {
  LARGE_CLUSTER,
  RollingUpgrade,
  AUTOMATIC_ROLLOUT,
  submitArrays,
} from './sim/rolling-upgrade.js';

// A leader of a build without intents must not lead while an open intent may still delete a machine.
test('lowering the level below that of the duties waits for open intents, and the leader then rents without intents', async () => {
  const roll = new RollingUpgrade(19, BUILD, {
    ordinaryUp: 0,
    rollout: { ...AUTOMATIC_ROLLOUT, ungated_builds_retired: true },
    duties: { mode: 'on', lease_s: 2, settle_s: 3, rebalance_s: 15, retention_s: 10 },
  });
  const { state } = roll.cluster;
  await roll.reaches('stable', 3);
  await roll.until('the duty is held', () => state.items.has('duties/holders/rent'));
  await state.deleteAsOperator('duties/holders/rent');
  state.putDirectly('duties/holds/rent', { by: 'operator', sinceMs: 0 });
  submitArrays(roll);
  const open = (): number =>
    [...state.items].filter(([key, { value }]) => isOpenIntent(key, value)).length;
  await roll.until('an intent is open', () => open() > 0);
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
  await roll.assertStaysAt(3, 10);
  assert.equal(roll.level.state, 'lowering');
  const before = open();
  assert.equal(roll.cluster.cloud.machines.size, 0);
  await state.deleteAsOperator('duties/holds/rent');
  await roll.reaches('stable', 2);
  assert.deepEqual([before > 0, open()], [true, 0]);
  const intents = state.changesUnder('duties/intents/');
  await roll.finish();
  const rented = roll.cluster.cloud.machines.size;
  for (let i = 0; i < 10; i++)
    void roll.cluster.users.run(
      roll.cluster.users.newJob({ ...BATCH, tasks: 12, durationS: 8 }),
      null,
    );
  await roll.until('the leader rents', () => roll.cluster.cloud.machines.size > rented);
  assert.equal(
    state.changesUnder('duties/intents/'),
    intents,
    'no intent is opened below the level of the duties',
  );
});

// Records in a form that the lower level still uses must not be converted.
test('lowering the level below that of the duties leaves segments unchanged', async () => {
  const roll = new RollingUpgrade(20, BUILD, {
    ...LARGE_CLUSTER,
    rollout: { ...AUTOMATIC_ROLLOUT, ungated_builds_retired: true },
  });
  await roll.reaches('stable', 3);
  roll.submitLargeArray(8);
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
  await roll.reaches('stable', 2);
  assert.ok(roll.invariants.segments().length > 0);
  await roll.finish();
});

function isOpenIntent(key: string, value: unknown): boolean {
  return key.startsWith('duties/intents/') && (value as { outcome: unknown }).outcome === null;
}
