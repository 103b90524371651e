/** Failovers while a zone or some machines are unreachable: how long they take, and which tasks keep running. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { clusterWithService, ensureLeaderInZoneA, holdMessagesTo } from './sim/faults.js';
import { Cluster } from './sim/cluster.js';
import { CANCEL_MS, LEASE_MS } from './sim/cluster-config.js';
import { defaultOperatorSettings } from '../src/settings/operator.js';
import { leaseExtensionMs } from '../src/leadership/lease-extension.js';
import { BATCH, SERVICE } from './sim/jobs.js';
import { HEARTBEAT_PATH, type WorkerHeartbeat, encodeHeartbeat } from './sim/wire/workers.js';

test('a machine that sends heartbeats but receives nothing is deleted and does not delay a failover', async () => {
  const cluster = await clusterWithService(12);
  const affectedMachine = [...cluster.invariants.placesByTask.values()][0][0].machine;
  void cluster.users.run(cluster.users.newJob({ ...BATCH, tasks: 30, durationS: 6 }), null);
  await cluster.run(1);
  holdMessagesTo(cluster, affectedMachine, Infinity);
  cluster.crash(cluster.leader()!, 200);
  await cluster.run(30);
  assert.equal(cluster.cloud.machines.has(affectedMachine), false);
  const array = [...cluster.invariants.jobs.values()].find((j) => j.spec.kind === 'array')!;
  assert.equal(array.finishedTasks.size, 30, 'the job of the former leader continued');
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a heartbeat from an unknown machine that claims all running tasks stops none of them, even if it reaches a new leader first', async () => {
  const cluster = await clusterWithService(15);
  const machineByTask = new Map(
    [...cluster.invariants.placesByTask].map(([task, places]) => [task, places[0].machine]),
  );
  const fabricatedHeartbeat: WorkerHeartbeat = {
    machine: 'i-999999',
    endpoint: 'w-i-999999:9000',
    machineType: 't16',
    zone: 'a',
    spot: false,
    incarnation: 1,
    sequence: 40,
    token: 1,
    preemptionNoticeS: null,
    tasks: [...machineByTask.keys()].map((task) => ({ task, attempt: 7, state: 'running' })),
  };
  cluster.crash(cluster.leader()!, 4000);
  // The fabricated heartbeat arrives before any heartbeat of the machines themselves.
  cluster.network.partitions.push({
    a: (host) => host.startsWith('w-'),
    b: (host) => cluster.nodeNames.some((n) => host === `${n}:80`),
    until: cluster.clock.time + 5000,
    mode: 'hold',
  });
  for (let step = 0; step < 60; step++) {
    const heartbeat = encodeHeartbeat({
      ...fabricatedHeartbeat,
      sequence: fabricatedHeartbeat.sequence + step,
    });
    for (const name of cluster.nodeNames)
      void cluster.network.send('copy', `${name}:80`, 'POST', HEARTBEAT_PATH, heartbeat, 4000);
    await cluster.run(0.1);
  }
  await cluster.run(20);
  for (const [task, machine] of machineByTask)
    assert.equal(cluster.invariants.placesByTask.get(task)?.[0]?.machine, machine, task);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('when two zones are partitioned and the leader is isolated at the same time, tasks on both sides run on beyond their leases', async () => {
  let unusable = {};
  const leaseMs = 10_000;
  const cluster = new Cluster({
    seed: 27,
    nodes: 5,
    ordinaryUp: 8,
    // A worker may need 7 s to find a controller that it can reach; one in zone b may first try two
    // controllers in zone a.
    leaseMs,
    log: (_node, text, fields) => {
      if (text === 'round') unusable = (fields as { unusable: object }).unusable;
    },
  });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(4);
  await ensureLeaderInZoneA(cluster);
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
  assert.equal(cluster.invariants.starts, starts, 'no task was restarted');
  assert.equal(cluster.invariants.placesByTask.size, 12);
  assert.deepEqual(cluster.invariants.violations, []);
  // The leader probes each machine that did not respond until it does, even if its heartbeats have been arriving again
  // for a long time; otherwise the machine would get no tasks. The run takes two more rounds, since a machine that was
  // rented recently may not be stored yet at the last round.
  await cluster.run(2 * defaultOperatorSettings().round_s);
  assert.deepEqual(unusable, {});
});

test("a failover with an unreachable zone waits only until the zone's leases expire, and the next failover does not wait", async () => {
  const recoveryCompletedAt: number[] = [];
  let servingSince = 0;
  const cluster: Cluster = new Cluster({
    seed: 28,
    nodes: 5,
    ordinaryUp: 10,
    log: (_node, text, fields) => {
      if (text === 'recovery complete') recoveryCompletedAt.push(cluster.clock.time);
      if (text === 'leader term' && (fields as { to: string }).to === 'serving')
        servingSince = cluster.clock.time;
    },
  });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(12);
  // The leader must be in zone a, since zone b with its two controllers is isolated below.
  await ensureLeaderInZoneA(cluster);
  cluster.faults.isolateZone('b', Infinity, 'hold');
  await cluster.run(1);
  cluster.crash(cluster.leader()!, 200);
  recoveryCompletedAt.length = 0;
  await cluster.run(40);
  // The time by which followers may extend leases, one lease, and the time to act on its expiry.
  const maxRecoveryMs = leaseExtensionMs(CANCEL_MS / 1000, LEASE_MS / 1000) + LEASE_MS + 1500;
  assert.equal(recoveryCompletedAt.length, 1);
  assert.ok(
    recoveryCompletedAt[0] - servingSince < maxRecoveryMs,
    `${recoveryCompletedAt[0] - servingSince} ms`,
  );
  const secondCrashAt = cluster.clock.time;
  cluster.crash(cluster.leader()!, 200);
  await cluster.run(15);
  assert.ok(
    (recoveryCompletedAt[1] ?? Infinity) - secondCrashAt < 6000,
    'a machine whose lease has expired is not awaited again',
  );
  assert.deepEqual(cluster.invariants.violations, []);
});
