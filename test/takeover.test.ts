import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';

/** A long array fills its team's limit on machines that the next leader can't reach at first. */
async function unreachable(seed: number): Promise<Cluster> {
  const c = new Cluster({ seed, teamLimit: 20, ordinaryUp: 6 });
  c.net.lossy = 0;
  await c.run(4);
  const array = {
    miller: 't0',
    grind: 'array',
    grist: 'batch',
    precedence: 'normal',
    scatter: false,
    one_zone: false,
  };
  void c.user(c.jobBody({ ...array, sacks: 10, grind_s: 90, loaned_stones: false }), null);
  await c.run(12);
  assert.equal(c.rules.starts, 10);
  const busy = new Set([...c.rules.on.values()].map((places) => `w-${places[0].machine}:9000`));
  for (const zone of ['a', 'b', 'a', 'b']) c.cloud.add('t16', zone, false, true);
  await c.run(2);
  c.net.cuts.push({
    a: (h) => busy.has(h),
    b: () => true,
    until: c.clock.time + 6000,
    mode: 'hold',
  });
  c.cloud.downUntil = c.clock.time + 6000;
  c.crash(c.leader()!, 20_000);
  return c;
}

// Tasks that a new leader has not seen yet count against their team's limit: see `unconfirmedUsage`.
test('a new job does not break the quota while old tasks are out of sight', async () => {
  const c = await unreachable(3);
  await c.run(3);
  for (const miller of ['t0', 't1'])
    void c.user(
      c.jobBody({
        miller,
        grind: 'daemon',
        grist: 'desk',
        sacks: 3,
        scatter: true,
        loaned_stones: false,
      }),
      null,
    );
  await c.run(4);
  assert.deepEqual(c.rules.broken, []);
  await c.run(20);
  assert.deepEqual(c.rules.broken, []);
});

test('cancelled while out of sight: gone in time, and nothing of it starts', async () => {
  const c = await unreachable(4);
  const id = [...c.rules.jobs.keys()][0];
  c.rules.jobs.get(id)!.cancelAsked = true;
  const cancel = async (): Promise<void> => {
    const n = c.names.find((x) => x === c.leader()) ?? 'n1';
    const asked = c.clock.time;
    const r = await c.net.send('user', `${n}:80`, 'POST', `/v1/jobs/${id}/withdraw`, null, 5000);
    c.rules.told(id, r.status, r.body.condition, asked);
    if (r.status !== 200) c.clock.after(500, () => void cancel());
  };
  c.clock.after(3800, () => void cancel());
  await c.run(40);
  assert.notEqual(c.rules.jobs.get(id)!.toldCancelledAt, null);
  assert.equal([...c.rules.on.keys()].filter((t) => t.startsWith(id)).length, 0);
  assert.deepEqual(c.rules.broken, []);
});

test('a lone machine that stays silent is deleted, and its tasks run elsewhere', async () => {
  const c = new Cluster({ seed: 8, ordinaryUp: 6 });
  await c.run(4);
  void c.user(
    c.jobBody({
      grind: 'daemon',
      grist: 'desk',
      sacks: 3,
      scatter: true,
      one_zone: false,
      loaned_stones: false,
    }),
    null,
  );
  await c.run(12);
  const [task, places] = [...c.rules.on][0];
  const lost = places[0].machine;
  c.net.cuts.push({
    a: (h) => h.startsWith(`w-${lost}`),
    b: () => true,
    until: Infinity,
    mode: 'hold',
  });
  await c.run(10);
  assert.equal(c.cloud.machines.has(lost), false);
  assert.notEqual(c.rules.on.get(task)?.[0]?.machine, lost);
  assert.equal(c.rules.on.size, 3);
  assert.deepEqual(c.rules.broken, []);
});
