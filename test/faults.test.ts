/** One fault per test, with specific checks; the seeded runs in cluster.test.ts only show violated invariants. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { clusterWithService, holdMessagesTo } from './sim/faults.js';
import { Cluster } from './sim/cluster.js';
import { LEASE_MS } from './sim/cluster-config.js';
import { BATCH } from './sim/jobs.js';
import { requestFrom } from './sim/user-request.js';
import { type JobResponse, cancelRequest, pollRequest } from './sim/wire/users.js';
import { HEARTBEAT_PATH, reportingMachine } from './sim/wire/workers.js';
import type { Body } from '../src/wire/cbor.js';

test('a machine that sends heartbeats but receives nothing is deleted, and its tasks run elsewhere', async () => {
  const cluster = await clusterWithService(11);
  const [task, places] = [...cluster.invariants.placesByTask][0];
  const affectedMachine = places[0].machine;
  holdMessagesTo(cluster, affectedMachine, Infinity);
  await cluster.run(LEASE_MS / 1000 + 6);
  assert.equal(cluster.cloud.machines.has(affectedMachine), false);
  assert.equal(cluster.invariants.placesByTask.get(task)?.length, 1);
  assert.notEqual(cluster.invariants.placesByTask.get(task)![0].machine, affectedMachine);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('late duplicates of heartbeats renew no lease: an isolated machine is deleted in time', async () => {
  const cluster = await clusterWithService(13);
  const [task, places] = [...cluster.invariants.placesByTask][0];
  const isolatedMachine = places[0].machine;
  const copies: Body[] = [];
  const host = cluster.network.hosts.get(`${cluster.leader()!}:80`)!;
  const handler = host.handler!;
  host.handler = (method, path, body, from) => {
    if (path === HEARTBEAT_PATH && reportingMachine(body) === isolatedMachine && from !== 'copy')
      copies.push(body);
    return handler(method, path, body, from);
  };
  await cluster.run(4);
  assert.ok(copies.length > 0);
  cluster.network.partitions.push({
    a: (host) => host.startsWith(`w-${isolatedMachine}:`),
    b: () => true,
    until: Infinity,
    mode: 'hold',
  });
  const statuses = new Set<number>();
  for (let step = 0; step < 20; step++) {
    for (const body of copies)
      void cluster.network
        .send('copy', `${cluster.leader() ?? 'n0'}:80`, 'POST', HEARTBEAT_PATH, body, 4000)
        .then((r) => statuses.add(r.status));
    await cluster.run(0.5);
  }
  assert.equal(cluster.cloud.machines.has(isolatedMachine), false);
  assert.notEqual(cluster.invariants.placesByTask.get(task)?.[0]?.machine, isolatedMachine);
  assert.ok(statuses.has(503), 'the response to a duplicate renews no lease');
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a controller becomes unhealthy if the state service rejects only that one; in an outage for all controllers, each stays healthy', async () => {
  const cluster = new Cluster({ seed: 15 });
  await cluster.run(5);
  const poll = (n: string): Promise<JobResponse> =>
    requestFrom(cluster, n, pollRequest('run-123456'));
  cluster.state.rejectHost('n1:80', 8000);
  await poll('n1');
  await cluster.run(2.5);
  await poll('n1');
  assert.deepEqual(
    cluster.nodeNames.map((n) => cluster.isHealthy(n)),
    [true, false, true],
  );
  await cluster.run(8);
  assert.equal(
    cluster.isHealthy('n1'),
    true,
    'the controller becomes healthy again without a request',
  );
  cluster.state.beginOutage(6000);
  for (const name of cluster.nodeNames) await poll(name);
  await cluster.run(2);
  for (const name of cluster.nodeNames) assert.equal((await poll(name)).status, 503);
  assert.deepEqual(
    cluster.nodeNames.map((n) => cluster.isHealthy(n)),
    [true, true, true],
  );
});

test('jobs with malformed records stay known and can be cancelled, and other jobs run', async () => {
  const cluster = new Cluster({ seed: 16 });
  // Each request below is sent once, while a user would repeat it until it gets a response.
  cluster.network.lossRate = 0;
  await cluster.run(3);
  const malformedRecords: unknown[] = [
    { spec: { id: 'run-700000' }, at: 1 },
    'text',
    { spec: null, at: 'x' },
    null,
  ];
  malformedRecords.forEach((value, i) => {
    cluster.state.putDirectly(`j/run-70000${i}`, value);
  });
  cluster.state.putDirectly('m/page-77', { machines: [{ id: 5 }, null, 'x'] });
  cluster.state.putDirectly('d/run-700000/0', { odd: true });
  cluster.crash(cluster.leader()!, 200);
  await cluster.run(5);
  const other = cluster.users.newJob({ ...BATCH, tasks: 4, durationS: 2 });
  void cluster.users.run(other, null);
  await cluster.run(25);
  assert.notEqual(cluster.invariants.jobs.get(other.id)!.reportedDoneAt, null, 'other jobs run');
  for (const i of malformedRecords.keys()) {
    const id = `run-70000${i}`;
    assert.equal((await requestFrom(cluster, 'n1', pollRequest(id))).status, 200);
    assert.equal((await requestFrom(cluster, 'n0', cancelRequest(id))).job?.state, 'cancelled');
    assert.equal((await requestFrom(cluster, 'n2', pollRequest(id))).job?.state, 'cancelled');
  }
  assert.deepEqual(cluster.invariants.violations, []);
});

test('the largest job starts although smaller jobs keep arriving', async () => {
  const cluster = new Cluster({ seed: 17, ordinaryUp: 4, capacity: 2, teamLimit: 1000 });
  await cluster.run(4);
  const submitSmallJobs = (count: number): void => {
    for (let i = 0; i < count; i++)
      void cluster.users.run(cluster.users.newJob({ ...BATCH, tasks: 4, durationS: 20 }), null);
  };
  submitSmallJobs(40);
  const large = cluster.users.newJob({ ...BATCH, tasks: 200, durationS: 20 });
  void cluster.users.run(large, null);
  for (let second = 0; second < 100; second++) {
    submitSmallJobs(second % 2);
    await cluster.run(1);
  }
  const startedAt = cluster.invariants.jobs.get(large.id)!.firstStartAt;
  assert.ok(startedAt !== null && startedAt < 80_000, `first start at ${startedAt} ms`);
  assert.deepEqual(cluster.invariants.violations, []);
});
