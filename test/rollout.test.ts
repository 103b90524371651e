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
  ROLLOUT_SETTINGS,
  submitArrays,
} from './sim/rolling-upgrade.js';

test('the level is raised automatically once every controller runs the new build, and not before', async () => {
  const upgrade = new RollingUpgrade(1, OLD_BUILD);
  await upgrade.cluster.run(6);
  submitArrays(upgrade);
  for (const name of NAMES) {
    await upgrade.staysAt(1, 6);
    upgrade.replace(name, NEW_BUILD);
  }
  await upgrade.reaches('stable', 2);
  await upgrade.finish();
});

// Without the check of builds while the level is raised, the rolled-back controller could not serve at the new level.
for (const phase of ['preparing', 'activating'] as const)
  for (const role of ['follower', 'leader'] as const)
    test(`the rollback of a ${role} while ${phase} aborts the change, which starts again once it runs the new build`, async () => {
      const upgrade = new RollingUpgrade(2, NEW_BUILD);
      submitArrays(upgrade);
      await upgrade.reaches(phase, 1);
      const name = upgrade[role]();
      upgrade.replace(name, OLD_BUILD, 100);
      await upgrade.until('the change is aborted', () => upgrade.level.held !== null);
      assert.match(upgrade.level.held!.reason, new RegExp(`${name} runs build 0.0.9`));
      await upgrade.reaches('stable', 1);
      await upgrade.staysAt(1, LEVEL_CHANGE_S);
      assert.ok(
        upgrade.cluster.node(name).rollout.mayServe(),
        'no record was written that it cannot read',
      );
      upgrade.replace(name, NEW_BUILD);
      await upgrade.reaches('stable', 2);
      await upgrade.finish();
    });

for (const role of ['follower', 'leader'] as const)
  test(`a ${role} that is rolled back after the level was raised serves nothing until the level is lowered`, async () => {
    const upgrade = new RollingUpgrade(3, NEW_BUILD, LARGE_CLUSTER);
    await upgrade.reaches('stable', 2);
    upgrade.submitLargeArray();
    await upgrade.until('segments are stored', () => upgrade.invariants.segments().length > 0);
    const name = upgrade[role]();
    upgrade.replace(name, OLD_BUILD, 100);
    await upgrade.cluster.run(6);
    const node = upgrade.cluster.node(name);
    const health = node.health();
    assert.match(
      health.kind === 'unhealthy' ? health.reason : '',
      /level is 2, and this is build 0\.0\.9/,
    );
    const body = encodeSubmission(upgrade.cluster.users.newJob(BATCH));
    assert.equal((await node.api.submit(body)).status, 503);
    assert.equal((await node.api.poll('run-000001')).status, 503);
    assert.equal((await node.api.cancel('run-000001')).status, 503);
    assert.equal(node.handleHeartbeat(body).status, 503);
    // Even while the others are down, it is not elected.
    for (const other of NAMES) if (other !== name) upgrade.cluster.crash(other, 6000);
    for (let second = 0; second < 7; second++) {
      await upgrade.cluster.run(1);
      assert.notEqual(upgrade.cluster.leader(), name);
    }
    await upgrade.until('another controller leads', () => upgrade.cluster.leader() !== undefined);
    assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'done');
    await upgrade.reaches('stable', 1);
    await upgrade.until('the controller serves again', () => node.health().kind === 'healthy');
    await upgrade.finish();
  });

test('the level is not raised while a controller is down, or after it has returned with the old build', async () => {
  const upgrade = new RollingUpgrade(4, OLD_BUILD);
  await upgrade.cluster.run(6);
  upgrade.cluster.crash('n2', 60_000);
  for (const name of ['n0', 'n1']) upgrade.replace(name, NEW_BUILD);
  submitArrays(upgrade);
  await upgrade.staysAt(1, 55);
  assert.equal(upgrade.invariants.history.length, 0, 'no change was started');
  await upgrade.cluster.run(8);
  assert.ok(upgrade.cluster.node('n2').rollout.mayServe());
  await upgrade.staysAt(1, LEVEL_CHANGE_S);
  upgrade.replace('n2', NEW_BUILD);
  await upgrade.reaches('stable', 2);
  await upgrade.finish();
});

