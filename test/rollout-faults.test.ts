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
  ROLLOUT_SETTINGS,
  submitArrays,
} from './sim/rolling-upgrade.js';

test('a change of level completes when its leader freezes with a late transaction in flight and later resumes', async () => {
  for (const seed of [6, 7, 8]) {
    const upgrade = new RollingUpgrade(seed, NEW_BUILD);
    submitArrays(upgrade);
    await upgrade.reaches('preparing', 1);
    // Writes from now on are applied seconds later, and get no response.
    upgrade.cluster.state.lateWrites = { share: 1, until: upgrade.cluster.clock.time + 700 };
    await upgrade.cluster.run(0.7);
    upgrade.cluster.freeze(upgrade.leader(), 9000);
    await upgrade.until('the level is stable', () => upgrade.level.state === 'stable');
    await upgrade.cluster.run(20);
    assert.equal(upgrade.level.state, 'stable');
    await upgrade.finish();
  }
});

const OUTAGE_MS = 6000;
const OUTAGES: [string, (upgrade: RollingUpgrade) => void][] = [
  [
    'a follower',
    (upgrade) => {
      upgrade.cluster.state.rejectHost(`${upgrade.follower()}:80`, OUTAGE_MS);
    },
  ],
  [
    'the leader',
    (upgrade) => {
      upgrade.cluster.state.rejectHost(`${upgrade.leader()}:80`, OUTAGE_MS);
    },
  ],
  [
    'all controllers',
    (upgrade) => {
      upgrade.cluster.state.beginOutage(OUTAGE_MS);
    },
  ],
];
for (const phase of ['preparing', 'activating', 'lowering'] as const)
  for (const [who, startOutage] of OUTAGES)
    test(`a change of level completes after the state service was unavailable to ${who} while ${phase}`, async () => {
      const upgrade = new RollingUpgrade(9, NEW_BUILD);
      submitArrays(upgrade);
      if (phase === 'lowering') {
        await upgrade.reaches('stable', 2);
        assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'done');
      } else await upgrade.reaches(phase, 1);
      startOutage(upgrade);
      await upgrade.reaches('stable', phase === 'lowering' ? 1 : 2);
      await upgrade.finish();
    });

test('a change without progress is aborted, and not retried until an operator activates it', async () => {
  const upgrade = new RollingUpgrade(10, NEW_BUILD);
  await upgrade.reaches('preparing', 1);
  const crashedFollower = upgrade.follower();
  upgrade.cluster.crash(crashedFollower, 25_000);
  await upgrade.until('the change is aborted', () => upgrade.level.held !== null);
  assert.match(upgrade.level.held!.reason, new RegExp(`no progress for 15 s: ${crashedFollower}`));
  await upgrade.reaches('stable', 1);
  // It returns with the same build.
  await upgrade.staysAt(1, 30);
  assert.ok(upgrade.cluster.isUp(crashedFollower));
  assert.equal((await upgrade.runOperatorCommand('activate')).kind, 'done');
  await upgrade.reaches('stable', 2);
  await upgrade.finish();
});

test('a change is aborted when a controller restarts repeatedly', async () => {
  const upgrade = new RollingUpgrade(11, NEW_BUILD);
  await upgrade.reaches('preparing', 1);
  const restartingFollower = upgrade.follower();
  for (let i = 0; i < 5; i++) {
    upgrade.cluster.crash(restartingFollower, 50);
    await upgrade.cluster.run(0.4);
  }
  await upgrade.until('the change is aborted', () => upgrade.level.held !== null);
  assert.match(upgrade.level.held!.reason, new RegExp(`${restartingFollower} has started`));
  await upgrade.staysAt(1, 20);
});

