/** Changes of the feature level under faults: frozen leaders, outages, late writes and processes that end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Cluster } from './sim/cluster.js';
import { assertInvariantsHeld, runScenario } from './sim/run-scenario.js';
import { RolloutInvariants } from './sim/rollout-invariants.js';
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

test('a change of level completes when its leader freezes with a late transaction in flight and later resumes', async () => {
  for (const seed of [6, 7, 8]) {
    const roll = new RollingUpgrade(seed, NEW_BUILD);
    submitArrays(roll);
    await roll.reaches('preparing', 1);
    // Writes from now on are applied seconds later, and get no response.
    roll.cluster.state.lateWrites = { share: 1, until: roll.cluster.clock.time + 700 };
    await roll.cluster.run(0.7);
    roll.cluster.freeze(roll.leader(), 9000);
    await roll.until('the level is stable', () => roll.level.state === 'stable');
    await roll.cluster.run(20);
    assert.equal(roll.level.state, 'stable');
    await roll.finish();
  }
});

const OUTAGE_MS = 6000;
const OUTAGES: [string, (roll: RollingUpgrade) => void][] = [
  [
    'a follower',
    (roll) => {
      roll.cluster.state.rejectHost(`${roll.follower()}:80`, OUTAGE_MS);
    },
  ],
  [
    'the leader',
    (roll) => {
      roll.cluster.state.rejectHost(`${roll.leader()}:80`, OUTAGE_MS);
    },
  ],
  [
    'all controllers',
    (roll) => {
      roll.cluster.state.beginOutage(OUTAGE_MS);
    },
  ],
];
for (const phase of ['preparing', 'activating', 'lowering'] as const)
  for (const [who, refuse] of OUTAGES)
    test(`a change of level completes after the state service refused ${who} while ${phase}`, async () => {
      const roll = new RollingUpgrade(9, NEW_BUILD);
      submitArrays(roll);
      if (phase === 'lowering') {
        await roll.reaches('stable', 2);
        assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
      } else await roll.reaches(phase, 1);
      refuse(roll);
      await roll.reaches('stable', phase === 'lowering' ? 1 : 2);
      await roll.finish();
    });

test('a change without progress is aborted, and not retried until an operator activates it', async () => {
  const roll = new RollingUpgrade(10, NEW_BUILD);
  await roll.reaches('preparing', 1);
  const crashedFollower = roll.follower();
  roll.cluster.crash(crashedFollower, 25_000);
  await roll.until('the change is aborted', () => roll.level.held !== null);
  assert.match(roll.level.held!.reason, new RegExp(`no progress for 15 s: ${crashedFollower}`));
  await roll.reaches('stable', 1);
  // It returns with the same build.
  await roll.assertStaysAt(1, 30);
  assert.ok(roll.cluster.isUp(crashedFollower));
  assert.equal((await roll.runOperatorCommand('activate')).kind, 'done');
  await roll.reaches('stable', 2);
  await roll.finish();
});

test('a change is aborted when a controller restarts repeatedly', async () => {
  const roll = new RollingUpgrade(11, NEW_BUILD);
  await roll.reaches('preparing', 1);
  const restartingFollower = roll.follower();
  for (let i = 0; i < 5; i++) {
    roll.cluster.crash(restartingFollower, 50);
    await roll.cluster.run(0.4);
  }
  await roll.until('the change is aborted', () => roll.level.held !== null);
  assert.match(roll.level.held!.reason, new RegExp(`${restartingFollower} has started`));
  await roll.assertStaysAt(1, 20);
});

// Without the precondition on the level, the segment would be stored after the last one was converted.
test('a segment write in flight while the level is lowered is not applied', async () => {
  const roll = new RollingUpgrade(16, NEW_BUILD, LARGE_CLUSTER);
  await roll.reaches('stable', 2);
  // The job runs for longer than the write is in flight.
  const id = roll.submitLargeArray(5);
  await roll.until('segments are stored', () => roll.invariants.segments().length > 0);
  const { state, clock } = roll.cluster;
  state.lateWrites = { share: 1, until: clock.time + 6000, byMs: 25_000, prefix: `d/${id}/` };
  await roll.cluster.run(6);
  assert.equal((await roll.runOperatorCommand('downgrade')).kind, 'done');
  await roll.reaches('stable', 1);
  for (let second = 0; second < 25; second++) {
    await roll.cluster.run(1);
    assert.deepEqual(roll.invariants.segments(), []);
  }
  assert.equal(roll.cluster.invariants.jobs.get(id)!.reportedDoneAt, null);
  await roll.finish();
});

// Without the preconditions of its writes, the ended process would appear to be running, with its build.
test('writes in flight from a replaced process are not attributed to its successor', async () => {
  const roll = new RollingUpgrade(19, NEW_BUILD);
  const { state, clock } = roll.cluster;
  await roll.until('all controllers have announced themselves', () =>
    NAMES.every((name) => state.value(`rollout/controllers/${name}`)),
  );
  const name = roll.follower();
  const keys = `rollout/controllers/${name}`;
  state.lateWrites = { share: 1, until: Infinity, byMs: 1000, prefix: keys };
  await roll.reaches('preparing', 1);
  await roll.cluster.run(0.3);
  state.lateWrites = null;
  assert.ok(clock.time < 20_000);
  roll.replace(name, OLD_BUILD, 250);
  await roll.assertStaysAt(1, 30);
  assert.deepEqual(roll.cluster.invariants.violations, []);
});

// Without preconditions on all announcements, the level would rise above what the old build supports.
test('the level is raised only if no announcement has changed since the leader read it', async () => {
  const roll = new RollingUpgrade(22, NEW_BUILD);
  await roll.reaches('activating', 1);
  const { state, clock, invariants } = roll.cluster;
  state.lateWrites = { share: 1, until: clock.time + 600, byMs: 1500, prefix: 'rollout/level' };
  await roll.cluster.run(0.6);
  roll.replace(roll.follower(), OLD_BUILD, 50);
  await roll.assertStaysAt(1, LEVEL_CHANGE_S);
  assert.deepEqual(invariants.violations, []);
});

// Without the precondition on the version of the record, the late write would undo later changes.
test('a level write without a response that is retried and later applied late changes nothing', async () => {
  const roll = new RollingUpgrade(20, NEW_BUILD);
  await roll.reaches('preparing', 1);
  const { state, clock, invariants } = roll.cluster;
  state.lateWrites = {
    share: 1,
    until: clock.time + 2000,
    byMs: 12_000,
    prefix: 'rollout/level',
  };
  roll.replace(roll.follower(), OLD_BUILD, 100);
  await roll.cluster.run(2);
  assert.equal(roll.level.state, 'preparing');
  await roll.until(
    'the change is aborted',
    () => roll.level.held !== null && roll.level.state === 'stable',
    10,
  );
  await roll.assertStaysAt(1, LEVEL_CHANGE_S);
  assert.deepEqual(invariants.violations, []);
});

test('a malformed announcement is ignored, logged once, and replaced by the next process of its controller', async () => {
  const lines: string[] = [];
  const roll = new RollingUpgrade(15, OLD_BUILD, {
    log: (_node, text, fields) => {
      if (text === 'announcement ignored') lines.push((fields as { reason: string }).reason);
    },
  });
  await roll.cluster.run(6);
  for (const name of NAMES) roll.replace(name, NEW_BUILD, 50);
  await roll.cluster.run(1);
  const planted = roll.cluster.state.value('rollout/controllers/n2') as object;
  roll.cluster.state.putDirectly('rollout/controllers/n2', { ...planted, build: { reads: 'all' } });
  await roll.assertStaysAt(1, 10);
  assert.equal(lines.length, 1);
  assert.match(lines[0], /malformed/);
  // The next process of the controller writes a new announcement.
  roll.cluster.crash('n2', 50);
  await roll.reaches('stable', 2);
});

function skewWallClocks(cluster: Cluster): void {
  for (const name of NAMES) cluster.wallSkewMs.set(name, cluster.random.between(-2000, 2000));
}

function replaceAtRandom(cluster: Cluster, second: number, name: string): void {
  if (second >= 50 || !cluster.random.chance(0.12)) return;
  cluster.builds.set(name, cluster.random.chance(0.75) ? NEW_BUILD : OLD_BUILD);
  cluster.crash(name, cluster.random.between(50, 3000));
}

function injectFaults(cluster: Cluster, second: number, name: string): void {
  const { random, state } = cluster;
  if (second % 17 === 9) state.rejectHost(`${name}:80`, random.between(1000, 6000));
  if (second === 23) state.beginOutage(5000);
  if (second % 19 === 11) state.lateWrites = { share: 0.3, until: cluster.clock.time + 2000 };
  if (second % 13 === 7) cluster.freeze(name, random.between(500, 6000));
  if (second % 21 === 15) cluster.faults.isolate(name, random.between(1000, 5000), 'reset');
}

/** Finally replaces all controllers with the new build. */
function replaceAllWithNewBuild(cluster: Cluster, second: number): void {
  if (second === 50) for (const name of NAMES) cluster.builds.set(name, NEW_BUILD);
  if (second === 52)
    for (const name of NAMES) cluster.crash(name, cluster.random.between(50, 2000));
}

for (const seed of [31, 32, 33, 34, 35, 36])
  test(`invariants hold under random upgrades, rollbacks, crashes, partitions, outages and late writes (${seed})`, async () => {
    let invariants: RolloutInvariants | null = null;
    const outcome = await runScenario(
      {
        seed,
        ordinaryUp: 20,
        capacity: 12,
        rollout: { ...AUTOMATIC_ROLLOUT, stall_s: 8 },
        builds: Object.fromEntries(NAMES.map((name) => [name, OLD_BUILD])),
      },
      (cluster, second) => {
        invariants ??= new RolloutInvariants(cluster);
        if (second === 0) skewWallClocks(cluster);
        const name = cluster.random.pick(NAMES);
        replaceAtRandom(cluster, second, name);
        injectFaults(cluster, second, name);
        replaceAllWithNewBuild(cluster, second);
      },
    );
    assertInvariantsHeld(outcome);
    assert.ok(invariants!.history.length > 0, 'the level changed');
  });
