/** Meetings of troubles: two or three at once, each brought about by itself. docs/safety.md has a row for each. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_MS, Cluster, LEASE_MS, zoneOf } from './sim/cluster.js';
import type { ClusterConfig } from './sim/cluster-config.js';
import { BATCH, DESK, GANG } from './sim/jobs.js';
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
    const c = await serving({ seed });
    // Nothing travels between controllers, so that only the bound on what renews a lease helps.
    apart(c);
    const { first } = await cancelledBesideRefusal(c, 14_000);
    c.state.outage(CANCEL_MS + 12_000);
    // Its machines stand still at the end of their leases, and go on.
    for (const place of c.rules.on.get(`${first}/0`) ?? [])
      c.clock.after(CANCEL_MS / 2, () => {
        c.hang(place.machine, LEASE_MS);
      });
    await c.run(CANCEL_MS / 1000 + 10);
    assert.equal(tasksOf(c, first), 0);
    await c.run(40);
    assert.deepEqual(c.rules.broken, []);
    assert.deepEqual(c.rules.startsCancelled, []);
    assert.equal(c.rules.on.size, 9, 'all others run again');
  });

for (const seed of [11, 12, 13, 14])
  test(`a leader comes back from a pause before it has read what was cancelled meanwhile (${seed})`, async () => {
    let resumed = false;
    const c = await serving({
      seed,
      log: (_node, text, fields) => {
        if (text !== 'leadership' || (fields as { from: string }).from !== 'suspended') return;
        if ((fields as { to: string }).to === 'leader') resumed = true;
      },
    });
    apart(c);
    await cancelledBesideRefusal(c, 15_500);
    c.state.outage(14_000);
    // Renewals are answered, reads only seconds later.
    c.state.slowReads = { byMs: 5000, until: c.clock.time + 20_000 };
    for (let i = 0; i < 500 && !resumed; i++) await c.run(0.05);
    assert.ok(resumed, 'the claim outlived the outage');
    // Reports come, and are answered or not; then machines stand still for nearly a lease.
    await c.run(1.8);
    for (const m of c.cloud.machines.values()) if (m.worker) c.hang(m.id, LEASE_MS - 500);
    await c.run(60);
    assert.deepEqual(c.rules.broken, []);
    assert.equal(c.rules.on.size, 9, 'all others run again');
  });

test('after a pause nothing starts before what was cancelled meanwhile has been read', async () => {
  const c = await serving({ seed: 15, teamLimit: 30 });
  const old = c.leader()!;
  // One array fills its team's limit, the other waits behind it.
  const array = { ...BATCH, team: 't0', tasks: 15, imageGb: 0 };
  void c.user(c.newJob({ ...array, durationS: 15 }), null);
  await c.run(6);
  const waiting = c.newJob({ ...array, durationS: 5 });
  void c.user(waiting, null);
  await c.run(1);
  apart(c);
  c.state.refuse(`${old}:80`, 6500);
  await c.run(0.2);
  void c.cancel(waiting.id, other(c, old));
  await c.run(1.8);
  const job = c.rules.jobs.get(waiting.id)!;
  assert.notEqual(job.toldCancelledAt, null, 'confirmed before the outage');
  assert.equal(job.firstStartAt, null);
  c.state.outage(6000);
  c.state.slowReads = { byMs: 4000, until: c.clock.time + 30_000 };
  await c.run(40);
  assert.equal(c.leader(), old);
  assert.deepEqual(c.rules.startsCancelled, []);
  assert.deepEqual(c.rules.broken, []);
});

test('who keeps leases for a leader that is gone stops what is cancelled', async () => {
  const c = await serving({ seed: 16 });
  const old = c.leader()!;
  c.crash(old, 60_000);
  await c.run(0.3);
  const first = ids(c)[0];
  void c.cancel(first, other(c, old));
  await c.run(1.5);
  assert.notEqual(c.rules.jobs.get(first)!.toldCancelledAt, null, 'confirmed before the outage');
  c.state.outage(20_000);
  await c.run(6);
  assert.equal(tasksOf(c, first), 0);
  assert.equal(c.rules.on.size, 9, 'all others are kept');
  await c.run(30);
  assert.deepEqual(c.rules.broken, []);
});

for (const seed of [21, 22])
  test(`an outage far longer than leases costs nothing while all controllers vouch for each other (${seed})`, async () => {
    const c = await serving({ seed });
    const { starts } = c.rules;
    const { first, old } = await cancelledBesideRefusal(c, 14_000);
    assert.equal(tasksOf(c, first), 0, 'the refused leader has heard of it from the other');
    c.state.outage(2 * CANCEL_MS);
    await c.run(2 * (CANCEL_MS / 1000) + 10);
    assert.equal(c.leader(), old);
    assert.equal(c.rules.on.size, 9);
    assert.equal(c.rules.starts, starts, 'nothing had to start again');
    assert.deepEqual(c.rules.broken, []);
  });

for (const seed of [31, 32])
  test(`who confirmed a cancellation has forgotten it, and the state service is down (${seed})`, async () => {
    const c = await serving({ seed });
    const old = c.leader()!;
    const told = other(c, old);
    c.net.cuts.push({
      a: (h) => h === `${told}:80`,
      b: (h) => c.isNode(h),
      until: c.clock.time + 2100,
      mode: 'reset',
    });
    c.state.refuse(`${old}:80`, 14_000);
    await c.run(0.2);
    const first = ids(c)[0];
    void c.cancel(first, told);
    await c.run(1.75);
    assert.notEqual(c.rules.jobs.get(first)!.toldCancelledAt, null, 'confirmed before the outage');
    c.state.outage(CANCEL_MS + 8000);
    c.crash(told, 100);
    await c.run(CANCEL_MS / 1000 + 4);
    assert.equal(tasksOf(c, first), 0);
    assert.deepEqual(c.rules.broken, []);
  });

/** Jobs come all the while; each second may bring a trouble. Afterwards all are served. */
function meeting(
  name: string,
  seeds: number[],
  troubles: (c: Cluster, second: number) => void,
  config: Partial<ClusterConfig> = {},
): void {
  const eachSecond = (c: Cluster, s: number): void => {
    if (s % 6 === 3) void c.user(c.newJob({ ...GANG, tasks: c.random.int(2, 5) }), null);
    troubles(c, s);
  };
  testDays(name, seeds, eachSecond, config);
}

