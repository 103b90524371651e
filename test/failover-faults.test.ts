/** Failovers while a zone or machines can't be heard: how long they take, and what runs through them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { clusterWithService, holdMessagesTo } from './sim/faults.js';
import { Cluster } from './sim/cluster.js';
import { CANCEL_MS, LEASE_MS, zoneOf } from './sim/cluster-config.js';
import { defaultOperatorSettings } from '../src/settings/operator.js';
import { leaseExtensionMs } from '../src/leadership/lease-extension.js';
import { BATCH, SERVICE } from './sim/jobs.js';
import { HEARTBEAT_PATH, type WorkerHeartbeat, encodeHeartbeat } from './sim/wire/workers.js';

async function leaderFromZoneA(cluster: Cluster): Promise<void> {
  for (let i = 0; i < 20 && zoneOf(cluster.leader() ?? 'n1') !== 'a'; i++) {
    if (cluster.leader()) cluster.crash(cluster.leader()!, 200);
    await cluster.run(8);
  }
}

test('a machine that receives nothing does not delay a failover', async () => {
  const cluster = await clusterWithService(12);
  const deaf = [...cluster.invariants.placesByTask.values()][0][0].machine;
  void cluster.users.run(cluster.users.newJob({ ...BATCH, tasks: 30, durationS: 6 }), null);
  await cluster.run(1);
  holdMessagesTo(cluster, deaf, Infinity);
  cluster.crash(cluster.leader()!, 200);
  await cluster.run(30);
  assert.equal(cluster.cloud.machines.has(deaf), false);
  const array = [...cluster.invariants.jobs.values()].find((j) => j.spec.kind === 'array')!;
  assert.equal(array.finishedTasks.size, 30, 'an old job went on');
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a duplicated heartbeat that reaches a new leader first ends nothing that runs', async () => {
  const cluster = await clusterWithService(15);
  const before = new Map(
    [...cluster.invariants.placesByTask].map(([task, places]) => [task, places[0].machine]),
  );
  const ghost: WorkerHeartbeat = {
    machine: 'i-999999',
    endpoint: 'w-i-999999:9000',
    machineType: 't16',
    zone: 'a',
    spot: false,
    incarnation: 1,
    sequence: 40,
    token: 1,
    preemptionNoticeS: null,
    tasks: [...before.keys()].map((task) => ({ task, attempt: 7, state: 'running' })),
  };
  cluster.crash(cluster.leader()!, 4000);
  // The copy comes before anything is heard of the machines themselves.
  cluster.network.partitions.push({
    a: (host) => host.startsWith('w-'),
    b: (host) => cluster.nodeNames.some((n) => host === `${n}:80`),
    until: cluster.clock.time + 5000,
    mode: 'hold',
  });
  for (let second = 0; second < 60; second++) {
    const heartbeat = encodeHeartbeat({ ...ghost, sequence: ghost.sequence + second });
    for (const name of cluster.nodeNames)
      void cluster.network.send('copy', `${name}:80`, 'POST', HEARTBEAT_PATH, heartbeat, 4000);
    await cluster.run(0.1);
  }
  await cluster.run(20);
  for (const [task, machine] of before)
    assert.equal(cluster.invariants.placesByTask.get(task)?.[0]?.machine, machine, task);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('two zones partitioned and the leader lost at once: work on both sides outlives its leases', async () => {
  let unusable = {};
  const leaseMs = 10_000;
  const cluster = new Cluster({
    seed: 27,
    nodes: 5,
    ordinaryUp: 8,
    // A worker may need 7 s to find a controller that it reaches; from zone b it passes by two of zone a.
    leaseMs,
    log: (_node, text, fields) => {
      if (text === 'round') unusable = (fields as { unusable: object }).unusable;
    },
  });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(4);
  await leaderFromZoneA(cluster);
  for (let i = 0; i < 4; i++) void cluster.users.run(cluster.users.newJob(SERVICE), null);
  await cluster.run(14);
  assert.equal(cluster.invariants.placesByTask.size, 12);
  const { starts } = cluster.invariants;
  const leader = cluster.leader()!;
  const until = cluster.clock.time + leaseMs + 2500;
  cluster.network.partitions.push({
    a: (host) => host === `${leader}:80`,
    b: () => true,
    until: until + 5000,
    mode: 'reset',
  });
  cluster.network.partitions.push({
    a: cluster.faults.isHostIn('a'),
    b: cluster.faults.isHostIn('b'),
    until,
    mode: 'hold',
  });
  await cluster.run(30);
  assert.notEqual(cluster.leader(), leader);
  assert.equal(cluster.invariants.starts, starts, 'nothing had to start again');
  assert.equal(cluster.invariants.placesByTask.size, 12);
  assert.deepEqual(cluster.invariants.violations, []);
  // Machines that had not answered are asked until they do, however long they are heard again: else they get nothing.
  // A machine rented a moment ago may not be stored yet in the last round.
  await cluster.run(2 * defaultOperatorSettings().round_s);
  assert.deepEqual(unusable, {});
});

test('a failover beside a lost zone waits for its leases and no longer, and the next one not at all', async () => {
  const known: number[] = [];
  let serving = 0;
  const cluster: Cluster = new Cluster({
    seed: 28,
    nodes: 5,
    ordinaryUp: 10,
    log: (_node, text, fields) => {
      if (text === 'recovery complete') known.push(cluster.clock.time);
      if (text === 'leader term' && (fields as { to: string }).to === 'serving')
        serving = cluster.clock.time;
    },
  });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(12);
  // So that zone b with its two controllers is the one to lose.
  await leaderFromZoneA(cluster);
  const inB = cluster.faults.isHostIn('b');
  cluster.network.partitions.push({
    a: inB,
    b: (host) => !inB(host),
    until: Infinity,
    mode: 'hold',
  });
  await cluster.run(1);
  cluster.crash(cluster.leader()!, 200);
  known.length = 0;
  await cluster.run(40);
  // What keepers may add, a lease, and the time to act on it.
  const most = leaseExtensionMs(CANCEL_MS / 1000, LEASE_MS / 1000) + LEASE_MS + 1500;
  assert.equal(known.length, 1);
  assert.ok(known[0] - serving < most, `${known[0] - serving} ms`);
  const again = cluster.clock.time;
  cluster.crash(cluster.leader()!, 200);
  await cluster.run(15);
  assert.ok((known[1] ?? Infinity) - again < 6000, 'what was proved stays proved');
  assert.deepEqual(cluster.invariants.violations, []);
});
