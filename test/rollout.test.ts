/** Rolling upgrades of whole simulated clusters: builds that differ in their highest feature level, while jobs run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BATCH } from './sim/jobs.js';
import { encodeSubmission } from './sim/wire/users.js';
import {
  LARGE_CLUSTER,
  NAMES,
  NEW_BUILD,
  OLD_BUILD,
  LEVEL_CHANGE_S,
  RollingUpgrade,
  AUTOMATIC_ROLLOUT,
  submitArrays,
} from './sim/rolling-upgrade.js';

test('the level is raised automatically once every controller runs the new build, and not before', async () => {
  const roll = new RollingUpgrade(1, OLD_BUILD);
  await roll.cluster.run(6);
  submitArrays(roll);
  for (const name of NAMES) {
    await roll.assertStaysAt(1, 6);
    roll.replace(name, NEW_BUILD);
  }
  await roll.reaches('stable', 2);
  await roll.finish();
});

// Without the check of builds while the level is raised, the rolled-back controller could not serve at the new level.
for (const phase of ['preparing', 'activating'] as const)
  for (const role of ['follower', 'leader'] as const)
    test(`the rollback of a ${role} while ${phase} aborts the change, which starts again once it runs the new build`, async () => {
      const roll = new RollingUpgrade(2, NEW_BUILD);
      submitArrays(roll);
      await roll.reaches(phase, 1);
      const name = roll[role]();
      roll.replace(name, OLD_BUILD, 100);
      await roll.until('the change is aborted', () => roll.level.held !== null);
      assert.match(roll.level.held!.reason, new RegExp(`${name} runs build 0.0.9`));
      await roll.reaches('stable', 1);
      await roll.assertStaysAt(1, LEVEL_CHANGE_S);
      assert.ok(
        roll.cluster.node(name).rollout.mayServe(),
        'no record was written that it cannot read',
      );
      roll.replace(name, NEW_BUILD);
      await roll.reaches('stable', 2);
      await roll.finish();
    });

for (const role of ['follower', 'leader'] as const)
  test(`a ${role} that is rolled back after the level was raised serves nothing until the level is lowered`, async () => {
    const roll = new RollingUpgrade(3, NEW_BUILD, LARGE_CLUSTER);
    await roll.reaches('stable', 2);
    roll.submitLargeArray();
    await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
    const name = roll[role]();
    roll.replace(name, OLD_BUILD, 100);
    await roll.cluster.run(6);
    const node = roll.cluster.node(name);
    const health = node.health();
    assert.match(
      health.kind === 'unhealthy' ? health.reason : '',
      /level is 2, and this is build 0\.0\.9/,
    );
    const body = encodeSubmission(roll.cluster.users.newJob(BATCH));
    assert.equal((await node.api.submit(body)).status, 503);
    assert.equal((await node.api.poll('run-000001')).status, 503);
    assert.equal((await node.api.cancel('run-000001')).status, 503);
    assert.equal(node.handleHeartbeat(body).status, 503);
    // Even while the others are down, it is not elected.
    for (const other of NAMES) if (other !== name) roll.cluster.crash(other, 6000);
    for (let second = 0; second < 7; second++) {
      await roll.cluster.run(1);
      assert.notEqual(roll.cluster.leader(), name);
    }
    await roll.until('another controller leads', () => roll.cluster.leader() !== undefined);
    assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
    await roll.reaches('stable', 1);
    await roll.until('the controller serves again', () => node.health().kind === 'healthy');
    await roll.finish();
  });

test('the level is not raised while a controller is down, or after it has returned with the old build', async () => {
  const roll = new RollingUpgrade(4, OLD_BUILD);
  await roll.cluster.run(6);
  roll.cluster.crash('n2', 60_000);
  for (const name of ['n0', 'n1']) roll.replace(name, NEW_BUILD);
  submitArrays(roll);
  await roll.assertStaysAt(1, 55);
  assert.equal(roll.invariants.history.length, 0, 'no change was started');
  await roll.cluster.run(8);
  assert.ok(roll.cluster.node('n2').rollout.mayServe());
  await roll.assertStaysAt(1, LEVEL_CHANGE_S);
  roll.replace('n2', NEW_BUILD);
  await roll.reaches('stable', 2);
  await roll.finish();
});

// docs/safety.md: such a build cannot exclude itself, so it must treat the new form as missing information.
test('a build from before feature levels that returns as the leader continues jobs stored in the new form', async () => {
  const roll = new RollingUpgrade(5, NEW_BUILD, LARGE_CLUSTER);
  await roll.reaches('stable', 2);
  roll.submitLargeArray();
  submitArrays(roll, 2);
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  roll.cluster.ungated.add('n1');
  roll.cluster.crash('n1', 100);
  await roll.cluster.run(3);
  for (const name of ['n0', 'n2']) roll.cluster.crash(name, 7000);
  await roll.until('n1 leads', () => roll.cluster.leader() === 'n1', 7);
  await roll.finish();
  assert.deepEqual(roll.invariants.segments(), [], 'the records are removed with their job');
});

test('lowering converts stored records despite a crash of the leader, and is not reverted automatically', async () => {
  const roll = new RollingUpgrade(12, NEW_BUILD, LARGE_CLUSTER);
  await roll.reaches('stable', 2);
  roll.submitLargeArray();
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
  await roll.reaches('lowering', 2);
  roll.cluster.crash(roll.leader(), 300);
  await roll.reaches('stable', 1);
  await roll.assertStaysAt(1, LEVEL_CHANGE_S);
  await roll.finish();
});

test('if records do not fit in the older form, lowering is aborted and the reason names the job', async () => {
  const roll = new RollingUpgrade(13, NEW_BUILD, LARGE_CLUSTER);
  for (const name of NAMES) roll.cluster.overrides.set(name, { maxValueKb: 0.5 });
  for (const name of NAMES) roll.cluster.crash(name, 50);
  roll.cluster.state.bounds = { valueBytes: 512, txnOps: 12 };
  await roll.reaches('stable', 2);
  const job = roll.cluster.users.newJob({ ...BATCH, tasks: 9000, durationS: 0.5, team: 't0' });
  void roll.cluster.users.run(job, null);
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
  await roll.until('lowering is aborted', () => roll.level.state === 'stable');
  assert.equal(roll.level.active, 2);
  assert.match(roll.level.reason ?? '', new RegExp(`finished tasks of ${job.id} don't fit`));
  assert.equal(roll.cluster.state.tooLarge, 0);
  assert.deepEqual(roll.cluster.invariants.violations, []);
});

test('commands of operators work without a leader, and refusals state a reason', async () => {
  const roll = new RollingUpgrade(14, NEW_BUILD, {
    rollout: { ...AUTOMATIC_ROLLOUT, mode: 'manual' },
  });
  await roll.cluster.run(6);
  assert.deepEqual(await roll.runOperatorCommand('abort'), {
    kind: 'refused',
    reason: 'nothing is being raised: the level is stable',
  });
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'refused');
  roll.cluster.crash(roll.leader(), 8000);
  // The announcement of the process that has just ended still exists: the change waits for its successor.
  assert.equal((await roll.runOperatorCommand('activate')).kind, 'done');
  assert.equal(roll.cluster.leader(), undefined);
  assert.equal((await roll.runOperatorCommand('abort')).kind, 'done');
  await roll.reaches('stable', 1);
  await roll.until('all controllers are up', () => NAMES.every((name) => roll.cluster.isUp(name)));
  await roll.cluster.run(3);
  assert.equal((await roll.runOperatorCommand('activate')).kind, 'done');
  await roll.reaches('stable', 2);
  assert.deepEqual(roll.cluster.invariants.violations, []);
});
