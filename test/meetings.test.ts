/** Meetings of troubles: two or three at once, each brought about by itself. docs/safety.md has a row for each. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_MS, Cluster, LEASE_MS, zoneOf } from './sim/cluster.js';
import type { ClusterConfig } from './sim/cluster-config.js';
import { BATCH, SERVICE, GANG } from './sim/jobs.js';
import { testDays } from './sim/play.js';
import {
  apart,
  cancelledBesideRefusal,
  copiesTo,
  hangSome,
  ids,
  leaderOr,
  other,
  serving,
  someMachines,
  tasksOf,
} from './sim/scenarios.js';

for (const seed of [1, 2, 3])
  test(`gap: cancelled beside a refused leader, then nobody has the state service (${seed})`, async () => {
    const cluster = await serving({ seed });
    // Nothing travels between controllers, so that only the bound on what renews a lease helps.
    apart(cluster);
    const { first } = await cancelledBesideRefusal(cluster, 14_000);
    cluster.state.outage(CANCEL_MS + 12_000);
    // Its machines stand still at the end of their leases, and go on.
    for (const place of cluster.rules.on.get(`${first}/0`) ?? [])
      cluster.clock.after(CANCEL_MS / 2, () => {
        cluster.hang(place.machine, LEASE_MS);
      });
    await cluster.run(CANCEL_MS / 1000 + 10);
    assert.equal(tasksOf(cluster, first), 0);
    await cluster.run(40);
    assert.deepEqual(cluster.rules.broken, []);
    assert.deepEqual(cluster.rules.startsCancelled, []);
    assert.equal(cluster.rules.on.size, 9, 'all others run again');
  });

for (const seed of [11, 12, 13, 14])
  test(`a leader comes back from a pause before it has read what was cancelled meanwhile (${seed})`, async () => {
    let resumed = false;
    const cluster = await serving({
      seed,
      log: (_node, text, fields) => {
        if (text !== 'leadership' || (fields as { from: string }).from !== 'suspended') return;
        if ((fields as { to: string }).to === 'leader') resumed = true;
      },
    });
    apart(cluster);
    await cancelledBesideRefusal(cluster, 15_500);
    cluster.state.outage(14_000);
    // Renewals are answered, reads only seconds later.
    cluster.state.slowReads = { byMs: 5000, until: cluster.clock.time + 20_000 };
    for (let i = 0; i < 500 && !resumed; i++) await cluster.run(0.05);
    assert.ok(resumed, 'the claim outlived the outage');
    // Reports come, and are answered or not; then machines stand still for nearly a lease.
    await cluster.run(1.8);
    for (const machine of cluster.cloud.machines.values())
      if (machine.worker) cluster.hang(machine.id, LEASE_MS - 500);
    await cluster.run(60);
    assert.deepEqual(cluster.rules.broken, []);
    assert.equal(cluster.rules.on.size, 9, 'all others run again');
  });

test('after a pause nothing starts before what was cancelled meanwhile has been read', async () => {
  const cluster = await serving({ seed: 15, teamLimit: 30 });
  const old = cluster.leader()!;
  // One array fills its team's limit, the other waits behind it.
  const array = { ...BATCH, team: 't0', tasks: 15, imageGb: 0 };
  void cluster.user(cluster.newJob({ ...array, durationS: 15 }), null);
  await cluster.run(6);
  const waiting = cluster.newJob({ ...array, durationS: 5 });
  void cluster.user(waiting, null);
  await cluster.run(1);
  apart(cluster);
  cluster.state.refuse(`${old}:80`, 6500);
  await cluster.run(0.2);
  void cluster.cancel(waiting.id, other(cluster, old));
  await cluster.run(1.8);
  const job = cluster.rules.jobs.get(waiting.id)!;
  assert.notEqual(job.toldCancelledAt, null, 'confirmed before the outage');
  assert.equal(job.firstStartAt, null);
  cluster.state.outage(6000);
  cluster.state.slowReads = { byMs: 4000, until: cluster.clock.time + 30_000 };
  await cluster.run(40);
  assert.equal(cluster.leader(), old);
  assert.deepEqual(cluster.rules.startsCancelled, []);
  assert.deepEqual(cluster.rules.broken, []);
});

test('who keeps leases for a leader that is gone stops what is cancelled', async () => {
  const cluster = await serving({ seed: 16 });
  const old = cluster.leader()!;
  cluster.crash(old, 60_000);
  await cluster.run(0.3);
  const first = ids(cluster)[0];
  void cluster.cancel(first, other(cluster, old));
  await cluster.run(1.5);
  assert.notEqual(
    cluster.rules.jobs.get(first)!.toldCancelledAt,
    null,
    'confirmed before the outage',
  );
  cluster.state.outage(20_000);
  await cluster.run(6);
  assert.equal(tasksOf(cluster, first), 0);
  assert.equal(cluster.rules.on.size, 9, 'all others are kept');
  await cluster.run(30);
  assert.deepEqual(cluster.rules.broken, []);
});

for (const seed of [21, 22])
  test(`an outage far longer than leases costs nothing while all controllers vouch for each other (${seed})`, async () => {
    const cluster = await serving({ seed });
    const { starts } = cluster.rules;
    const { first, old } = await cancelledBesideRefusal(cluster, 14_000);
    assert.equal(tasksOf(cluster, first), 0, 'the refused leader has heard of it from the other');
    cluster.state.outage(2 * CANCEL_MS);
    await cluster.run(2 * (CANCEL_MS / 1000) + 10);
    assert.equal(cluster.leader(), old);
    assert.equal(cluster.rules.on.size, 9);
    assert.equal(cluster.rules.starts, starts, 'nothing had to start again');
    assert.deepEqual(cluster.rules.broken, []);
  });

for (const seed of [31, 32])
  test(`who confirmed a cancellation has forgotten it, and the state service is down (${seed})`, async () => {
    const cluster = await serving({ seed });
    const old = cluster.leader()!;
    const told = other(cluster, old);
    cluster.net.cuts.push({
      a: (h) => h === `${told}:80`,
      b: (h) => cluster.isNode(h),
      until: cluster.clock.time + 2100,
      mode: 'reset',
    });
    cluster.state.refuse(`${old}:80`, 14_000);
    await cluster.run(0.2);
    const first = ids(cluster)[0];
    void cluster.cancel(first, told);
    await cluster.run(1.75);
    assert.notEqual(
      cluster.rules.jobs.get(first)!.toldCancelledAt,
      null,
      'confirmed before the outage',
    );
    cluster.state.outage(CANCEL_MS + 8000);
    cluster.crash(told, 100);
    await cluster.run(CANCEL_MS / 1000 + 4);
    assert.equal(tasksOf(cluster, first), 0);
    assert.deepEqual(cluster.rules.broken, []);
  });

/** Jobs come all the while; each second may bring a trouble. Afterwards all are served. */
function meeting(
  name: string,
  seeds: number[],
  troubles: (cluster: Cluster, second: number) => void,
  config: Partial<ClusterConfig> = {},
): void {
  const eachSecond = (cluster: Cluster, second: number): void => {
    if (second % 6 === 3)
      void cluster.user(cluster.newJob({ ...GANG, tasks: cluster.random.int(2, 5) }), null);
    troubles(cluster, second);
  };
  testDays(name, seeds, eachSecond, config);
}