meeting(
  'old reports, of earlier sessions and attempts too, after newer ones',
  [101, 102],
  (c, s) => {
    copiesTo(c, 0.25);
    if (s % 10 === 4) hangSome(c, 0.3, 9500);
    if (s % 16 === 9) c.cancelNow(2, 0);
  },
);

meeting('leaders change every few seconds, also inside an outage', [111, 112], (c, s) => {
  if (s % 5 === 2) c.crash(leaderOr(c), c.random.pick([150, 2000]));
  if (s === 20) c.state.outage(12_000);
  if (s % 15 === 12) c.cancelNow(2, 4000);
});

meeting(
  'a leader without state service and peers, jobs cancelled through the new one',
  [121, 122, 123],
  (c, s) => {
    if (s % 30 !== 8) return;
    const old = leaderOr(c);
    c.isolate(old, 26_000, s < 30 ? 'hold' : 'reset');
    c.clock.after(5000, () => {
      c.cancelNow(4, 7500, other(c, old));
    });
  },
);

meeting('all controllers are away for longer than a lease', [131, 132], (c, s) => {
  if (s === 12) for (const n of c.names) c.freeze(n, LEASE_MS + c.random.between(1000, 4000));
  if (s === 40) for (const n of c.names) c.crash(n, LEASE_MS + c.random.between(1000, 4000));
  if (s === 11 || s === 39) c.cancelNow(3, 3000);
});

meeting('machines that reach no controller, while commands reach them', [141, 142], (c, s) => {
  if (s === 10) c.mute(() => true, LEASE_MS + 3000);
  if (s === 35) c.mute(someMachines(c, 0.4), 20_000);
  if (s === 37) c.crash(leaderOr(c), 150);
  if (s === 12 || s === 40) c.cancelNow(3, 3000);
});

