/** Gangs: all tasks at once or none, under troubles too. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, LEASE_MS } from './sim/cluster.js';
import type { ClusterConfig } from './sim/cluster-config.js';
import { BATCH, DESK, GANG } from './sim/jobs.js';
import { type Outcome, testDays } from './sim/play.js';
import { copiesTo, leaderOr, someMachines } from './sim/scenarios.js';
import type { JobFacts } from './sim/rules.js';
import type { JobSubmission } from './sim/wire/users.js';

async function quiet(config: ClusterConfig): Promise<Cluster> {
  const c = new Cluster({ ordinaryUp: 6, ...config });
  c.net.lossy = 0;
  c.net.repeats = 0;
  await c.run(5);
  return c;
}

function submit(c: Cluster, over: Partial<JobSubmission>): JobFacts {
  const job = c.newJob(over);
  void c.user(job, null);
  return c.rules.jobs.get(job.id)!;
}

const machinesOf = (c: Cluster, job: JobFacts): string[] =>
  [...c.rules.on].filter(([t]) => t.startsWith(`${job.spec.id}/`)).map(([, p]) => p[0].machine);

async function until(c: Cluster, what: () => boolean, s: number): Promise<void> {
  for (let t = 0; t < s * 20 && !what(); t++) await c.run(0.05);
  assert.ok(what(), 'came about');
}

test('gangs of all sizes run whole, and are done once one task is', async () => {
  const c = await quiet({ seed: 1 });
  const jobs = [1, 2, 3, 8, 16].map((tasks) => submit(c, { ...GANG, tasks, imageGb: 1 }));
  await c.run(40);
  for (const j of jobs) assert.notEqual(j.toldDoneAt, null, `${j.spec.tasks} tasks`);
  assert.equal(c.gangs.begun, jobs.length);
  assert.deepEqual(c.rules.broken, []);
});

test('a task lost while the gang gathers is replaced under the same attempt', async () => {
  const c = await quiet({ seed: 2 });
  // Nobody knows the image yet, so that they gather for a while; in two zones, on machines of their own.
  const job = submit(c, { ...GANG, oneZone: false, tasks: 10, cpus: 8, image: 'img-9' });
  await until(c, () => machinesOf(c, job).length > 1 && c.gangs.begun === 0, 10);
  c.cloud.take(c.cloud.machines.get(machinesOf(c, job)[0])!);
  await c.run(40);
  assert.ok(c.gangs.replaced > 0);
  assert.equal(c.gangs.begun, 1);
  assert.equal(c.gangs.attempts(), 1, 'the first start came about');
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('a task lost while the gang runs: it starts again whole, from the saved progress', async () => {
  const c = await quiet({ seed: 3 });
  const job = submit(c, { ...GANG, tasks: 6, cpus: 8 });
  await until(c, () => c.gangs.begun === 1, 15);
  await c.run(4.5);
  c.cloud.take(c.cloud.machines.get(machinesOf(c, job)[0])!);
  await c.run(40);
  assert.equal(c.gangs.begun, 2);
  assert.deepEqual(
    [c.gangs.attempts(), c.gangs.incomplete],
    [2, 0],
    'nothing was added to what was leaving',
  );
  assert.ok(job.progressMs >= 4000, `${job.progressMs}`);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('one task is done, so all are: a machine that goes before it could say so changes nothing', async () => {
  const c = await quiet({ seed: 7 });
  const job = submit(c, { ...GANG, tasks: 6, cpus: 8 });
  await until(c, () => c.gangs.begun === 1, 15);
  const [mute] = machinesOf(c, job);
  await c.run(5);
  c.net.cuts.push({
    a: (h) => h === `w-${mute}:9000`,
    b: () => true,
    until: Infinity,
    mode: 'hold',
  });
  await until(c, () => job.finished.size === 6, 5);
  c.cloud.take(c.cloud.machines.get(mute)!);
  await c.run(30);
  assert.equal(c.gangs.begun, 1);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('a notice stops the gang in order: all are told, and nothing is lost', async () => {
  const c = await quiet({ seed: 4 });
  const job = submit(c, { ...GANG, tasks: 6, cpus: 8, durationS: 20, checkpointEveryS: 19 });
  await until(c, () => c.gangs.begun === 1, 15);
  await c.run(5);
  c.cloud.machines.get(machinesOf(c, job)[0])!.worker!.preemptionDeadline = c.clock.time + 8000;
  await c.run(4);
  assert.ok(job.progressMs > 4000, `${job.progressMs} ms are safe, between two checkpoints`);
  await c.run(40);
  assert.equal(c.gangs.begun, 2);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('a notice while the gang gathers: only the task there is replaced, and the others go on waiting', async () => {
  const c = await quiet({ seed: 14 });
  const job = submit(c, { ...GANG, oneZone: false, tasks: 10, cpus: 8, image: 'img-9' });
  await until(c, () => machinesOf(c, job).length > 1 && c.gangs.begun === 0, 10);
  const leaving = c.cloud.machines.get(machinesOf(c, job)[0])!;
  leaving.worker!.preemptionDeadline = c.clock.time + 6000;
  c.clock.after(6000, () => {
    c.cloud.take(leaving);
  });
  await c.run(40);
  assert.ok(c.gangs.replaced > 0);
  assert.deepEqual([c.gangs.attempts(), c.gangs.begun, c.gangs.incomplete], [1, 1, 0]);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('a gang whose images take longer than its tasks wait for each other begins all the same', async () => {
  const c = await quiet({ seed: 15 });
  // Each machine fetches the image for 6 to 48 s, and a task waits for 6 s: a fetch that is given up is lost.
  const job = submit(c, {
    ...GANG,
    oneZone: false,
    tasks: 10,
    cpus: 8,
    image: 'img-9',
    imageGb: 12,
  });
  await c.run(90);
  assert.ok(c.gangs.incomplete > 0, 'the first attempt did not come together');
  assert.equal(c.gangs.begun, 1);
  assert.notEqual(job.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('a gang that gathers and finds no room for a missing task leaves its room to others at once', async () => {
  const c = await quiet({ seed: 18, capacity: 0, ordinaryUp: 2, teamLimit: 1000 });
  // Fetches of up to two minutes: by themselves the tasks that are left would stay for long.
  const job = submit(c, {
    ...GANG,
    oneZone: false,
    tasks: 4,
    cpus: 8,
    image: 'img-9',
    imageGb: 30,
  });
  await until(c, () => machinesOf(c, job).length > 0, 120);
  c.cloud.take(c.cloud.machines.get(machinesOf(c, job)[0])!);
  const other = submit(c, { ...BATCH, tasks: 2, cpus: 8, durationS: 2 });
  await until(c, () => other.firstStartAt !== null, 12);
  assert.equal(c.gangs.begun, 0);
  assert.deepEqual(c.rules.broken, []);
});

test('under a notice a gang that fits nowhere else runs on while there is time, and then still saves', async () => {
  for (const [graceMs, durationS] of [
    [20_000, 10],
    [9000, 14],
  ] as const) {
    const c = await quiet({ seed: 17, capacity: 0, ordinaryUp: 2, teamLimit: 1000 });
    const job = submit(c, {
      ...GANG,
      oneZone: false,
      tasks: 4,
      cpus: 8,
      durationS,
      checkpointEveryS: 100,
    });
    await until(c, () => c.gangs.begun === 1, 20);
    await c.run(1);
    const leaving = c.cloud.machines.get(machinesOf(c, job)[0])!;
    leaving.worker!.preemptionDeadline = c.clock.time + graceMs;
    await c.run(graceMs / 1000 - 0.5);
    assert.equal(c.gangs.begun, 1);
    if (durationS < 12) assert.equal(job.finished.size, 4, 'done before the machine goes');
    else assert.ok(job.progressMs > 4000, `${job.progressMs} ms are safe`);
    assert.deepEqual(c.rules.broken, []);
  }
});

test('a large gang begins although smaller work keeps coming', async () => {
  const c = await quiet({ seed: 5, capacity: 1, ordinaryUp: 2, teamLimit: 1000 });
  for (let i = 0; i < 20; i++) submit(c, { ...BATCH, tasks: 8, durationS: 4 });
  await c.run(8);
  const job = submit(c, { ...GANG, tasks: 8, priority: 'normal' });
  for (let s = 0; s < 50 && c.gangs.begun === 0; s++) {
    submit(c, { ...BATCH, tasks: 8, durationS: 4 });
    await c.run(1);
  }
  assert.equal(c.gangs.begun, 1);
  assert.ok((job.firstStartAt ?? Infinity) - job.submittedAt < 45_000);
  assert.deepEqual(c.rules.broken, []);
});

test('a gang begins although arrays of its team would fill the limit for ever', async () => {
  const c = await quiet({ seed: 10, ordinaryUp: 6, teamLimit: 24 });
  const stream = (): void => void submit(c, { ...BATCH, team: 't0', tasks: 6, durationS: 4 });
  for (let i = 0; i < 6; i++) stream();
  await c.run(8);
  const job = submit(c, { ...GANG, team: 't0', tasks: 10 });
  for (let s = 0; s < 45 && c.gangs.begun === 0; s++) {
    stream();
    await c.run(1);
  }
  assert.equal(c.gangs.begun, 1);
  assert.notEqual(job.firstStartAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test("a gang that its team's services leave no room for keeps nothing from the arrays", async () => {
  const c = await quiet({ seed: 12, ordinaryUp: 6, teamLimit: 24 });
  for (let i = 0; i < 2; i++) submit(c, { ...DESK, team: 't0' });
  await c.run(10);
  submit(c, { ...GANG, team: 't0', tasks: 10 });
  await c.run(15);
  const array = submit(c, { ...BATCH, team: 't0', tasks: 4, durationS: 2 });
  await c.run(60);
  assert.equal(c.gangs.begun, 0);
  assert.notEqual(array.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('an array of the same team begins beside a gang that long tasks keep from its share of the limit', async () => {
  const c = await quiet({ seed: 13, ordinaryUp: 6, teamLimit: 24 });
  // These run on for minutes, and the gang fits under the limit only without them.
  submit(c, { ...BATCH, team: 't0', tasks: 6, durationS: 200 });
  await c.run(8);
  submit(c, { ...GANG, team: 't0', tasks: 8 });
  await c.run(15);
  const array = submit(c, { ...BATCH, team: 't0', tasks: 2, durationS: 2 });
  await c.run(85);
  assert.equal(c.gangs.begun, 0, 'the gang still waits');
  assert.notEqual(array.firstStartAt, null);
  assert.deepEqual(c.rules.broken, []);
});

test('gangs that want more room than there is never hold it half, and all are done in turn', async () => {
  const c = await quiet({ seed: 6, capacity: 1, ordinaryUp: 2, teamLimit: 1000 });
  const jobs = Array.from({ length: 8 }, () =>
    submit(c, { ...GANG, tasks: 4, cpus: 3, durationS: 3 }),
  );
  await c.run(110);
  for (const j of jobs) assert.notEqual(j.toldDoneAt, null, j.spec.id);
  assert.equal(c.gangs.begun, jobs.length);
  assert.deepEqual([c.gangs.attempts(), c.gangs.incomplete, c.gangs.replaced], [jobs.length, 0, 0]);
  assert.deepEqual(c.rules.broken, []);
});

test('a gang of one zone goes where all of it fits, and not where the image is', async () => {
  const c = await quiet({ seed: 8, capacity: 1, ordinaryUp: 3, teamLimit: 1000 });
  assert.equal([...c.cloud.machines.values()].filter((m) => m.zone === 'b' && !m.spot).length, 2);
  submit(c, { ...BATCH, tasks: 8, durationS: 1, zone: 'a', image: 'img-1' });
  await c.run(12);
  const job = submit(c, { ...GANG, tasks: 12, image: 'img-1' });
  await c.run(30);
  assert.notEqual(job.toldDoneAt, null);
  assert.equal(c.gangs.attempts(), 1);
  assert.deepEqual(c.rules.broken, []);
});

test('arrays leave ordinary room to the next gang, but not for ever', async () => {
  const c = await quiet({ seed: 9, capacity: 2, ordinaryUp: 4, teamLimit: 1000, saveMoney: true });
  submit(c, { ...GANG, tasks: 6 });
  await c.run(12);
  const arrays = Array.from({ length: 12 }, () =>
    submit(c, { ...BATCH, tasks: 14, durationS: 12, spot: true }),
  );
  await c.run(4);
  const job = submit(c, { ...GANG, tasks: 6 });
  await until(c, () => job.firstStartAt !== null, 8);
  await c.run(100);
  for (const j of arrays) assert.notEqual(j.toldDoneAt, null);
  assert.deepEqual(c.rules.broken, []);
});

/** Gangs come beside all other jobs, and meet troubles. */
function gangDay(
  name: string,
  seeds: number[],
  troubles: (c: Cluster, second: number) => void,
): void {
  const eachSecond = (c: Cluster, s: number): void => {
    const over = {
      tasks: c.random.int(2, 6),
      oneZone: c.random.chance(0.7),
      spot: c.random.chance(0.4),
    };
    const cancelAfterMs = (): number | null =>
      c.random.chance(0.2) ? c.random.between(0, 12_000) : null;
    if (s % 3 === 0) void c.user(c.newJob({ ...GANG, ...over }), cancelAfterMs());
    troubles(c, s);
  };
  testDays(`gangs: ${name}`, seeds, eachSecond, {}, allGangsServed);
}

