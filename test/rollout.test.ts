/** The rollout in whole simulated clusters: builds that differ in their highest level, replaced while jobs run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BATCH } from './sim/jobs.js';
import { encodeSubmission } from './sim/wire/users.js';
import { expectKept, play } from './sim/play.js';
import { RolloutRules } from './sim/rollout-rules.js';
import { LARGE, NAMES, NEW, OLD, ROLL_S, Roll, SETTINGS, withJobs } from './sim/roll.js';

test('the level is raised by itself once every controller has the new build, and not before', async () => {
  const roll = new Roll(1, OLD);
  await roll.cluster.run(6);
  withJobs(roll);
  for (const name of NAMES) {
    await roll.staysAt(1, 6);
    roll.replace(name, NEW);
  }
  await roll.reaches('stable', 2);
  await roll.finish();
});

// Without the check of builds while a level is raised, the one that went back would be left behind.
for (const phase of ['preparing', 'activating'] as const)
  for (const role of ['follower', 'leader'] as const)
    test(`a ${role} that is rolled back while ${phase} ends the change, which begins again with the next build`, async () => {
      const roll = new Roll(2, NEW);
      withJobs(roll);
      await roll.reaches(phase, 1);
      const name = roll[role]();
      roll.replace(name, OLD, 100);
      await roll.until('given up', () => roll.level.held !== null);
      assert.match(roll.level.held!.reason, new RegExp(`${name} runs build 0.0.9`));
      await roll.reaches('stable', 1);
      await roll.staysAt(1, ROLL_S);
      assert.ok(
        roll.cluster.node(name).rollout.mayServe(),
        'nothing was written that it cannot read',
      );
      roll.replace(name, NEW);
      await roll.reaches('stable', 2);
      await roll.finish();
    });

for (const role of ['follower', 'leader'] as const)
  test(`a ${role} that is rolled back after the level was raised serves nothing until it is lowered`, async () => {
    const roll = new Roll(3, NEW, LARGE);
    await roll.reaches('stable', 2);
    roll.submitLarge();
    await roll.until('segments are stored', () => roll.rules.segments().length > 0);
    const name = roll[role]();
    roll.replace(name, OLD, 100);
    await roll.cluster.run(6);
    const node = roll.cluster.node(name);
    const health = node.health();
    assert.match(
      health.kind === 'unhealthy' ? health.reason : '',
      /level is 2, and this is build 0\.0\.9/,
    );
    const body = encodeSubmission(roll.cluster.newJob(BATCH));
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
    assert.equal((await roll.ask('downgrade')).kind, 'done');
    await roll.reaches('stable', 1);
    await roll.until('it serves again', () => node.health().kind === 'healthy');
    await roll.finish();
  });

test('a straggler that was away all the time: nothing is raised without it, whatever build it comes back with', async () => {
  const roll = new Roll(4, OLD);
  await roll.cluster.run(6);
  roll.cluster.crash('n2', 60_000);
  for (const name of ['n0', 'n1']) roll.replace(name, NEW);
  withJobs(roll);
  await roll.staysAt(1, 55);
  assert.equal(roll.rules.history.length, 0, 'nothing was even proposed');
  await roll.cluster.run(8);
  assert.ok(roll.cluster.node('n2').rollout.mayServe());
  await roll.staysAt(1, ROLL_S);
  roll.replace('n2', NEW);
  await roll.reaches('stable', 2);
  await roll.finish();
});

// docs/safety.md: it can't refuse by itself, so the form must be one that it takes for missing knowledge.
test('a straggler without any gate comes back, leads and goes on with what is stored in the new form', async () => {
  const roll = new Roll(5, NEW, LARGE);
  await roll.reaches('stable', 2);
  roll.submitLarge();
  withJobs(roll, 2);
  await roll.until('segments are stored', () => roll.rules.segments().length > 0);
  roll.cluster.ungated.add('n1');
  roll.cluster.crash('n1', 100);
  await roll.cluster.run(3);
  for (const name of ['n0', 'n2']) roll.cluster.crash(name, 7000);
  await roll.until('it leads', () => roll.cluster.leader() === 'n1', 7);
  await roll.finish();
  assert.deepEqual(roll.rules.segments(), [], 'the records go with their job');
});

test('a frozen leader wakes amid a change, with a late transaction on its way', async () => {
  for (const seed of [6, 7, 8]) {
    const roll = new Roll(seed, NEW);
    withJobs(roll);
    await roll.reaches('preparing', 1);
    // Whatever is written now is carried out seconds later and never answered.
    roll.cluster.state.lateWrites = { share: 1, until: roll.cluster.clock.time + 700 };
    await roll.cluster.run(0.7);
    roll.cluster.freeze(roll.leader(), 9000);
    await roll.until('it is settled', () => roll.level.state === 'stable');
    await roll.cluster.run(20);
    assert.equal(roll.level.state, 'stable');
    await roll.finish();
  }
});

const OUTAGE_MS = 6000;
const OUTAGES: [string, (roll: Roll) => void][] = [
  [
    'a follower',
    (roll) => {
      roll.cluster.state.refuse(`${roll.follower()}:80`, OUTAGE_MS);
    },
  ],
  [
    'the leader',
    (roll) => {
      roll.cluster.state.refuse(`${roll.leader()}:80`, OUTAGE_MS);
    },
  ],
  [
    'everyone',
    (roll) => {
      roll.cluster.state.outage(OUTAGE_MS);
    },
  ],
];
for (const phase of ['preparing', 'activating', 'lowering'] as const)
  for (const [who, refuse] of OUTAGES)
    test(`the state service refuses ${who} while ${phase}: the change goes on afterwards`, async () => {
      const roll = new Roll(9, NEW);
      withJobs(roll);
      if (phase === 'lowering') {
        await roll.reaches('stable', 2);
        assert.equal((await roll.ask('downgrade')).kind, 'done');
      } else await roll.reaches(phase, 1);
      refuse(roll);
      await roll.reaches('stable', phase === 'lowering' ? 1 : 2);
      await roll.finish();
    });

test('a change without progress is given up, and waits for an operator', async () => {
  const roll = new Roll(10, NEW);
  await roll.reaches('preparing', 1);
  const gone = roll.follower();
  roll.cluster.crash(gone, 25_000);
  await roll.until('given up', () => roll.level.held !== null);
  assert.match(roll.level.held!.reason, new RegExp(`no progress for 15 s: ${gone}`));
  await roll.reaches('stable', 1);
  // It comes back with the build that it had.
  await roll.staysAt(1, 30);
  assert.ok(roll.cluster.isUp(gone));
  assert.equal((await roll.ask('activate')).kind, 'done');
  await roll.reaches('stable', 2);
  await roll.finish();
});

test('a change is given up when processes of a controller keep ending', async () => {
  const roll = new Roll(11, NEW);
  await roll.reaches('preparing', 1);
  const ending = roll.follower();
  for (let i = 0; i < 5; i++) {
    roll.cluster.crash(ending, 50);
    await roll.cluster.run(0.4);
  }
  await roll.until('given up', () => roll.level.held !== null);
  assert.match(roll.level.held!.reason, new RegExp(`${ending} has started`));
  await roll.staysAt(1, 20);
});

test('lowering converts what is stored, across a crash of the leader, and is not undone by itself', async () => {
  const roll = new Roll(12, NEW, LARGE);
  await roll.reaches('stable', 2);
  roll.submitLarge();
  await roll.until('segments are stored', () => roll.rules.segments().length > 0);
  assert.equal((await roll.ask('downgrade')).kind, 'done');
  await roll.reaches('lowering', 2);
  roll.cluster.crash(roll.leader(), 300);
  await roll.reaches('stable', 1);
  await roll.staysAt(1, ROLL_S);
  await roll.finish();
});

// Without the guard on the level a segment would land after the last one was converted.
test('a segment on its way while the level is lowered changes nothing', async () => {
  const roll = new Roll(16, NEW, LARGE);
  await roll.reaches('stable', 2);
  // It outlives the write that is on its way.
  const id = roll.submitLarge(5);
  await roll.until('segments are stored', () => roll.rules.segments().length > 0);
  const { state, clock } = roll.cluster;
  state.lateWrites = { share: 1, until: clock.time + 6000, byMs: 25_000, keys: `d/${id}/` };
  await roll.cluster.run(6);
  assert.equal((await roll.ask('downgrade')).kind, 'done');
  await roll.reaches('stable', 1);
  for (let second = 0; second < 25; second++) {
    await roll.cluster.run(1);
    assert.deepEqual(roll.rules.segments(), []);
  }
  assert.equal(roll.cluster.rules.jobs.get(id)!.toldDoneAt, null);
  await roll.finish();
});

// Without the guards of its writes the process that has ended would seem to be there, with its build.
test('what a replaced process has on its way does not count for its successor', async () => {
  const roll = new Roll(19, NEW);
  const { state, clock } = roll.cluster;
  await roll.until('all have announced', () =>
    NAMES.every((name) => state.value(`rollout/controllers/${name}`)),
  );
  const name = roll.follower();
  const keys = `rollout/controllers/${name}`;
  state.lateWrites = { share: 1, until: Infinity, byMs: 1000, keys };
  await roll.reaches('preparing', 1);
  await roll.cluster.run(0.3);
  state.lateWrites = null;
  assert.ok(clock.time < 20_000);
  roll.replace(name, OLD, 250);
  await roll.staysAt(1, 30);
  assert.deepEqual(roll.cluster.rules.broken, []);
});

// Without the guards on all announcements the level would rise over a build that can't follow.
test('the last confirmation counts only while every announcement stands as it was read', async () => {
  const roll = new Roll(22, NEW);
  await roll.reaches('activating', 1);
  const { state, clock, rules } = roll.cluster;
  state.lateWrites = { share: 1, until: clock.time + 600, byMs: 1500, keys: 'rollout/level' };
  await roll.cluster.run(0.6);
  roll.replace(roll.follower(), OLD, 50);
  await roll.staysAt(1, ROLL_S);
  assert.deepEqual(rules.broken, []);
});

// Without the guard on the record's version the late one would undo what came after it.
test("a leader's change without an answer, made again, and then carried out late, changes nothing", async () => {
  const roll = new Roll(20, NEW);
  await roll.reaches('preparing', 1);
  const { state, clock, rules } = roll.cluster;
  state.lateWrites = { share: 1, until: clock.time + 2000, byMs: 12_000, keys: 'rollout/level' };
  roll.replace(roll.follower(), OLD, 100);
  await roll.cluster.run(2);
  assert.equal(roll.level.state, 'preparing');
  await roll.until('given up', () => roll.level.held !== null && roll.level.state === 'stable', 10);
  await roll.staysAt(1, ROLL_S);
  assert.deepEqual(rules.broken, []);
});

test('lowering is refused by name where the older form does not fit, and the level stays', async () => {
  const roll = new Roll(13, NEW, LARGE);
  for (const name of NAMES) roll.cluster.overrides.set(name, { maxValueKb: 0.5 });
  for (const name of NAMES) roll.cluster.crash(name, 50);
  roll.cluster.state.bounds = { valueBytes: 512, txnOps: 12 };
  await roll.reaches('stable', 2);
  const job = roll.cluster.newJob({ ...BATCH, tasks: 9000, durationS: 0.5, team: 't0' });
  void roll.cluster.user(job, null);
  await roll.until('segments are stored', () => roll.rules.segments().length > 0);
  assert.equal((await roll.ask('downgrade')).kind, 'done');
  await roll.until('kept', () => roll.level.state === 'stable');
  assert.equal(roll.level.active, 2);
  assert.match(roll.level.reason ?? '', new RegExp(`finished tasks of ${job.id} don't fit`));
  assert.equal(roll.cluster.state.tooLarge, 0);
  assert.deepEqual(roll.cluster.rules.broken, []);
});

test("operators' commands work while nobody leads, and are refused with a reason", async () => {
  const roll = new Roll(14, NEW, { rollout: { ...SETTINGS, mode: 'manual' } });
  await roll.cluster.run(6);
  assert.deepEqual(await roll.ask('abort'), {
    kind: 'refused',
    reason: 'nothing is being raised: the level is stable',
  });
  assert.equal((await roll.ask('downgrade')).kind, 'refused');
  roll.cluster.crash(roll.leader(), 8000);
  // The announcement of the process that has just ended still stands: the change waits for its successor.
  assert.equal((await roll.ask('activate')).kind, 'done');
  assert.equal(roll.cluster.leader(), undefined);
  assert.equal((await roll.ask('abort')).kind, 'done');
  await roll.reaches('stable', 1);
  await roll.until('all are back', () => NAMES.every((name) => roll.cluster.isUp(name)));
  await roll.cluster.run(3);
  assert.equal((await roll.ask('activate')).kind, 'done');
  await roll.reaches('stable', 2);
  assert.deepEqual(roll.cluster.rules.broken, []);
});

test('a malformed announcement is ignored, logged once, and replaced by its controller', async () => {
  const lines: string[] = [];
  const roll = new Roll(15, OLD, {
    log: (_node, text, fields) => {
      if (text === 'announcement ignored') lines.push((fields as { reason: string }).reason);
    },
  });
  await roll.cluster.run(6);
  for (const name of NAMES) roll.replace(name, NEW, 50);
  await roll.cluster.run(1);
  const planted = roll.cluster.state.value('rollout/controllers/n2') as object;
  roll.cluster.state.plant('rollout/controllers/n2', { ...planted, build: { reads: 'all' } });
  await roll.staysAt(1, 10);
  assert.equal(lines.length, 1);
  assert.match(lines[0], /malformed/);
  // The next process of the controller announces itself anew.
  roll.cluster.crash('n2', 50);
  await roll.reaches('stable', 2);
});

for (const seed of [31, 32, 33, 34, 35, 36])
  test(`random upgrades, rollbacks, crashes, cuts, outages and late writes (${seed})`, async () => {
    let rules: RolloutRules | null = null;
    const outcome = await play(
      {
        seed,
        ordinaryUp: 20,
        capacity: 12,
        rollout: { ...SETTINGS, stall_s: 8 },
        builds: Object.fromEntries(NAMES.map((name) => [name, OLD])),
      },
      (cluster, second) => {
        rules ??= new RolloutRules(cluster);
        if (second === 0)
          for (const name of NAMES)
            cluster.wallSkewMs.set(name, cluster.random.between(-2000, 2000));
        const name = cluster.random.pick(NAMES);
        if (second < 50 && cluster.random.chance(0.12)) {
          cluster.builds.set(name, cluster.random.chance(0.75) ? NEW : OLD);
          cluster.crash(name, cluster.random.between(50, 3000));
        }
        if (second % 17 === 9)
          cluster.state.refuse(`${name}:80`, cluster.random.between(1000, 6000));
        if (second === 23) cluster.state.outage(5000);
        if (second % 19 === 11)
          cluster.state.lateWrites = { share: 0.3, until: cluster.clock.time + 2000 };
        if (second % 13 === 7) cluster.freeze(name, cluster.random.between(500, 6000));
        if (second % 21 === 15) cluster.isolate(name, cluster.random.between(1000, 5000), 'reset');
        if (second === 50) for (const each of NAMES) cluster.builds.set(each, NEW);
        if (second === 52)
          for (const each of NAMES) cluster.crash(each, cluster.random.between(50, 2000));
      },
    );
    expectKept(outcome);
    assert.ok(rules!.history.length > 0, 'the level changed');
  });