meeting(
  'more work than room, urgent and not, over slow links',
  [151, 152],
  (c, s) => {
    c.net.slow = s < 50 ? 20 : 1;
    if (s % 3 === 0 && s < 30) void c.user(c.newJob({ ...BATCH, tasks: 20, durationS: 4 }), null);
    if (s % 10 === 5) void c.user(c.newJob(DESK), c.random.between(5000, 15_000));
    if (s === 25) c.crash(leaderOr(c), 150);
  },
  { capacity: 3, ordinaryUp: 4, teamLimit: 40 },
);

meeting(
  'a zone with workers and a controller is cut off, the leader ends, jobs are cancelled',
  [161, 162],
  (c, s) => {
    if (s !== 10 && s !== 38) return;
    const inside = (h: string): boolean =>
      c.inZone('b')(h) || (c.isNode(h) && zoneOf(h.slice(0, 2)) === 'b');
    const until = c.clock.time + 16_000;
    c.net.cuts.push({ a: inside, b: (h) => !inside(h), until, mode: s === 10 ? 'hold' : 'reset' });
    c.clock.after(2000, () => {
      c.cancelNow(3, 5000, 'n0');
    });
    c.clock.after(4000, () => {
      c.crash(leaderOr(c), 150);
    });
  },
);

meeting('the state service is slow, refuses the leader, then everybody', [171, 172], (c, s) => {
  if (s === 5) c.state.slowReads = { byMs: 400, until: c.clock.time + 25_000 };
  if (s === 12 || s === 30) c.state.refuse(`${leaderOr(c)}:80`, 6000);
  if (s === 14) c.state.outage(8000);
  if (s === 32) c.state.outage(CANCEL_MS + 3000);
  if (s % 9 === 4) c.cancelNow(1, 3000);
});

meeting(
  'transactions without an answer are carried out late, after newer ones',
  [181, 182, 183],
  (c, s) => {
    c.state.lateWrites = { share: 0.15, until: c.clock.time + 1000 };
    if (s % 18 === 9) c.crash(leaderOr(c), c.random.pick([150, 3000]));
    if (s % 12 === 7) c.cancelNow(2, 2000);
  },
);

meeting(
  'commands are held up for seconds, machines stand still and go on',
  [191, 192, 193],
  (c, s) => {
    if (s % 6 === 2) c.holdCommands(someMachines(c, 0.4), c.random.between(1000, 6000));
    if (s % 7 === 5) hangSome(c, 0.2, 5000);
    if (s % 10 === 4) c.cancelNow(2, 0);
    if (s === 33) c.crash(leaderOr(c), 150);
  },
);

meeting(
  'a leader ends while machines can not be reached, or do not hear the new one',
  [201, 202],
  (c, s) => {
    const host = c.hostsOf(someMachines(c, 0.3));
    const until = c.clock.time + c.random.between(6000, 14_000);
    if (s === 10) c.net.cuts.push({ a: host, b: () => true, until, mode: 'hold' });
    if (s === 36) c.net.cuts.push({ a: () => true, b: host, until, mode: 'hold', oneWay: true });
    if (s === 11 || s === 37) c.crash(leaderOr(c), 3000);
    if (s === 14 || s === 40) c.cancelNow(3, 0);
  },
);

meeting('controllers hand over and back, all end, one returns at once', [211, 212], (c, s) => {
  const lone = c.names[0];
  if (s === 8 || s === 14) c.mute(() => true, 4500);
  if (s === 24) for (const n of c.names) c.crash(n, n === lone ? 150 : 15_000);
  if (s === 48)
    for (const n of c.names) c.crash(n, n === lone ? 800 : c.random.between(2000, 6000));
  if (s === 23 || s === 47) c.cancelNow(2, 2000);
});

