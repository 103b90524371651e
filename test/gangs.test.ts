/** Gangs: all tasks at once or none, under troubles too. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, LEASE_MS } from './sim/cluster.js';
import type { ClusterConfig } from './sim/cluster-config.js';
import { BATCH, SERVICE, GANG } from './sim/jobs.js';
import { type Outcome, testDays } from './sim/play.js';
import { copiesTo, leaderOr, someMachines } from './sim/scenarios.js';
import type { JobFacts } from './sim/rules.js';
import type { JobSubmission } from './sim/wire/users.js';

async function quiet(config: ClusterConfig): Promise<Cluster> {
  const cluster = new Cluster({ ordinaryUp: 6, ...config });
  cluster.net.lossy = 0;
  cluster.net.repeats = 0;
  await cluster.run(5);
  return cluster;
}

function submit(cluster: Cluster, over: Partial<JobSubmission>): JobFacts {
  const job = cluster.newJob(over);
  void cluster.user(job, null);
  return cluster.rules.jobs.get(job.id)!;
}

const machinesOf = (cluster: Cluster, job: JobFacts): string[] =>
  [...cluster.rules.on]
    .filter(([task]) => task.startsWith(`${job.spec.id}/`))
    .map(([, places]) => places[0].machine);

async function until(cluster: Cluster, what: () => boolean, second: number): Promise<void> {
  for (let t = 0; t < second * 20 && !what(); t++) await cluster.run(0.05);
  assert.ok(what(), 'came about');
}

test('gangs of all sizes run whole, and are done once one task is', async () => {
  const cluster = await quiet({ seed: 1 });
  const jobs = [1, 2, 3, 8, 16].map((tasks) => submit(cluster, { ...GANG, tasks, imageGb: 1 }));
  await cluster.run(40);
  for (const job of jobs) assert.notEqual(job.toldDoneAt, null, `${job.spec.tasks} tasks`);
  assert.equal(cluster.gangs.begun, jobs.length);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a task lost while the gang gathers is replaced under the same attempt', async () => {
  const cluster = await quiet({ seed: 2 });
  // Nobody knows the image yet, so that they gather for a while; in two zones, on machines of their own.
  const job = submit(cluster, { ...GANG, oneZone: false, tasks: 10, cpus: 8, image: 'img-9' });
  await until(cluster, () => machinesOf(cluster, job).length > 1 && cluster.gangs.begun === 0, 10);
  cluster.cloud.take(cluster.cloud.machines.get(machinesOf(cluster, job)[0])!);
  await cluster.run(40);
  assert.ok(cluster.gangs.replaced > 0);
  assert.equal(cluster.gangs.begun, 1);
  assert.equal(cluster.gangs.attempts(), 1, 'the first start came about');
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a task lost while the gang runs: it starts again whole, from the saved progress', async () => {
  const cluster = await quiet({ seed: 3 });
  const job = submit(cluster, { ...GANG, tasks: 6, cpus: 8 });
  await until(cluster, () => cluster.gangs.begun === 1, 15);
  await cluster.run(4.5);
  cluster.cloud.take(cluster.cloud.machines.get(machinesOf(cluster, job)[0])!);
  await cluster.run(40);
  assert.equal(cluster.gangs.begun, 2);
  assert.deepEqual(
    [cluster.gangs.attempts(), cluster.gangs.incomplete],
    [2, 0],
    'nothing was added to what was leaving',
  );
  assert.ok(job.progressMs >= 4000, `${job.progressMs}`);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('one task is done, so all are: a machine that goes before it could say so changes nothing', async () => {
  const cluster = await quiet({ seed: 7 });
  const job = submit(cluster, { ...GANG, tasks: 6, cpus: 8 });
  await until(cluster, () => cluster.gangs.begun === 1, 15);
  const [mute] = machinesOf(cluster, job);
  await cluster.run(5);
  cluster.net.cuts.push({
    a: (h) => h === `w-${mute}:9000`,
    b: () => true,
    until: Infinity,
    mode: 'hold',
  });
  await until(cluster, () => job.finished.size === 6, 5);
  cluster.cloud.take(cluster.cloud.machines.get(mute)!);
  await cluster.run(30);
  assert.equal(cluster.gangs.begun, 1);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a notice stops the gang in order: all are told, and nothing is lost', async () => {
  const cluster = await quiet({ seed: 4 });
  const job = submit(cluster, { ...GANG, tasks: 6, cpus: 8, durationS: 20, checkpointEveryS: 19 });
  await until(cluster, () => cluster.gangs.begun === 1, 15);
  await cluster.run(5);
  cluster.cloud.machines.get(machinesOf(cluster, job)[0])!.worker!.preemptionDeadline =
    cluster.clock.time + 8000;
  await cluster.run(4);
  assert.ok(job.progressMs > 4000, `${job.progressMs} ms are safe, between two checkpoints`);
  await cluster.run(40);
  assert.equal(cluster.gangs.begun, 2);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a notice while the gang gathers: only the task there is replaced, and the others go on waiting', async () => {
  const cluster = await quiet({ seed: 14 });
  const job = submit(cluster, { ...GANG, oneZone: false, tasks: 10, cpus: 8, image: 'img-9' });
  await until(cluster, () => machinesOf(cluster, job).length > 1 && cluster.gangs.begun === 0, 10);
  const leaving = cluster.cloud.machines.get(machinesOf(cluster, job)[0])!;
  leaving.worker!.preemptionDeadline = cluster.clock.time + 6000;
  cluster.clock.after(6000, () => {
    cluster.cloud.take(leaving);
  });
  await cluster.run(40);
  assert.ok(cluster.gangs.replaced > 0);
  assert.deepEqual(
    [cluster.gangs.attempts(), cluster.gangs.begun, cluster.gangs.incomplete],
    [1, 1, 0],
  );
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a gang whose images take longer than its tasks wait for each other begins all the same', async () => {
  const cluster = await quiet({ seed: 15 });
  // Each machine fetches the image for 6 to 48 s, and a task waits for 6 s: a fetch that is given up is lost.
  const job = submit(cluster, {
    ...GANG,
    oneZone: false,
    tasks: 10,
    cpus: 8,
    image: 'img-9',
    imageGb: 12,
  });
  await cluster.run(90);
  assert.ok(cluster.gangs.incomplete > 0, 'the first attempt did not come together');
  assert.equal(cluster.gangs.begun, 1);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a gang that gathers and finds no room for a missing task leaves its room to others at once', async () => {
  const cluster = await quiet({ seed: 18, capacity: 0, ordinaryUp: 2, teamLimit: 1000 });
  // Fetches of up to two minutes: by themselves the tasks that are left would stay for long.
  const job = submit(cluster, {
    ...GANG,
    oneZone: false,
    tasks: 4,
    cpus: 8,
    image: 'img-9',
    imageGb: 30,
  });
  await until(cluster, () => machinesOf(cluster, job).length > 0, 120);
  cluster.cloud.take(cluster.cloud.machines.get(machinesOf(cluster, job)[0])!);
  const other = submit(cluster, { ...BATCH, tasks: 2, cpus: 8, durationS: 2 });
  await until(cluster, () => other.firstStartAt !== null, 12);
  assert.equal(cluster.gangs.begun, 0);
  assert.deepEqual(cluster.rules.broken, []);
});

test('under a notice a gang that fits nowhere else runs on while there is time, and then still saves', async () => {
  for (const [graceMs, durationS] of [
    [20_000, 10],
    [9000, 14],
  ] as const) {
    const cluster = await quiet({ seed: 17, capacity: 0, ordinaryUp: 2, teamLimit: 1000 });
    const job = submit(cluster, {
      ...GANG,
      oneZone: false,
      tasks: 4,
      cpus: 8,
      durationS,
      checkpointEveryS: 100,
    });
    await until(cluster, () => cluster.gangs.begun === 1, 20);
    await cluster.run(1);
    const leaving = cluster.cloud.machines.get(machinesOf(cluster, job)[0])!;
    leaving.worker!.preemptionDeadline = cluster.clock.time + graceMs;
    await cluster.run(graceMs / 1000 - 0.5);
    assert.equal(cluster.gangs.begun, 1);
    if (durationS < 12) assert.equal(job.finished.size, 4, 'done before the machine goes');
    else assert.ok(job.progressMs > 4000, `${job.progressMs} ms are safe`);
    assert.deepEqual(cluster.rules.broken, []);
  }
});

test('a large gang begins although smaller work keeps coming', async () => {
  const cluster = await quiet({ seed: 5, capacity: 1, ordinaryUp: 2, teamLimit: 1000 });
  for (let i = 0; i < 20; i++) submit(cluster, { ...BATCH, tasks: 8, durationS: 4 });
  await cluster.run(8);
  const job = submit(cluster, { ...GANG, tasks: 8, priority: 'normal' });
  for (let second = 0; second < 50 && cluster.gangs.begun === 0; second++) {
    submit(cluster, { ...BATCH, tasks: 8, durationS: 4 });
    await cluster.run(1);
  }
  assert.equal(cluster.gangs.begun, 1);
  assert.ok((job.firstStartAt ?? Infinity) - job.submittedAt < 45_000);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a gang begins although arrays of its team would fill the limit for ever', async () => {
  const cluster = await quiet({ seed: 10, ordinaryUp: 6, teamLimit: 24 });
  const stream = (): void => void submit(cluster, { ...BATCH, team: 't0', tasks: 6, durationS: 4 });
  for (let i = 0; i < 6; i++) stream();
  await cluster.run(8);
  const job = submit(cluster, { ...GANG, team: 't0', tasks: 10 });
  for (let second = 0; second < 45 && cluster.gangs.begun === 0; second++) {
    stream();
    await cluster.run(1);
  }
  assert.equal(cluster.gangs.begun, 1);
  assert.notEqual(job.firstStartAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test("a gang that its team's services leave no room for keeps nothing from the arrays", async () => {
  const cluster = await quiet({ seed: 12, ordinaryUp: 6, teamLimit: 24 });
  for (let i = 0; i < 2; i++) submit(cluster, { ...SERVICE, team: 't0' });
  await cluster.run(10);
  submit(cluster, { ...GANG, team: 't0', tasks: 10 });
  await cluster.run(15);
  const array = submit(cluster, { ...BATCH, team: 't0', tasks: 4, durationS: 2 });
  await cluster.run(60);
  assert.equal(cluster.gangs.begun, 0);
  assert.notEqual(array.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('an array of the same team begins beside a gang that long tasks keep from its share of the limit', async () => {
  const cluster = await quiet({ seed: 13, ordinaryUp: 6, teamLimit: 24 });
  // These run on for minutes, and the gang fits under the limit only without them.
  submit(cluster, { ...BATCH, team: 't0', tasks: 6, durationS: 200 });
  await cluster.run(8);
  submit(cluster, { ...GANG, team: 't0', tasks: 8 });
  await cluster.run(15);
  const array = submit(cluster, { ...BATCH, team: 't0', tasks: 2, durationS: 2 });
  await cluster.run(85);
  assert.equal(cluster.gangs.begun, 0, 'the gang still waits');
  assert.notEqual(array.firstStartAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

test('gangs that want more room than there is never hold it half, and all are done in turn', async () => {
  const cluster = await quiet({ seed: 6, capacity: 1, ordinaryUp: 2, teamLimit: 1000 });
  const jobs = Array.from({ length: 8 }, () =>
    submit(cluster, { ...GANG, tasks: 4, cpus: 3, durationS: 3 }),
  );
  await cluster.run(110);
  for (const job of jobs) assert.notEqual(job.toldDoneAt, null, job.spec.id);
  assert.equal(cluster.gangs.begun, jobs.length);
  assert.deepEqual(
    [cluster.gangs.attempts(), cluster.gangs.incomplete, cluster.gangs.replaced],
    [jobs.length, 0, 0],
  );
  assert.deepEqual(cluster.rules.broken, []);
});

test('a gang of one zone goes where all of it fits, and not where the image is', async () => {
  const cluster = await quiet({ seed: 8, capacity: 1, ordinaryUp: 3, teamLimit: 1000 });
  assert.equal(
    [...cluster.cloud.machines.values()].filter((m) => m.zone === 'b' && !m.spot).length,
    2,
  );
  submit(cluster, { ...BATCH, tasks: 8, durationS: 1, zone: 'a', image: 'img-1' });
  await cluster.run(12);
  const job = submit(cluster, { ...GANG, tasks: 12, image: 'img-1' });
  await cluster.run(30);
  assert.notEqual(job.toldDoneAt, null);
  assert.equal(cluster.gangs.attempts(), 1);
  assert.deepEqual(cluster.rules.broken, []);
});

test('arrays leave ordinary room to the next gang, but not for ever', async () => {
  const cluster = await quiet({
    seed: 9,
    capacity: 2,
    ordinaryUp: 4,
    teamLimit: 1000,
    saveMoney: true,
  });
  submit(cluster, { ...GANG, tasks: 6 });
  await cluster.run(12);
  const arrays = Array.from({ length: 12 }, () =>
    submit(cluster, { ...BATCH, tasks: 14, durationS: 12, spot: true }),
  );
  await cluster.run(4);
  const job = submit(cluster, { ...GANG, tasks: 6 });
  await until(cluster, () => job.firstStartAt !== null, 8);
  await cluster.run(100);
  for (const array of arrays) assert.notEqual(array.toldDoneAt, null);
  assert.deepEqual(cluster.rules.broken, []);
});

/** Gangs come beside all other jobs, and meet troubles. */
function gangDay(
  name: string,
  seeds: number[],
  troubles: (cluster: Cluster, second: number) => void,
): void {
  const eachSecond = (cluster: Cluster, second: number): void => {
    const over = {
      tasks: cluster.random.int(2, 6),
      oneZone: cluster.random.chance(0.7),
      spot: cluster.random.chance(0.4),
    };
    const cancelAfterMs = (): number | null =>
      cluster.random.chance(0.2) ? cluster.random.between(0, 12_000) : null;
    if (second % 3 === 0) void cluster.user(cluster.newJob({ ...GANG, ...over }), cancelAfterMs());
    troubles(cluster, second);
  };
  testDays(`gangs: ${name}`, seeds, eachSecond, {}, allGangsServed);
}

