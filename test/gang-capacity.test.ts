/** Capacity for gangs beside other jobs and beside other gangs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { clusterWithoutLoss, machinesOfJob, submit, runUntil } from './sim/gang-scenarios.js';
import { BATCH, SERVICE, GANG } from './sim/jobs.js';

/** A limit that no team reaches. */
const UNLIMITED_TEAMS = { teamLimit: 1000 };

test('a starting gang that cannot replace a lost task releases its capacity to other jobs at once', async () => {
  const cluster = await clusterWithoutLoss({
    ...UNLIMITED_TEAMS,
    seed: 18,
    capacity: 0,
    ordinaryUp: 2,
  });
  // Fetches take up to two minutes: unless they are stopped, the remaining tasks would stay for a long time.
  const job = submit(cluster, {
    ...GANG,
    oneZone: false,
    tasks: 4,
    cpus: 8,
    image: 'img-9',
    imageGb: 30,
  });
  await runUntil(cluster, () => machinesOfJob(cluster, job).length > 0, 120);
  cluster.cloud.preempt(cluster.cloud.machines.get(machinesOfJob(cluster, job)[0])!);
  const other = submit(cluster, { ...BATCH, tasks: 2, cpus: 8, durationS: 2 });
  await runUntil(cluster, () => other.firstStartAt !== null, 12);
  assert.equal(cluster.gangs.begun, 0);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('after a preemption notice, a gang that fits nowhere else runs as long as possible and then saves a checkpoint if it is not done', async () => {
  for (const [graceMs, durationS] of [
    [20_000, 10],
    [9000, 14],
  ] as const) {
    const cluster = await clusterWithoutLoss({
      ...UNLIMITED_TEAMS,
      seed: 17,
      capacity: 0,
      ordinaryUp: 2,
    });
    const job = submit(cluster, {
      ...GANG,
      oneZone: false,
      tasks: 4,
      cpus: 8,
      durationS,
      checkpointIntervalS: 100,
    });
    await runUntil(cluster, () => cluster.gangs.begun === 1, 20);
    await cluster.run(1);
    const leaving = cluster.cloud.machines.get(machinesOfJob(cluster, job)[0])!;
    leaving.worker!.preemptionDeadline = cluster.clock.time + graceMs;
    await cluster.run(graceMs / 1000 - 0.5);
    assert.equal(cluster.gangs.begun, 1);
    if (durationS < 12)
      assert.equal(job.finishedTasks.size, 4, 'done before the machine is preempted');
    else assert.ok(job.progressMs > 4000, `${job.progressMs} ms of progress are saved`);
    assert.deepEqual(cluster.invariants.violations, []);
  }
});

test('a large gang starts although smaller jobs keep arriving', async () => {
  const cluster = await clusterWithoutLoss({
    ...UNLIMITED_TEAMS,
    seed: 5,
    capacity: 1,
    ordinaryUp: 2,
  });
  for (let i = 0; i < 20; i++) submit(cluster, { ...BATCH, tasks: 8, durationS: 4 });
  await cluster.run(8);
  const job = submit(cluster, { ...GANG, tasks: 8, priority: 'normal' });
  for (let second = 0; second < 50 && cluster.gangs.begun === 0; second++) {
    submit(cluster, { ...BATCH, tasks: 8, durationS: 4 });
    await cluster.run(1);
  }
  assert.equal(cluster.gangs.begun, 1);
  assert.ok((job.firstStartAt ?? Infinity) - job.submittedAt < 45_000);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a gang starts although arrays of its team would fill the team limit forever', async () => {
  const cluster = await clusterWithoutLoss({ seed: 10, ordinaryUp: 6, teamLimit: 24 });
  const submitArray = (): void =>
    void submit(cluster, { ...BATCH, team: 't0', tasks: 6, durationS: 4 });
  for (let i = 0; i < 6; i++) submitArray();
  await cluster.run(8);
  const job = submit(cluster, { ...GANG, team: 't0', tasks: 10 });
  for (let second = 0; second < 45 && cluster.gangs.begun === 0; second++) {
    submitArray();
    await cluster.run(1);
  }
  assert.equal(cluster.gangs.begun, 1);
  assert.notEqual(job.firstStartAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test("a gang that does not fit beside its team's services under the limit does not hold back the team's arrays", async () => {
  const cluster = await clusterWithoutLoss({ seed: 12, ordinaryUp: 6, teamLimit: 24 });
  for (let i = 0; i < 2; i++) submit(cluster, { ...SERVICE, team: 't0' });
  await cluster.run(10);
  submit(cluster, { ...GANG, team: 't0', tasks: 10 });
  await cluster.run(15);
  const array = submit(cluster, { ...BATCH, team: 't0', tasks: 4, durationS: 2 });
  await cluster.run(60);
  assert.equal(cluster.gangs.begun, 0);
  assert.notEqual(array.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('an array starts while a gang of the same team waits for long tasks to release their share of the limit', async () => {
  const cluster = await clusterWithoutLoss({ seed: 13, ordinaryUp: 6, teamLimit: 24 });
  // These tasks run for minutes, and the gang fits under the limit only without them.
  submit(cluster, { ...BATCH, team: 't0', tasks: 6, durationS: 200 });
  await cluster.run(8);
  submit(cluster, { ...GANG, team: 't0', tasks: 8 });
  await cluster.run(15);
  const array = submit(cluster, { ...BATCH, team: 't0', tasks: 2, durationS: 2 });
  await cluster.run(85);
  assert.equal(cluster.gangs.begun, 0, 'the gang still waits');
  assert.notEqual(array.firstStartAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('gangs that together need more capacity than there is never occupy it partially, and all are done one after another', async () => {
  const cluster = await clusterWithoutLoss({
    ...UNLIMITED_TEAMS,
    seed: 6,
    capacity: 1,
    ordinaryUp: 2,
  });
  const jobs = Array.from({ length: 8 }, () =>
    submit(cluster, { ...GANG, tasks: 4, cpus: 3, durationS: 3 }),
  );
  await cluster.run(110);
  for (const job of jobs) assert.notEqual(job.reportedDoneAt, null, job.spec.id);
  assert.equal(cluster.gangs.begun, jobs.length);
  assert.deepEqual(
    [cluster.gangs.attempts(), cluster.gangs.incomplete, cluster.gangs.lostWhileGathering],
    [jobs.length, 0, 0],
  );
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a gang restricted to one zone is placed where all of it fits, not where its image is', async () => {
  const cluster = await clusterWithoutLoss({
    ...UNLIMITED_TEAMS,
    seed: 8,
    capacity: 1,
    ordinaryUp: 3,
  });
  assert.equal(
    [...cluster.cloud.machines.values()].filter((m) => m.zone === 'b' && !m.spot).length,
    2,
  );
  submit(cluster, { ...BATCH, tasks: 8, durationS: 1, zone: 'a', image: 'img-1' });
  await cluster.run(12);
  const job = submit(cluster, { ...GANG, tasks: 12, image: 'img-1' });
  await cluster.run(30);
  assert.notEqual(job.reportedDoneAt, null);
  assert.equal(cluster.gangs.attempts(), 1);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('arrays leave ordinary capacity to the next gang, but not forever', async () => {
  const cluster = await clusterWithoutLoss({
    ...UNLIMITED_TEAMS,
    seed: 9,
    capacity: 2,
    ordinaryUp: 4,
    minimizeCost: true,
  });
  submit(cluster, { ...GANG, tasks: 6 });
  await cluster.run(12);
  const arrays = Array.from({ length: 12 }, () =>
    submit(cluster, { ...BATCH, tasks: 14, durationS: 12, spot: true }),
  );
  await cluster.run(4);
  const job = submit(cluster, { ...GANG, tasks: 6 });
  await runUntil(cluster, () => job.firstStartAt !== null, 8);
  await cluster.run(100);
  for (const array of arrays) assert.notEqual(array.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});
