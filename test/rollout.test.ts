/** The rollout in whole simulated clusters: builds that differ in their highest level, replaced while jobs run. */
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

test('the level is raised by itself once every controller has the new build, and not before', async () => {
  const roll = new RollingUpgrade(1, OLD_BUILD);
  await roll.cluster.run(6);
  submitArrays(roll);
  for (const name of NAMES) {
    await roll.staysAt(1, 6);
    roll.replace(name, NEW_BUILD);
  }
  await roll.reaches('stable', 2);
  await roll.finish();
});

// Without the check of builds while a level is raised, the one that went back would be left behind.
for (const phase of ['preparing', 'activating'] as const)
  for (const role of ['follower', 'leader'] as const)
    test(`a ${role} that is rolled back while ${phase} ends the change, which begins again with the next build`, async () => {
      const roll = new RollingUpgrade(2, NEW_BUILD);
      submitArrays(roll);
      await roll.reaches(phase, 1);
      const name = roll[role]();
      roll.replace(name, OLD_BUILD, 100);
      await roll.until('given up', () => roll.level.held !== null);
      assert.match(roll.level.held!.reason, new RegExp(`${name} runs build 0.0.9`));
      await roll.reaches('stable', 1);
      await roll.staysAt(1, LEVEL_CHANGE_S);
      assert.ok(
        roll.cluster.node(name).rollout.mayServe(),
        'nothing was written that it cannot read',
      );
      roll.replace(name, NEW_BUILD);
      await roll.reaches('stable', 2);
      await roll.finish();
    });

for (const role of ['follower', 'leader'] as const)
  test(`a ${role} that is rolled back after the level was raised serves nothing until it is lowered`, async () => {
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
    // The others go, and still it does not lead.
    for (const other of NAMES) if (other !== name) roll.cluster.crash(other, 6000);
    for (let second = 0; second < 7; second++) {
      await roll.cluster.run(1);
      assert.notEqual(roll.cluster.leader(), name);
    }
    await roll.until('another leads', () => roll.cluster.leader() !== undefined);
    assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
    await roll.reaches('stable', 1);
    await roll.until('it serves again', () => node.health().kind === 'healthy');
    await roll.finish();
  });

test('a straggler that was away all the time: nothing is raised without it, whatever build it comes back with', async () => {
  const roll = new RollingUpgrade(4, OLD_BUILD);
  await roll.cluster.run(6);
  roll.cluster.crash('n2', 60_000);
  for (const name of ['n0', 'n1']) roll.replace(name, NEW_BUILD);
  submitArrays(roll);
  await roll.staysAt(1, 55);
  assert.equal(roll.invariants.history.length, 0, 'nothing was even proposed');
  await roll.cluster.run(8);
  assert.ok(roll.cluster.node('n2').rollout.mayServe());
  await roll.staysAt(1, LEVEL_CHANGE_S);
  roll.replace('n2', NEW_BUILD);
  await roll.reaches('stable', 2);
  await roll.finish();
});

// docs/safety.md: it can't refuse by itself, so the form must be one that it takes for missing knowledge.
test('a straggler without any gate comes back, leads and goes on with what is stored in the new form', async () => {
  const roll = new RollingUpgrade(5, NEW_BUILD, LARGE_CLUSTER);
  await roll.reaches('stable', 2);
  roll.submitLargeArray();
  submitArrays(roll, 2);
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  roll.cluster.ungated.add('n1');
  roll.cluster.crash('n1', 100);
  await roll.cluster.run(3);
  for (const name of ['n0', 'n2']) roll.cluster.crash(name, 7000);
  await roll.until('it leads', () => roll.cluster.leader() === 'n1', 7);
  await roll.finish();
  assert.deepEqual(roll.invariants.segments(), [], 'the records go with their job');
});

test('lowering converts what is stored, across a crash of the leader, and is not undone by itself', async () => {
  const roll = new RollingUpgrade(12, NEW_BUILD, LARGE_CLUSTER);
  await roll.reaches('stable', 2);
  roll.submitLargeArray();
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
  await roll.reaches('lowering', 2);
  roll.cluster.crash(roll.leader(), 300);
  await roll.reaches('stable', 1);
  await roll.staysAt(1, LEVEL_CHANGE_S);
  await roll.finish();
});

test('lowering is refused by name where the older form does not fit, and the level stays', async () => {
  const roll = new RollingUpgrade(13, NEW_BUILD, LARGE_CLUSTER);
  for (const name of NAMES) roll.cluster.overrides.set(name, { maxValueKb: 0.5 });
  for (const name of NAMES) roll.cluster.crash(name, 50);
  roll.cluster.state.bounds = { valueBytes: 512, txnOps: 12 };
  await roll.reaches('stable', 2);
  const job = roll.cluster.users.newJob({ ...BATCH, tasks: 9000, durationS: 0.5, team: 't0' });
  void roll.cluster.users.run(job, null);
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
  await roll.until('kept', () => roll.level.state === 'stable');
  assert.equal(roll.level.active, 2);
  assert.match(roll.level.reason ?? '', new RegExp(`finished tasks of ${job.id} don't fit`));
  assert.equal(roll.cluster.state.tooLarge, 0);
  assert.deepEqual(roll.cluster.invariants.violations, []);
});

test("operators' commands work while nobody leads, and are refused with a reason", async () => {
  const roll = new RollingUpgrade(14, NEW_BUILD, {
    rollout: { ...ROLLOUT_SETTINGS, mode: 'manual' },
  });
  await roll.cluster.run(6);
  assert.deepEqual(await roll.runOperatorCommand('abort'), {
    kind: 'refused',
    reason: 'nothing is being raised: the level is stable',
  });
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'refused');
  roll.cluster.crash(roll.leader(), 8000);
  // The announcement of the process that has just ended still stands: the change waits for its successor.
  assert.equal((await roll.runOperatorCommand('activate')).kind, 'done');
  assert.equal(roll.cluster.leader(), undefined);
  assert.equal((await roll.runOperatorCommand('abort')).kind, 'done');
  await roll.reaches('stable', 1);
  await roll.until('all are back', () => NAMES.every((name) => roll.cluster.isUp(name)));
  await roll.cluster.run(3);
  assert.equal((await roll.runOperatorCommand('activate')).kind, 'done');
  await roll.reaches('stable', 2);
  assert.deepEqual(roll.cluster.invariants.violations, []);
});