// Such a build cannot exclude itself: it must read a segment as a record without finished tasks; see docs/safety.md.
test('a build from before feature levels that returns as the leader continues jobs with finished tasks stored as segments', async () => {
  const upgrade = new RollingUpgrade(5, NEW_BUILD, LARGE_CLUSTER);
  await upgrade.reaches('stable', 2);
  upgrade.submitLargeArray();
  submitArrays(upgrade, 2);
  await upgrade.until('segments are stored', () => upgrade.invariants.segments().length > 0);
  upgrade.cluster.ungated.add('n1');
  upgrade.cluster.crash('n1', 100);
  await upgrade.cluster.run(3);
  for (const name of ['n0', 'n2']) upgrade.cluster.crash(name, 7000);
  await upgrade.until('n1 leads', () => upgrade.cluster.leader() === 'n1', 7);
  await upgrade.finish();
  assert.deepEqual(upgrade.invariants.segments(), [], 'the records are removed with their job');
});

test('lowering the feature level converts stored records despite a crash of the leader, and is not reverted automatically', async () => {
  const upgrade = new RollingUpgrade(12, NEW_BUILD, LARGE_CLUSTER);
  await upgrade.reaches('stable', 2);
  upgrade.submitLargeArray();
  await upgrade.until('segments are stored', () => upgrade.invariants.segments().length > 0);
  assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'done');
  await upgrade.reaches('lowering', 2);
  upgrade.cluster.crash(upgrade.leader(), 300);
  await upgrade.reaches('stable', 1);
  await upgrade.staysAt(1, LEVEL_CHANGE_S);
  await upgrade.finish();
});

test('if records do not fit in the older layout, lowering the feature level is aborted and the reason names the job', async () => {
  const upgrade = new RollingUpgrade(13, NEW_BUILD, LARGE_CLUSTER);
  for (const name of NAMES) upgrade.cluster.overrides.set(name, { maxValueKb: 0.5 });
  for (const name of NAMES) upgrade.cluster.crash(name, 50);
  upgrade.cluster.state.bounds = { valueBytes: 512, txnOps: 12 };
  await upgrade.reaches('stable', 2);
  const job = upgrade.cluster.users.newJob({ ...BATCH, tasks: 9000, durationS: 0.5, team: 't0' });
  void upgrade.cluster.users.run(job, null);
  await upgrade.until('segments are stored', () => upgrade.invariants.segments().length > 0);
  assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'done');
  await upgrade.until('lowering is aborted', () => upgrade.level.state === 'stable');
  assert.equal(upgrade.level.active, 2);
  assert.match(upgrade.level.reason ?? '', new RegExp(`finished tasks of ${job.id} don't fit`));
  assert.equal(upgrade.cluster.state.tooLarge, 0);
  assert.deepEqual(upgrade.cluster.invariants.violations, []);
});

test('commands of operators work without a leader, and refusals state a reason', async () => {
  const upgrade = new RollingUpgrade(14, NEW_BUILD, {
    rollout: { ...ROLLOUT_SETTINGS, mode: 'manual' },
  });
  await upgrade.cluster.run(6);
  assert.deepEqual(await upgrade.runOperatorCommand('abort'), {
    kind: 'refused',
    reason: 'nothing is being raised: the level is stable',
  });
  assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'refused');
  upgrade.cluster.crash(upgrade.leader(), 8000);
  // The announcement of the process that has just ended still exists: the change waits for its successor.
  assert.equal((await upgrade.runOperatorCommand('activate')).kind, 'done');
  assert.equal(upgrade.cluster.leader(), undefined);
  assert.equal((await upgrade.runOperatorCommand('abort')).kind, 'done');
  await upgrade.reaches('stable', 1);
  await upgrade.until('all controllers are up', () =>
    NAMES.every((name) => upgrade.cluster.isUp(name)),
  );
  await upgrade.cluster.run(3);
  assert.equal((await upgrade.runOperatorCommand('activate')).kind, 'done');
  await upgrade.reaches('stable', 2);
  assert.deepEqual(upgrade.cluster.invariants.violations, []);
});