// Without the precondition on the level, the segment would be stored after the last one was converted.
test('a segment write in flight while the level is lowered is not applied', async () => {
  const upgrade = new RollingUpgrade(16, NEW_BUILD, LARGE_CLUSTER);
  await upgrade.reaches('stable', 2);
  // The job runs for longer than the write is in flight.
  const id = upgrade.submitLargeArray(5);
  await upgrade.until('segments are stored', () => upgrade.invariants.segments().length > 0);
  const { state, clock } = upgrade.cluster;
  state.lateWrites = { share: 1, until: clock.time + 6000, byMs: 25_000, keys: `d/${id}/` };
  await upgrade.cluster.run(6);
  assert.equal((await upgrade.runOperatorCommand('downgrade')).kind, 'done');
  await upgrade.reaches('stable', 1);
  for (let second = 0; second < 25; second++) {
    await upgrade.cluster.run(1);
    assert.deepEqual(upgrade.invariants.segments(), []);
  }
  assert.equal(upgrade.cluster.invariants.jobs.get(id)!.reportedDoneAt, null);
  await upgrade.finish();
});

// Without the preconditions of its writes, the ended process would appear to be running, with its build.
test('writes in flight from a replaced process are not attributed to its successor', async () => {
  const upgrade = new RollingUpgrade(19, NEW_BUILD);
  const { state, clock } = upgrade.cluster;
  await upgrade.until('all controllers have announced themselves', () =>
    NAMES.every((name) => state.value(`rollout/controllers/${name}`)),
  );
  const name = upgrade.follower();
  const keys = `rollout/controllers/${name}`;
  state.lateWrites = { share: 1, until: Infinity, byMs: 1000, keys };
  await upgrade.reaches('preparing', 1);
  await upgrade.cluster.run(0.3);
  state.lateWrites = null;
  assert.ok(clock.time < 20_000);
  upgrade.replace(name, OLD_BUILD, 250);
  await upgrade.staysAt(1, 30);
  assert.deepEqual(upgrade.cluster.invariants.violations, []);
});

// Without preconditions on all announcements, the level would rise above what the old build supports.
test('the level is raised only if no announcement has changed since the leader read it', async () => {
  const upgrade = new RollingUpgrade(22, NEW_BUILD);
  await upgrade.reaches('activating', 1);
  const { state, clock, invariants } = upgrade.cluster;
  state.lateWrites = { share: 1, until: clock.time + 600, byMs: 1500, keys: 'rollout/level' };
  await upgrade.cluster.run(0.6);
  upgrade.replace(upgrade.follower(), OLD_BUILD, 50);
  await upgrade.staysAt(1, LEVEL_CHANGE_S);
  assert.deepEqual(invariants.violations, []);
});

// Without the precondition on the version of the record, the late write would undo later changes.
test('a level write without a response that is retried and later applied late changes nothing', async () => {
  const upgrade = new RollingUpgrade(20, NEW_BUILD);
  await upgrade.reaches('preparing', 1);
  const { state, clock, invariants } = upgrade.cluster;
  state.lateWrites = { share: 1, until: clock.time + 2000, byMs: 12_000, keys: 'rollout/level' };
  upgrade.replace(upgrade.follower(), OLD_BUILD, 100);
  await upgrade.cluster.run(2);
  assert.equal(upgrade.level.state, 'preparing');
  await upgrade.until(
    'the change is aborted',
    () => upgrade.level.held !== null && upgrade.level.state === 'stable',
    10,
  );
  await upgrade.staysAt(1, LEVEL_CHANGE_S);
  assert.deepEqual(invariants.violations, []);
});

test('a malformed announcement is ignored, logged once, and replaced by the next process of its controller', async () => {
  const lines: string[] = [];
  const upgrade = new RollingUpgrade(15, OLD_BUILD, {
    log: (_node, text, fields) => {
      if (text === 'announcement ignored') lines.push((fields as { reason: string }).reason);
    },
  });
  await upgrade.cluster.run(6);
  for (const name of NAMES) upgrade.replace(name, NEW_BUILD, 50);
  await upgrade.cluster.run(1);
  const announcement = upgrade.cluster.state.value('rollout/controllers/n2') as object;
  upgrade.cluster.state.putDirectly('rollout/controllers/n2', {
    ...announcement,
    build: { reads: 'all' },
  });
  await upgrade.staysAt(1, 10);
  assert.equal(lines.length, 1);
  assert.match(lines[0], /malformed/);
  // The next process of the controller writes a new announcement.
  upgrade.cluster.crash('n2', 50);
  await upgrade.reaches('stable', 2);
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
        rollout: { ...ROLLOUT_SETTINGS, stall_s: 8 },
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
