/** A deployment of hundreds of machines under five controllers: the rules, and how much work it takes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';

test('hundreds of machines: rules kept, and work in proportion to events', async () => {
  const work = { passes: 0, looks: 0, starts: 0 };
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
    log: (_node, text, fields) => {
      if (text !== 'round') return;
      for (const k of ['passes', 'looks', 'starts'] as const) work[k] += (fields as typeof work)[k];
    },
  });
  await c.run(3);
  const desk = (): void =>
    void c.user(
      c.jobBody({
        grind: 'daemon',
        grist: 'desk',
        precedence: 'production',
        sacks: c.luck.pick([2, 4, 16]),
        vcpus: 4,
        scatter: true,
        one_zone: false,
        loaned_stones: false,
        grind_s: 0,
        due_s: null,
      }),
      null,
    );
  const batch = (): void =>
    void c.user(
      c.jobBody({
        grind: 'array',
        grist: 'batch',
        precedence: 'normal',
        sacks: c.luck.int(20, 160),
        scatter: false,
        one_zone: false,
        loaned_stones: true,
        grind_s: c.luck.between(8, 30),
        due_s: null,
      }),
      null,
    );
  let submitted = 0;
  for (let s = 0; s < 55; s++) {
    for (let i = 0; i < (s < 10 ? 6 : 1); i++, submitted++) desk();
    for (let i = 0; i < (s < 10 ? 3 : 1); i++, submitted++) batch();
    if (s === 25) for (const n of c.names.slice(0, 2)) c.crash(n, 3000);
    if (s === 35)
      for (const m of [...c.cloud.machines.values()]) if (m.spot && c.luck.chance(0.4)) c.cloud.take(m);
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
  assert.ok(work.looks < 150 * work.starts, `${work.looks} looks for ${work.starts} starts`);
  assert.ok(asked.changes < 6 * submitted + 400, `${asked.changes} changes for ${submitted} jobs`);
  assert.ok(asked.requests < 90 * 100, `${asked.requests} requests`);
  assert.ok(asked.tooMany < 20, `${asked.tooMany} requests over the limits`);
});