function allGangsServed({ cluster: c }: Outcome): void {
  assert.ok(c.gangs.begun > 10, `${c.gangs.begun} began`);
  for (const [id, job] of c.rules.jobs)
    if (job.spec.kind === 'gang' && job.toldAccepted && !job.cancelAsked)
      assert.notEqual(job.toldDoneAt, null, id);
}

gangDay('leaders crash and change', [11, 12, 13], (c, s) => {
  if (s % 9 === 4) c.crash(leaderOr(c), c.random.pick([150, 3000]));
  if (s === 40) for (const n of c.names) c.crash(n, c.random.between(100, 4000));
});

gangDay('machines hang, die and are taken', [21, 22, 23], (c, s) => {
  const m = c.random.pick([...c.cloud.machines.values()]);
  if (!m?.worker) return;
  if (s % 6 === 2) c.hang(m.id, c.random.between(1000, 11_000));
  if (s % 8 === 5) c.cloud.take(m);
  if (s % 10 === 7 && m.spot) {
    m.worker.preemptionDeadline = c.clock.time + 6000;
    c.clock.after(6000, () => {
      c.cloud.take(m);
    });
  }
  if (s === 20) c.slowNext = 4;
});

gangDay('cuts, refusals and outages', [31, 32, 33], (c, s) => {
  const until = c.clock.time + c.random.between(2000, 14_000);
  const m = c.random.pick([...c.cloud.machines.values()]);
  const mode = c.random.pick(['hold', 'reset'] as const);
  if (s % 10 === 4)
    c.net.cuts.push({ a: (h) => h === `w-${m.id}:9000`, b: () => true, until, mode });
  if (s === 15) c.state.refuse(`${c.leader() ?? 'n0'}:80`, 9000);
  if (s === 30) c.state.outage(LEASE_MS + 4000);
  if (s === 45) c.isolate(c.leader() ?? 'n1', 12_000, mode);
  if (s % 12 === 8) c.cancelNow(2, 3000);
});

gangDay('late copies of reports, held commands, late transactions', [41, 42], (c, s) => {
  copiesTo(c, 0.15);
  c.state.lateWrites = { share: 0.1, until: c.clock.time + 1000 };
  if (s % 9 === 2) {
    c.holdCommands(someMachines(c, 0.3), c.random.between(1000, 5000));
  }
  if (s % 20 === 12) c.crash(c.leader() ?? 'n2', 150);
});
