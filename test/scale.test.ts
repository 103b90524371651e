/** A deployment of hundreds of machines under five controllers: the rules, and how much work it takes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudMachine } from './sim/cloud.js';
import { Cluster } from './sim/cluster.js';
import { addingUp } from './sim/scenarios.js';

const desk = (c: Cluster): void =>
  void c.user(
    c.newJob({
      kind: 'service',
      jobClass: 'desk',
      priority: 'production',
      tasks: c.random.pick([2, 4, 16]),
      cpus: 4,
      spread: true,
      oneZone: false,
      spot: false,
      durationS: 0,
      deadlineS: null,
    }),
    null,
  );

const batch = (c: Cluster): void =>
  void c.user(
    c.newJob({
      kind: 'array',
      jobClass: 'batch',
      priority: 'normal',
      tasks: c.random.int(20, 160),
      spread: false,
      oneZone: false,
      spot: true,
      durationS: c.random.between(8, 30),
      deadlineS: null,
    }),
    null,
  );

test('hundreds of machines: rules kept, and work in proportion to events', async () => {
  const work = { cycles: 0, candidatesExamined: 0, starts: 0 };
  const c = new Cluster({
    seed: 5,
    nodes: 5,
    saveMoney: true,
    ordinaryUp: 0,
    capacity: 160,
    teamLimit: 1e6,
    reportMs: 3000,
    leaseMs: 15_000,
    state: { rps: 200, writeRps: 30 },
    log: addingUp(work),
  });
  await c.run(3);
  let submitted = 0;
  for (let s = 0; s < 55; s++) {
    for (let i = 0; i < (s < 10 ? 6 : 1); i++, submitted++) desk(c);
    for (let i = 0; i < (s < 10 ? 3 : 1); i++, submitted++) batch(c);
    if (s === 25) for (const n of c.names.slice(0, 2)) c.crash(n, 3000);
    if (s === 35)
      for (const m of [...c.cloud.machines.values()])
        if (m.spot && c.random.chance(0.4)) c.cloud.take(m);
    if (s === 45) c.crash(c.leader()!, 200);
    await c.run(1);
  }
  await c.run(35);
  c.rules.checkServed();
  assert.deepEqual(c.rules.broken, []);
  assert.ok(c.cloud.machines.size > 200, `${c.cloud.machines.size} machines`);
  assert.ok(c.rules.starts > 5000, `${c.rules.starts} starts`);
  const { asked } = c.state;
  // A pass looks at each machine at most once a waiting job, and not once a task.
  assert.ok(
    work.candidatesExamined < 150 * work.starts,
    `${work.candidatesExamined} candidates examined for ${work.starts} starts`,
  );
  assert.ok(asked.changes < 6 * submitted + 400, `${asked.changes} changes for ${submitted} jobs`);
  assert.ok(asked.requests < 90 * 100, `${asked.requests} requests`);
  assert.ok(asked.tooMany < 20, `${asked.tooMany} requests over the limits`);
});

test('more than a thousand machines: waves of deaths and hangs, a zone cut off, a frozen leader, all crashing in an outage', async () => {
  let most = { candidatesExamined: 0, starts: 1 };
  const c = new Cluster({
    seed: 8,
    nodes: 5,
    zones: ['a', 'b', 'c', 'd'],
    ordinaryUp: 1100,
    capacity: 330,
    teamLimit: 1e6,
    reportMs: 4000,
    leaseMs: 15_000,
    state: { rps: 250, writeRps: 30 },
    log: (_node, text, fields) => {
      const w = fields as typeof most;
      if (text === 'round' && w.candidatesExamined > most.candidatesExamined) most = w;
    },
  });
  const some = (n: number): CloudMachine[] => {
    const up = [...c.cloud.machines.values()].filter((m) => m.worker !== null);
    return Array.from({ length: n }, () => c.random.pick(up));
  };
  const hang = (n: number, ms: number): void => {
    for (const m of some(n)) c.net.hosts.get(`w-${m.id}:9000`)!.hangsUntil = c.clock.time + ms;
  };
  await c.run(8);
  let machines = 0;
  for (let s = 0; s < 70; s++) {
    machines = Math.max(machines, c.cloud.machines.size);
    if (s % 2 === 0) desk(c);
    for (let i = 0; i < (s < 5 ? 8 : 1); i++) batch(c);
    if (s === 12) for (const m of some(60)) m.worker?.kill();
    if (s === 14) c.crash(c.leader()!, 200);
    if (s === 20) {
      const until = c.clock.time + 18_000;
      c.net.cuts.push({ a: c.inZone('d'), b: () => true, until, mode: 'hold' });
    }
    if (s === 24) hang(70, 10_000);
    if (s === 30) c.freeze(c.leader()!, 14_000);
    if (s === 42) hang(60, 22_000);
    if (s === 50) c.state.outage(5000);
    if (s === 52) for (const n of c.names) c.crash(n, c.random.pick([200, 4000]));
    await c.run(1);
  }
  c.quietFrom = c.clock.time + 20_000;
  await c.run(40);
  c.rules.checkServed();
  assert.deepEqual(c.rules.broken, []);
  assert.ok(machines > 1000, `${machines} machines`);
  assert.ok(c.rules.starts > 6000, `${c.rules.starts} starts`);
  const { asked } = c.state;
  assert.ok(asked.requests < 90 * 125, `${asked.requests} requests`);
  assert.ok(asked.tooMany < 40, `${asked.tooMany} requests over the limits`);
  assert.ok(
    most.candidatesExamined < 1500 * most.starts,
    `${most.candidatesExamined} candidates examined for ${most.starts} starts`,
  );
});