function allGangsServed({ cluster: cluster }: Outcome): void {
  assert.ok(cluster.gangs.begun > 10, `${cluster.gangs.begun} began`);
  for (const [id, job] of cluster.rules.jobs)
    if (job.spec.kind === 'gang' && job.toldAccepted && !job.cancelAsked)
      assert.notEqual(job.toldDoneAt, null, id);
}

gangDay('leaders crash and change', [11, 12, 13], (cluster, second) => {
  if (second % 9 === 4) cluster.crash(leaderOr(cluster), cluster.random.pick([150, 3000]));
  if (second === 40)
    for (const name of cluster.names) cluster.crash(name, cluster.random.between(100, 4000));
});

gangDay('machines hang, die and are taken', [21, 22, 23], (cluster, second) => {
  const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
  if (!machine?.worker) return;
  if (second % 6 === 2) cluster.hang(machine.id, cluster.random.between(1000, 11_000));
  if (second % 8 === 5) cluster.cloud.take(machine);
  if (second % 10 === 7 && machine.spot) {
    machine.worker.preemptionDeadline = cluster.clock.time + 6000;
    cluster.clock.after(6000, () => {
      cluster.cloud.take(machine);
    });
  }
  if (second === 20) cluster.slowNext = 4;
});

gangDay('cuts, refusals and outages', [31, 32, 33], (cluster, second) => {
  const until = cluster.clock.time + cluster.random.between(2000, 14_000);
  const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
  const mode = cluster.random.pick(['hold', 'reset'] as const);
  if (second % 10 === 4)
    cluster.net.cuts.push({ a: (h) => h === `w-${machine.id}:9000`, b: () => true, until, mode });
  if (second === 15) cluster.state.refuse(`${cluster.leader() ?? 'n0'}:80`, 9000);
  if (second === 30) cluster.state.outage(LEASE_MS + 4000);
  if (second === 45) cluster.isolate(cluster.leader() ?? 'n1', 12_000, mode);
  if (second % 12 === 8) cluster.cancelNow(2, 3000);
});

gangDay('late copies of reports, held commands, late transactions', [41, 42], (cluster, second) => {
  copiesTo(cluster, 0.15);
  cluster.state.lateWrites = { share: 0.1, until: cluster.clock.time + 1000 };
  if (second % 9 === 2) {
    cluster.holdCommands(someMachines(cluster, 0.3), cluster.random.between(1000, 5000));
  }
  if (second % 20 === 12) cluster.crash(cluster.leader() ?? 'n2', 150);
});