meeting(
  'old reports, of earlier sessions and attempts too, after newer ones',
  [101, 102],
  (cluster, second) => {
    copiesTo(cluster, 0.25);
    if (second % 10 === 4) hangSome(cluster, 0.3, 9500);
    if (second % 16 === 9) cluster.cancelNow(2, 0);
  },
);

meeting(
  'leaders change every few seconds, also inside an outage',
  [111, 112],
  (cluster, second) => {
    if (second % 5 === 2) cluster.crash(leaderOr(cluster), cluster.random.pick([150, 2000]));
    if (second === 20) cluster.state.outage(12_000);
    if (second % 15 === 12) cluster.cancelNow(2, 4000);
  },
);

meeting(
  'a leader without state service and peers, jobs cancelled through the new one',
  [121, 122, 123],
  (cluster, second) => {
    if (second % 30 !== 8) return;
    const old = leaderOr(cluster);
    cluster.isolate(old, 26_000, second < 30 ? 'hold' : 'reset');
    cluster.clock.after(5000, () => {
      cluster.cancelNow(4, 7500, other(cluster, old));
    });
  },
);

meeting('all controllers are away for longer than a lease', [131, 132], (cluster, second) => {
  if (second === 12)
    for (const name of cluster.names)
      cluster.freeze(name, LEASE_MS + cluster.random.between(1000, 4000));
  if (second === 40)
    for (const name of cluster.names)
      cluster.crash(name, LEASE_MS + cluster.random.between(1000, 4000));
  if (second === 11 || second === 39) cluster.cancelNow(3, 3000);
});

