/** Deployments of hundreds of machines with five controllers: the invariants hold, and the load stays within bounds. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudMachine } from './sim/cloud.js';
import { Cluster } from './sim/cluster.js';
import { logPlacementCost } from './sim/faults.js';

const submitService = (cluster: Cluster): void =>
  void cluster.users.run(
    cluster.users.newJob({
      kind: 'service',
      jobClass: 'desk',
      priority: 'production',
      tasks: cluster.random.pick([2, 4, 16]),
      cpus: 4,
      spread: true,
      oneZone: false,
      spot: false,
      durationS: 0,
      deadlineS: null,
    }),
    null,
  );

const submitArray = (cluster: Cluster): void =>
  void cluster.users.run(
    cluster.users.newJob({
      kind: 'array',
      jobClass: 'batch',
      priority: 'normal',
      tasks: cluster.random.int(20, 160),
      spread: false,
      oneZone: false,
      spot: true,
      durationS: cluster.random.between(8, 30),
      deadlineS: null,
    }),
    null,
  );

function crashAndPreempt(cluster: Cluster, second: number): void {
  if (second === 25) for (const name of cluster.nodeNames.slice(0, 2)) cluster.crash(name, 3000);
  if (second === 35)
    for (const machine of [...cluster.cloud.machines.values()])
      if (machine.spot && cluster.random.chance(0.4)) cluster.cloud.preempt(machine);
  if (second === 45) cluster.crash(cluster.leader()!, 200);
}

test('hundreds of machines, crashes and preemptions: placement cost per started task and state service load per job are bounded, and no invariant is violated', async () => {
  const placementCost = { cycles: 0, candidatesExamined: 0, starts: 0 };
  const cluster = new Cluster({
    seed: 5,
    nodes: 5,
    minimizeCost: true,
    ordinaryUp: 0,
    capacity: 160,
    teamLimit: 1e6,
    reportMs: 3000,
    leaseMs: 15_000,
    state: { rps: 200, writeRps: 30 },
    log: logPlacementCost(placementCost),
  });
  await cluster.run(3);
  let submitted = 0;
  for (let second = 0; second < 55; second++) {
    for (let i = 0; i < (second < 10 ? 6 : 1); i++, submitted++) submitService(cluster);
    for (let i = 0; i < (second < 10 ? 3 : 1); i++, submitted++) submitArray(cluster);
    crashAndPreempt(cluster, second);
    await cluster.run(1);
  }
  await cluster.run(35);
  cluster.invariants.checkServed();
  assert.deepEqual(cluster.invariants.violations, []);
  assert.ok(cluster.cloud.machines.size > 200, `${cluster.cloud.machines.size} machines`);
  assert.ok(cluster.invariants.starts > 5000, `${cluster.invariants.starts} starts`);
  const { received } = cluster.state;
  // A scheduling cycle examines each machine at most once per waiting job, not once per task.
  assert.ok(
    placementCost.candidatesExamined < 150 * placementCost.starts,
    `${placementCost.candidatesExamined} candidates examined for ${placementCost.starts} starts`,
  );
  assert.ok(
    received.changes < 6 * submitted + 400,
    `${received.changes} changes for ${submitted} jobs`,
  );
  assert.ok(received.requests < 90 * 100, `${received.requests} requests`);
  assert.ok(received.tooMany < 20, `${received.tooMany} requests over the limits`);
});

function pickRunningMachines(cluster: Cluster, count: number): CloudMachine[] {
  const running = [...cluster.cloud.machines.values()].filter(({ worker }) => worker !== null);
  return Array.from({ length: count }, () => cluster.random.pick(running));
}

function hang(cluster: Cluster, count: number, ms: number): void {
  for (const { id } of pickRunningMachines(cluster, count)) cluster.faults.hangMachine(id, ms);
}

function killAndPartition(cluster: Cluster, second: number): void {
  if (second === 12) for (const machine of pickRunningMachines(cluster, 60)) machine.worker?.kill();
  if (second === 14) cluster.crash(cluster.leader()!, 200);
  if (second === 20) {
    const until = cluster.clock.time + 18_000;
    cluster.network.partitions.push({
      a: cluster.faults.isMachineHostIn('d'),
      b: () => true,
      until,
      mode: 'hold',
    });
  }
}

function freezeAndCrash(cluster: Cluster, second: number): void {
  if (second === 24) hang(cluster, 70, 10_000);
  if (second === 30) cluster.freeze(cluster.leader()!, 14_000);
  if (second === 42) hang(cluster, 60, 22_000);
  if (second === 50) cluster.state.beginOutage(5000);
  if (second === 52)
    for (const name of cluster.nodeNames) cluster.crash(name, cluster.random.pick([200, 4000]));
}

test('more than a thousand machines, waves of killed and hanging machines, an isolated zone, a frozen leader and a crash of all controllers in an outage: load is bounded and no invariant is violated', async () => {
  let largestRound = { candidatesExamined: 0, starts: 1 };
  const cluster = new Cluster({
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
      const round = fields as typeof largestRound;
      if (text === 'round' && round.candidatesExamined > largestRound.candidatesExamined)
        largestRound = round;
    },
  });
  await cluster.run(8);
  let machines = 0;
  for (let second = 0; second < 70; second++) {
    machines = Math.max(machines, cluster.cloud.machines.size);
    if (second % 2 === 0) submitService(cluster);
    for (let i = 0; i < (second < 5 ? 8 : 1); i++) submitArray(cluster);
    killAndPartition(cluster, second);
    freezeAndCrash(cluster, second);
    await cluster.run(1);
  }
  cluster.faultsEndedAt = cluster.clock.time + 20_000;
  await cluster.run(40);
  cluster.invariants.checkServed();
  assert.deepEqual(cluster.invariants.violations, []);
  assert.ok(machines > 1000, `${machines} machines`);
  assert.ok(cluster.invariants.starts > 6000, `${cluster.invariants.starts} starts`);
  const { received } = cluster.state;
  assert.ok(received.requests < 90 * 125, `${received.requests} requests`);
  assert.ok(received.tooMany < 40, `${received.tooMany} requests over the limits`);
  assert.ok(
    largestRound.candidatesExamined < 1500 * largestRound.starts,
    `${largestRound.candidatesExamined} candidates examined for ${largestRound.starts} starts`,
  );
});