meeting('jobs of one zone lose machines', [221, 222], (c, s) => {
  const array = { ...BATCH, oneZone: true, tasks: 6, durationS: 6 };
  if (s % 6 === 1) void c.user(c.newJob({ ...array, zone: c.random.pick(['a', 'b', null]) }), null);
  if (s % 9 === 4) {
    const m = [...c.cloud.machines.values()].find((x) =>
      [...c.rules.on.values()].some((p) => p[0].machine === x.id),
    );
    if (m?.worker) c.cloud.take(m);
  }
  if (s === 30) c.crash(leaderOr(c), 150);
});

meeting('reports are held until a new leader has acted, and arrive there', [231, 232], (c, s) => {
  if (s % 15 !== 6) return;
  const old = leaderOr(c);
  copiesTo(c, 0.5);
  c.clock.after(800, () => {
    c.crash(old, 150);
  });
  c.clock.after(4000, () => (c.net.copies = null));
  c.clock.after(6000, () => {
    c.cancelNow(2, 0);
  });
});

test('a start is on its way when its job is called off: it meets a raised token', async () => {
  const c = await serving({ seed: 241, teamLimit: 1000 });
  // So that all machines have the image, and a start is one at once.
  void c.user(c.newJob({ ...BATCH, tasks: 80, durationS: 1, image: 'img-0' }), null);
  await c.run(20);
  for (const lateMs of [1600, 1900, 2200, 3500]) {
    c.holdCommands(() => true, lateMs);
    const submission = c.newJob({ ...BATCH, tasks: 4, durationS: 30, image: 'img-0', imageGb: 0 });
    void c.user(submission, 150);
    await c.run(8);
    const job = c.rules.jobs.get(submission.id)!;
    assert.notEqual(job.toldCancelledAt, null);
    assert.equal(job.firstStartAt, null, `${lateMs} ms late`);
  }
  assert.deepEqual(c.rules.broken, []);
});

for (const seed of [251, 252])
  test(`jobs of two or three tasks that end far apart, across changes of leader (${seed})`, async () => {
    const c = await serving({ seed }, 1);
    c.slowNext = 8;
    c.cloud.add('t16', 'a', false, true);
    for (let i = 0; i < 12; i++)
      void c.user(c.newJob({ ...BATCH, tasks: c.random.int(2, 3), durationS: 3 }), null);
    for (let s = 0; s < 40; s++) {
      if (s % 6 === 4) c.crash(leaderOr(c), c.random.pick([150, 3000]));
      if (s === 9 || s === 21) copiesTo(c, 0.3);
      await c.run(1);
    }
    c.net.copies = null;
    await c.run(60);
    for (const [id, j] of c.rules.jobs)
      if (j.spec.kind === 'array') assert.notEqual(j.toldDoneAt, null, id);
    assert.deepEqual(c.rules.broken, []);
  });

test('cancellations, questions and repeated submissions meet the end of the last task', async () => {
  const c = await serving({ seed: 261 }, 1);
  const outcomes = new Map<string, number>();
  for (let i = 0; i < 60; i++) {
    const submission = c.newJob({ ...BATCH, tasks: c.random.int(1, 3), durationS: 1, imageGb: 0 });
    const { id } = submission;
    void c.user(submission, null);
    await c.run(0.2);
    const job = c.rules.jobs.get(id)!;
    for (let t = 0; t < 400 && job.finished.size < job.spec.tasks; t++) await c.run(0.02);
    c.clock.after(c.random.between(0, 250), () => void c.cancel(id));
    for (let k = 0; k < 4; k++) {
      c.clock.after(c.random.between(0, 400), () => void c.question(id));
      c.clock.after(c.random.between(0, 400), () => void c.repeat(id));
    }
    await c.run(1);
    const how =
      job.toldDoneAt !== null ? 'done' : job.toldCancelledAt !== null ? 'cancelled' : 'unknown';
    outcomes.set(how, (outcomes.get(how) ?? 0) + 1);
  }
  await c.run(10);
  assert.deepEqual(c.rules.broken, []);
  assert.equal(outcomes.get('unknown'), undefined);
  assert.ok(
    outcomes.get('done')! > 3 && outcomes.get('cancelled')! > 3,
    JSON.stringify([...outcomes]),
  );
});