meeting(
  'machines that reach no controller, while commands reach them',
  [141, 142],
  (cluster, second) => {
    if (second === 10) cluster.mute(() => true, LEASE_MS + 3000);
    if (second === 35) cluster.mute(someMachines(cluster, 0.4), 20_000);
    if (second === 37) cluster.crash(leaderOr(cluster), 150);
    if (second === 12 || second === 40) cluster.cancelNow(3, 3000);
  },
);

meeting(
  'more work than room, urgent and not, over slow links',
  [151, 152],
  (cluster, second) => {
    cluster.net.slow = second < 50 ? 20 : 1;
    if (second % 3 === 0 && second < 30)
      void cluster.user(cluster.newJob({ ...BATCH, tasks: 20, durationS: 4 }), null);
    if (second % 10 === 5)
      void cluster.user(cluster.newJob(SERVICE), cluster.random.between(5000, 15_000));
    if (second === 25) cluster.crash(leaderOr(cluster), 150);
  },
  { capacity: 3, ordinaryUp: 4, teamLimit: 40 },
);

meeting(
  'a zone with workers and a controller is cut off, the leader ends, jobs are cancelled',
  [161, 162],
  (cluster, second) => {
    if (second !== 10 && second !== 38) return;
    const inside = (h: string): boolean =>
      cluster.inZone('b')(h) || (cluster.isNode(h) && zoneOf(h.slice(0, 2)) === 'b');
    const until = cluster.clock.time + 16_000;
    cluster.net.cuts.push({
      a: inside,
      b: (h) => !inside(h),
      until,
      mode: second === 10 ? 'hold' : 'reset',
    });
    cluster.clock.after(2000, () => {
      cluster.cancelNow(3, 5000, 'n0');
    });
    cluster.clock.after(4000, () => {
      cluster.crash(leaderOr(cluster), 150);
    });
  },
);

meeting(
  'the state service is slow, refuses the leader, then everybody',
  [171, 172],
  (cluster, second) => {
    if (second === 5) cluster.state.slowReads = { byMs: 400, until: cluster.clock.time + 25_000 };
    if (second === 12 || second === 30) cluster.state.refuse(`${leaderOr(cluster)}:80`, 6000);
    if (second === 14) cluster.state.outage(8000);
    if (second === 32) cluster.state.outage(CANCEL_MS + 3000);
    if (second % 9 === 4) cluster.cancelNow(1, 3000);
  },
);

meeting(
  'transactions without an answer are carried out late, after newer ones',
  [181, 182, 183],
  (cluster, second) => {
    cluster.state.lateWrites = { share: 0.15, until: cluster.clock.time + 1000 };
    if (second % 18 === 9) cluster.crash(leaderOr(cluster), cluster.random.pick([150, 3000]));
    if (second % 12 === 7) cluster.cancelNow(2, 2000);
  },
);

meeting(
  'commands are held up for seconds, machines stand still and go on',
  [191, 192, 193],
  (cluster, second) => {
    if (second % 6 === 2)
      cluster.holdCommands(someMachines(cluster, 0.4), cluster.random.between(1000, 6000));
    if (second % 7 === 5) hangSome(cluster, 0.2, 5000);
    if (second % 10 === 4) cluster.cancelNow(2, 0);
    if (second === 33) cluster.crash(leaderOr(cluster), 150);
  },
);

meeting(
  'a leader ends while machines can not be reached, or do not hear the new one',
  [201, 202],
  (cluster, second) => {
    const host = cluster.hostsOf(someMachines(cluster, 0.3));
    const until = cluster.clock.time + cluster.random.between(6000, 14_000);
    if (second === 10) cluster.net.cuts.push({ a: host, b: () => true, until, mode: 'hold' });
    if (second === 36)
      cluster.net.cuts.push({ a: () => true, b: host, until, mode: 'hold', oneWay: true });
    if (second === 11 || second === 37) cluster.crash(leaderOr(cluster), 3000);
    if (second === 14 || second === 40) cluster.cancelNow(3, 0);
  },
);

meeting(
  'controllers hand over and back, all end, one returns at once',
  [211, 212],
  (cluster, second) => {
    const lone = cluster.names[0];
    if (second === 8 || second === 14) cluster.mute(() => true, 4500);
    if (second === 24)
      for (const name of cluster.names) cluster.crash(name, name === lone ? 150 : 15_000);
    if (second === 48)
      for (const name of cluster.names)
        cluster.crash(name, name === lone ? 800 : cluster.random.between(2000, 6000));
    if (second === 23 || second === 47) cluster.cancelNow(2, 2000);
  },
);

