/**
 * A fleet of 4,000 machines: the invariants hold, and the placement cost grows with the number of started tasks, not
 * with the square of the fleet size.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { BATCH, SERVICE } from './sim/jobs.js';
import { type PlacementCost, logPlacementCost } from './sim/faults.js';
import type { JobSubmission } from './sim/wire/users.js';

const MACHINES = 4000;
const CPUS = 16;
const LEASE_MS = 30_000;

/** Returns a cluster with a running fleet, and the total placement cost of all its leaders. */
function largeFleet(seed: number): { cluster: Cluster; placementCost: PlacementCost } {
  const placementCost: PlacementCost = { cycles: 0, candidatesExamined: 0, starts: 0 };
  const cluster = new Cluster({
    seed,
    nodes: 3,
    zones: ['a', 'b', 'c', 'd'],
    ordinaryUp: MACHINES,
    capacity: 0,
    teamLimit: 1e6,
    reportMs: 8000,
    leaseMs: LEASE_MS,
    cancelMs: 70_000,
    cloudRps: 3,
    pollMs: 400,
    state: { rps: 200, writeRps: 30 },
    log: logPlacementCost(placementCost),
  });
  return { cluster, placementCost };
}

function submit(cluster: Cluster, count: number, job: Partial<JobSubmission>): void {
  for (let i = 0; i < count; i++) void cluster.users.run(cluster.users.newJob(job), null);
}

/** Submits arrays that fill nearly the whole fleet, with one task per machine, and services beside them. */
function submitInitialJobs(cluster: Cluster): void {
  submit(cluster, 30, { ...BATCH, tasks: 125, cpus: CPUS, durationS: 40, spot: true });
  submit(cluster, 20, { ...SERVICE, tasks: 4 });
}

function countRunningMachines(cluster: Cluster): number {
  return [...cluster.cloud.machines.values()].filter((m) => m.worker !== null).length;
}

/**
 * Asserts that no invariant is violated, that requests to the cloud and the state service stay within bounds, and that
 * the placement cost is bounded per started task.
 */
function assertLoadWithinBounds(
  cluster: Cluster,
  placementCost: PlacementCost,
  seconds: number,
): void {
  assert.deepEqual(cluster.invariants.violations, []);
  assert.equal(cluster.cloud.received.tooMany, 0);
  const { received } = cluster.state;
  assert.ok(received.requests < 90 * seconds, `${received.requests} requests in ${seconds} s`);
  assert.ok(received.tooMany < 60, `${received.tooMany} requests over the limits`);
  assert.ok(
    placementCost.candidatesExamined < 100 * placementCost.starts,
    `${placementCost.candidatesExamined} candidates examined for ${placementCost.starts} starts`,
  );
}

test('a full fleet of 4,000 machines, a leader crash, an isolated zone, a crash of all controllers, a state service outage and cancellations: load is bounded and no invariant is violated', async () => {
  const { cluster, placementCost } = largeFleet(3);
  await cluster.run(14);
  submitInitialJobs(cluster);
  await cluster.run(14);
  assert.equal(countRunningMachines(cluster), MACHINES);
  assert.ok(
    cluster.invariants.placesByTask.size > 0.9 * MACHINES,
    `${cluster.invariants.placesByTask.size} tasks run`,
  );
  cluster.crash(cluster.leader()!, 3000);
  cluster.faults.cancelRunning(3, 12_000);
  await cluster.run(10);
  cluster.network.partitions.push({
    a: cluster.faults.isMachineHostIn('d'),
    b: () => true,
    until: cluster.clock.time + 18_000,
    mode: 'hold',
  });
  await cluster.run(8);
  cluster.faults.cancelRunning(3, 12_000);
  for (const name of cluster.nodeNames) cluster.crash(name, 4000);
  await cluster.run(20);
  cluster.faults.cancelRunning(3, 12_000);
  cluster.state.beginOutage(1.2 * LEASE_MS);
  await cluster.run(45);
  cluster.faultsEndedAt = cluster.clock.time;
  await cluster.run(60);
  cluster.invariants.checkServed();
  assertLoadWithinBounds(cluster, placementCost, 171);
  assert.ok(cluster.invariants.starts < 2.5 * MACHINES, `${cluster.invariants.starts} starts`);
});
