/**
 * A platform with uneven zones: three controllers, no running machine at the start, machines of the size of one task
 * beside large ones, and a zone with large machines only.
 */
import assert from 'node:assert/strict';
import type { CloudPool } from './sim/cloud.js';
import type { Cluster } from './sim/cluster.js';
import { BATCH, SERVICE } from './sim/jobs.js';
import { testScenarios } from './sim/run-scenario.js';
import type { CloudType } from './sim/wire/cloud.js';
import type { JobSubmission } from './sim/wire/users.js';

const TASK_CPUS = 4;

function machineType(name: string, cpus: number, pricePerCpu: number): CloudType {
  return {
    name,
    cpus,
    gpus: 0,
    memoryGb: 4 * cpus,
    fetchGbPerS: 0.5,
    price: pricePerCpu * cpus,
    spotPrice: 0.4 * pricePerCpu * cpus,
    bootS: 5,
  };
}

const TYPES = [
  machineType('small-4', 4, 0.0625),
  machineType('medium-16', 16, 0.058),
  machineType('large-64', 64, 0.0584),
];
const POOLS: CloudPool[] = [
  { type: 'small-4', zone: 'a', count: 8 },
  { type: 'small-4', zone: 'b', count: 12 },
  { type: 'medium-16', zone: 'a', count: 3 },
  { type: 'large-64', zone: 'c', count: 1 },
];

function submit(
  cluster: Cluster,
  job: Partial<JobSubmission>,
  cancelAfterMs: number | null = null,
): void {
  void cluster.users.run(cluster.users.newJob({ cpus: TASK_CPUS, ...job }), cancelAfterMs);
}

/** Submits services that wait for the first machines, then a stream of arrays that exceeds the capacity at times. */
function submitJobs(cluster: Cluster, second: number): void {
  const urgent: Partial<JobSubmission> = {
    ...BATCH,
    jobClass: 'urgent',
    priority: 'high',
    spot: true,
    durationS: 3,
  };
  const normal = { ...BATCH, spot: true, durationS: 6 };
  if (second === 0)
    for (const tasks of [2, 3, 3, 2])
      submit(cluster, { ...SERVICE, tasks }, cluster.random.chance(0.3) ? 30_000 : null);
  if (second % 6 === 0) submit(cluster, { ...normal, tasks: cluster.random.int(8, 24) });
  if (second % 9 === 4) submit(cluster, { ...urgent, tasks: cluster.random.int(6, 16) });
}

/**
 * Restarts the controllers one after the other while the state service is slow and the cloud API is down; then isolates
 * the machines of zone b.
 */
function injectFaults(cluster: Cluster, second: number): void {
  if (second === 15) cluster.state.slowReads = { byMs: 400, until: cluster.clock.time + 20_000 };
  if (second === 18) cluster.cloud.downUntil = cluster.clock.time + 20_000;
  if (second >= 20 && second < 38 && (second - 20) % 6 === 0)
    cluster.crash(cluster.nodeNames[(second - 20) / 6], 2000);
  if (second === 42)
    cluster.network.partitions.push({
      a: cluster.faults.isMachineHostIn('b'),
      b: () => true,
      until: cluster.clock.time + 9000,
      mode: 'hold',
    });
}

testScenarios(
  'a slow state service, a cloud outage, a rolling restart and an isolated zone, with one-task machines and a zone of large ones: jobs are served and no invariant is violated',
  [41, 42],
  (cluster, second) => {
    submitJobs(cluster, second);
    injectFaults(cluster, second);
  },
  { nodes: 3, ordinaryUp: 0, types: TYPES, pools: POOLS, teamLimit: 400 },
  ({ cluster }) => {
    const zones = new Set([...cluster.cloud.machines.values()].map((m) => m.zone));
    assert.ok(zones.has('c'), 'the zone of large machines is used');
    const names = [...cluster.cloud.machines.keys()];
    assert.ok(
      names.length <= 2 * POOLS.reduce((sum, pool) => sum + pool.count, 0),
      'nothing is rented twice',
    );
  },
);

testScenarios(
  'urgent and normal jobs of teams within and beyond their guarantees on a full fleet do not preempt each other repeatedly',
  [43],
  (cluster, second) => {
    const arrays = { ...BATCH, spot: true, durationS: 5 };
    if (second > 30 || second % 2 === 1) return;
    submit(cluster, { ...arrays, jobClass: 'urgent', priority: 'high', team: 't0', tasks: 20 });
    submit(cluster, { ...arrays, priority: 'normal', team: 't1', tasks: 4 });
  },
  { nodes: 3, ordinaryUp: 0, types: TYPES, pools: POOLS.slice(0, 2), teamLimit: 400 },
  ({ cluster }) => {
    const tasks = [...cluster.invariants.jobs.values()].reduce(
      (sum, job) => sum + job.spec.tasks,
      0,
    );
    assert.ok(
      cluster.invariants.starts < 1.6 * tasks,
      `${cluster.invariants.starts} starts for ${tasks} tasks`,
    );
  },
);
