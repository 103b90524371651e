import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readJob } from '../src/wire/users.js';
import { readHeartbeat } from '../src/wire/workers.js';
import { decodeMap, encode, narrow, wide } from '../src/wire/cbor.js';
import { Cluster } from './sim/cluster.js';
import { jobFacts } from './sim/rules.js';
import type { Reply } from '../src/runtime.js';
import type { Body } from '../src/wire/cbor.js';

async function asked(
  c: Cluster,
  method: string,
  path: string,
  body: object | null,
  node = 'n0',
): Promise<Reply> {
  let reply: Reply | null = null;
  void c.net
    .send('user', `${node}:80`, method, path, body as Reply['body'] | null, 5000)
    .then((r) => (reply = r));
  for (let i = 0; i < 60 && !reply; i++) await c.run(0.1);
  return reply!;
}

function quiet(seed: number): Cluster {
  const c = new Cluster({ seed });
  c.net.lossy = 0;
  return c;
}

test('malformed, impossible, unknown and repeated submissions', async () => {
  const c = quiet(5);
  await c.run(3);
  const job = c.jobBody({ grind: 'array', grist: 'batch', sacks: 3, scatter: false });
  const status = async (over: object): Promise<number> =>
    (await asked(c, 'POST', '/v1/jobs', { ...job, ...over })).status;
  for (const over of [
    { id: 'x' },
    { sacks: 0 },
    { sacks: 100_001 },
    { sacks: 1.5 },
    { grind: 'cron' },
    { precedence: 'urgent' },
    { vcpus: -1 },
    { one_zone: 'yes' },
    { stone_kinds: 'g8' },
    { seed: undefined },
  ])
    assert.equal(await status(over), 400, JSON.stringify(over));
  assert.equal(await status({ miller: 'nobody' }), 422);
  assert.equal(await status({ vcpus: 17 }), 422);
  assert.equal(await status({ yard: 'nowhere' }), 422);
  assert.equal(
    await status({ grind: 'daemon', sacks: 41 }),
    422,
    'a service over its limit as a whole',
  );
  assert.equal(
    await status({ grind: 'group', sacks: 41 }),
    422,
    'a gang over its limit as a whole',
  );
  assert.equal((await asked(c, 'GET', `/v1/jobs/${String(job.id)}`, null)).status, 404);
  assert.equal((await asked(c, 'POST', '/v1/jobs/run-999999/withdraw', null)).status, 404);
  c.rules.jobs.set(job.id as string, jobFacts(job, c.clock.time));
  assert.equal(await status({}), 201);
  assert.equal(await status({}), 200);
  await c.run(40);
  const after = await asked(c, 'POST', '/v1/jobs', job);
  assert.deepEqual([after.status, after.body.condition], [200, 'done']);
  const late = await asked(c, 'POST', `/v1/jobs/${String(job.id)}/withdraw`, null);
  assert.equal(late.body.condition, 'done');
  assert.deepEqual(c.rules.broken, []);
});

const INVALID: Record<string, unknown[]> = {
  id: ['x', 'run-', 'run-1x', 7, ''],
  grist: ['', 3],
  miller: ['', null],
  grind: ['cron', 'gang', 'constructor', null, 1],
  precedence: ['urgent', null],
  sacks: [0, -1, 1.5, 100_001, '4', null],
  vcpus: [-1, '2', null],
  gpus: [-1, true],
  ram_gb: [-0.5, 'x'],
  seed: ['', 4],
  image_gb: [-1, null],
  one_zone: ['yes', null, 1],
  scatter: [0, null],
  loaned_stones: ['', null],
  grind_s: [-1, null],
  bin_every_s: [-1, 'x'],
  bin_s: [-2, null],
  stone_kinds: ['t16', [1], {}],
  yard: [4, ''],
  due_s: [-1, 'soon'],
};
const NULLABLE = ['stone_kinds', 'yard', 'due_s'];

test('a field that is missing or invalid gets 400, at every node and again on repetition', async () => {
  const c = quiet(8);
  await c.run(3);
  const job = c.jobBody({ grind: 'array', grist: 'batch', sacks: 3, scatter: false });
  const bad: Body[] = [];
  for (const [field, values] of Object.entries(INVALID)) {
    const { [field]: gone, ...rest } = job;
    assert.notEqual(gone, undefined, field);
    if (!NULLABLE.includes(field)) bad.push(rest);
    for (const v of values) bad.push({ ...job, [field]: v });
  }
  for (const body of bad)
    for (const node of [...c.names, 'n1'])
      assert.equal(
        (await asked(c, 'POST', '/v1/jobs', body, node)).status,
        400,
        JSON.stringify(body),
      );
  assert.equal((await asked(c, 'GET', `/v1/jobs/${String(job.id)}`, null)).status, 404);
});

test('a job that can never run gets 422, at every node and again on repetition', async () => {
  const c = quiet(9);
  await c.run(3);
  const never: Body[] = [
    { miller: 'nobody' },
    { vcpus: 17 },
    { ram_gb: 65 },
    { gpus: 1 },
    { yard: 'nowhere' },
    { stone_kinds: [] },
    { stone_kinds: ['t17'] },
    { grind: 'daemon', sacks: 41 },
    { scatter: true, sacks: 2, yard: 'a' },
    { scatter: true, sacks: 2, one_zone: true },
  ];
  for (const over of never) {
    const body = c.jobBody({ grind: 'array', sacks: 3, scatter: false, one_zone: false, ...over });
    for (const node of [...c.names, 'n2'])
      assert.equal(
        (await asked(c, 'POST', '/v1/jobs', body, node)).status,
        422,
        JSON.stringify(over),
      );
    assert.equal((await asked(c, 'GET', `/v1/jobs/${String(body.id)}`, null)).status, 404);
  }
  const oneZone = new Cluster({ seed: 10, zones: ['a'] });
  await oneZone.run(3);
  const apart = oneZone.jobBody({ grind: 'daemon', scatter: true, one_zone: false, sacks: 2 });
  assert.equal((await asked(oneZone, 'POST', '/v1/jobs', apart)).status, 422);
});

test('what cannot be served is answered at once, and never as unknown', async () => {
  const c = quiet(6);
  await c.run(3);
  c.state.outage(5000);
  const before = c.clock.time;
  const r = await asked(c, 'POST', '/v1/jobs', c.jobBody());
  assert.equal(r.status, 503);
  assert.equal((await asked(c, 'GET', '/v1/jobs/run-000009', null)).status, 503);
  assert.ok(c.clock.time - before < 1000);
});

test('integers above 32 bits stay integers on the wire', () => {
  const v = 2 ** 45 + 1;
  const back = decodeMap(encode({ v: wide(v) }))!;
  assert.equal(typeof back.v, 'bigint');
  assert.equal(narrow(back.v), v);
  assert.equal(decodeMap(new Uint8Array([0xff])), null);
  assert.equal(decodeMap(encode([1])), null);
});

test('a report that is not one changes nothing', () => {
  assert.equal(readHeartbeat({ stone: 'i-1' }), null);
  assert.deepEqual(readJob({}), { kind: 'invalid', field: 'id' });
});