meeting('jobs of one zone lose machines', [221, 222], (cluster, second) => {
  const array = { ...BATCH, oneZone: true, tasks: 6, durationS: 6 };
  if (second % 6 === 1)
    void cluster.user(
      cluster.newJob({ ...array, zone: cluster.random.pick(['a', 'b', null]) }),
      null,
    );
  if (second % 9 === 4) {
    const machine = [...cluster.cloud.machines.values()].find((x) =>
      [...cluster.rules.on.values()].some((p) => p[0].machine === x.id),
    );
    if (machine?.worker) cluster.cloud.take(machine);
  }
  if (second === 30) cluster.crash(leaderOr(cluster), 150);
});

meeting(
  'reports are held until a new leader has acted, and arrive there',
  [231, 232],
  (cluster, second) => {
    if (second % 15 !== 6) return;
    const old = leaderOr(cluster);
    copiesTo(cluster, 0.5);
    cluster.clock.after(800, () => {
      cluster.crash(old, 150);
    });
    cluster.clock.after(4000, () => (cluster.net.copies = null));
    cluster.clock.after(6000, () => {
      cluster.cancelNow(2, 0);
    });
  },
);

test('a start is on its way when its job is called off: it meets a raised token', async () => {
  const cluster = await serving({ seed: 241, teamLimit: 1000 });
  // So that all machines have the image, and a start is one at once.
  void cluster.user(cluster.newJob({ ...BATCH, tasks: 80, durationS: 1, image: 'img-0' }), null);
  await cluster.run(20);
  for (const lateMs of [1600, 1900, 2200, 3500]) {
    cluster.holdCommands(() => true, lateMs);
    const submission = cluster.newJob({
      ...BATCH,
      tasks: 4,
      durationS: 30,
      image: 'img-0',
      imageGb: 0,
    });
    void cluster.user(submission, 150);
    await cluster.run(8);
    const job = cluster.rules.jobs.get(submission.id)!;
    assert.notEqual(job.toldCancelledAt, null);
    assert.equal(job.firstStartAt, null, `${lateMs} ms late`);
  }
  assert.deepEqual(cluster.rules.broken, []);
});

for (const seed of [251, 252])
  test(`jobs of two or three tasks that end far apart, across changes of leader (${seed})`, async () => {
    const cluster = await serving({ seed }, 1);
    cluster.slowNext = 8;
    cluster.cloud.add('t16', 'a', false, true);
    for (let i = 0; i < 12; i++)
      void cluster.user(
        cluster.newJob({ ...BATCH, tasks: cluster.random.int(2, 3), durationS: 3 }),
        null,
      );
    for (let second = 0; second < 40; second++) {
      if (second % 6 === 4) cluster.crash(leaderOr(cluster), cluster.random.pick([150, 3000]));
      if (second === 9 || second === 21) copiesTo(cluster, 0.3);
      await cluster.run(1);
    }
    cluster.net.copies = null;
    await cluster.run(60);
    for (const [id, job] of cluster.rules.jobs)
      if (job.spec.kind === 'array') assert.notEqual(job.toldDoneAt, null, id);
    assert.deepEqual(cluster.rules.broken, []);
  });

test('cancellations, questions and repeated submissions meet the end of the last task', async () => {
  const cluster = await serving({ seed: 261 }, 1);
  const outcomes = new Map<string, number>();
  for (let i = 0; i < 60; i++) {
    const submission = cluster.newJob({
      ...BATCH,
      tasks: cluster.random.int(1, 3),
      durationS: 1,
      imageGb: 0,
    });
    const { id } = submission;
    void cluster.user(submission, null);
    await cluster.run(0.2);
    const job = cluster.rules.jobs.get(id)!;
    for (let t = 0; t < 400 && job.finished.size < job.spec.tasks; t++) await cluster.run(0.02);
    cluster.clock.after(cluster.random.between(0, 250), () => void cluster.cancel(id));
    for (let k = 0; k < 4; k++) {
      cluster.clock.after(cluster.random.between(0, 400), () => void cluster.question(id));
      cluster.clock.after(cluster.random.between(0, 400), () => void cluster.repeat(id));
    }
    await cluster.run(1);
    const how =
      job.toldDoneAt !== null ? 'done' : job.toldCancelledAt !== null ? 'cancelled' : 'unknown';
    outcomes.set(how, (outcomes.get(how) ?? 0) + 1);
  }
  await cluster.run(10);
  assert.deepEqual(cluster.rules.broken, []);
  assert.equal(outcomes.get('unknown'), undefined);
  assert.ok(
    outcomes.get('done')! > 3 && outcomes.get('cancelled')! > 3,
    JSON.stringify([...outcomes]),
  );
});
