/** One fault each, looked at closely: what the seeded runs in cluster.test.ts would only show as a violated invariant. */
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

test('a machine whose heartbeats arrive but that receives nothing is deleted; its tasks run elsewhere', async () => {
  const cluster = await clusterWithService(11);
  const [task, places] = [...cluster.invariants.placesByTask][0];
  const deaf = places[0].machine;
  holdMessagesTo(cluster, deaf, Infinity);
  await cluster.run(LEASE_MS / 1000 + 6);
  assert.equal(cluster.cloud.machines.has(deaf), false);
  assert.equal(cluster.invariants.placesByTask.get(task)?.length, 1);
  assert.notEqual(cluster.invariants.placesByTask.get(task)![0].machine, deaf);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('late duplicates of heartbeats renew no lease: a dead machine is given up in time', async () => {
  const cluster = await clusterWithService(13);
  const [task, places] = [...cluster.invariants.placesByTask][0];
  const dead = places[0].machine;
  const copies: Body[] = [];
  const host = cluster.network.hosts.get(`${cluster.leader()!}:80`)!;
  const handler = host.handler!;
  host.handler = (method, path, body, from) => {
    if (path === HEARTBEAT_PATH && reportingMachine(body) === dead && from !== 'copy')
      copies.push(body);
    return handler(method, path, body, from);
  };
  await cluster.run(4);
  assert.ok(copies.length > 0);
  cluster.network.partitions.push({
    a: (host) => host.startsWith(`w-${dead}:`),
    b: () => true,
    until: Infinity,
    mode: 'hold',
  });
  const statuses = new Set<number>();
  for (let second = 0; second < 20; second++) {
    for (const body of copies)
      void cluster.network
        .send('copy', `${cluster.leader() ?? 'n0'}:80`, 'POST', HEARTBEAT_PATH, body, 4000)
        .then((r) => statuses.add(r.status));
    await cluster.run(0.5);
  }
  assert.equal(cluster.cloud.machines.has(dead), false);
  assert.notEqual(cluster.invariants.placesByTask.get(task)?.[0]?.machine, dead);
  assert.ok(statuses.has(503), 'a copy is not answered as if it renewed a lease');
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a node that the state service alone refuses sends users elsewhere; in an outage for all nobody does', async () => {
  const cluster = new Cluster({ seed: 15 });
  await cluster.run(5);
  const poll = (n: string): Promise<JobResponse> =>
    requestFrom(cluster, n, pollRequest('run-123456'));
  cluster.state.rejectHost('n1:80', 8000);
  await poll('n1');
  await cluster.run(2.5);
  await poll('n1');
  assert.deepEqual(
    cluster.nodeNames.map((n) => cluster.healthy(n)),
    [true, false, true],
  );
  await cluster.run(8);
  assert.equal(cluster.healthy('n1'), true, 'and comes back without being asked');
  cluster.state.beginOutage(6000);
  for (const name of cluster.nodeNames) await poll(name);
  await cluster.run(2);
  for (const name of cluster.nodeNames) assert.equal((await poll(name)).status, 503);
  assert.deepEqual(
    cluster.nodeNames.map((n) => cluster.healthy(n)),
    [true, true, true],
  );
});

test('broken records: their jobs stay known and can be cancelled, and all others run', async () => {
  const cluster = new Cluster({ seed: 16 });
  // Each question below is asked once, where a user would repeat it until it is answered.
  cluster.network.lossRate = 0;
  await cluster.run(3);
  const poison: unknown[] = [
    { spec: { id: 'run-700000' }, at: 1 },
    'text',
    { spec: null, at: 'x' },
    null,
  ];
  poison.forEach((value, i) => {
    cluster.state.putDirectly(`j/run-70000${i}`, value);
  });
  cluster.state.putDirectly('m/page-77', { machines: [{ id: 5 }, null, 'x'] });
  cluster.state.putDirectly('d/run-700000/0', { odd: true });
  cluster.crash(cluster.leader()!, 200);
  await cluster.run(5);
  const other = cluster.users.newJob({ ...BATCH, tasks: 4, durationS: 2 });
  void cluster.users.run(other, null);
  await cluster.run(25);
  assert.notEqual(cluster.invariants.jobs.get(other.id)!.reportedDoneAt, null, 'others run');
  for (const i of poison.keys()) {
    const id = `run-70000${i}`;
    assert.equal((await requestFrom(cluster, 'n1', pollRequest(id))).status, 200);
    assert.equal((await requestFrom(cluster, 'n0', cancelRequest(id))).job?.state, 'cancelled');
    assert.equal((await requestFrom(cluster, 'n2', pollRequest(id))).job?.state, 'cancelled');
  }
  assert.deepEqual(cluster.invariants.violations, []);
});

test('the largest job begins although smaller ones keep coming', async () => {
  const cluster = new Cluster({ seed: 17, ordinaryUp: 4, capacity: 2, teamLimit: 1000 });
  await cluster.run(4);
  const small = (count: number): void => {
    for (let i = 0; i < count; i++)
      void cluster.users.run(cluster.users.newJob({ ...BATCH, tasks: 4, durationS: 20 }), null);
  };
  small(40);
  const large = cluster.users.newJob({ ...BATCH, tasks: 200, durationS: 20 });
  void cluster.users.run(large, null);
  for (let second = 0; second < 100; second++) {
    small(second % 2);
    await cluster.run(1);
  }
  const began = cluster.invariants.jobs.get(large.id)!.firstStartAt;
  assert.ok(began !== null && began < 80_000, `began at ${began}`);
  assert.deepEqual(cluster.invariants.violations, []);
});
