/**
 * Jobs whose tasks may use only some of the machines, or that need something other than CPUs: machines are requested
 * and kept for them whatever the sums of CPUs say. Directed cases; most under both cost policies.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudMachine, CloudPool } from './sim/cloud.js';
import { Cluster } from './sim/cluster.js';
import type { ClusterConfig } from './sim/cluster-config.js';
import { runningTasksOf } from './sim/faults.js';
import { BATCH, SERVICE } from './sim/jobs.js';
import { UNLIKE_TYPES } from './sim/machine-types.js';
import type { JobSubmission } from './sim/wire/users.js';

/** PROTOCOL's bound for a job that waits while a fitting machine has room. */
const MAX_WAITING_S = 90;
const ONE_REPLICA = { ...SERVICE, tasks: 1, spread: false, memoryGb: 1, imageGb: 0.2 };

/** Declares the test for a deployment that rents for the work there is, and for one that keeps machines ready. */
function testPolicies(
  name: string,
  config: Omit<ClusterConfig, 'seed'>,
  body: (cluster: Cluster) => Promise<void>,
): void {
  for (const minimizeCost of [true, false])
    test(`${name} (${minimizeCost ? 'cost is minimized' : 'machines are kept ready'})`, async () => {
      const pools = config.pools?.map((pool) => ({ ...pool }));
      const cluster = new Cluster({
        types: UNLIKE_TYPES,
        ordinaryUp: 0,
        ...config,
        ...(pools && { pools }),
        minimizeCost,
        seed: 1,
      });
      await cluster.run(4);
      await body(cluster);
      assert.deepEqual(cluster.invariants.violations, []);
    });
}

function submit(cluster: Cluster, job: Partial<JobSubmission>): string {
  const submission = cluster.users.newJob({ team: 't0', ...job });
  void cluster.users.run(submission, null);
  return submission.id;
}

async function runUntilRunning(cluster: Cluster, job: string, tasks: number): Promise<void> {
  for (let second = 0; second < MAX_WAITING_S; second++) {
    if (runningTasksOf(cluster, job) === tasks) return;
    await cluster.run(1);
  }
  assert.fail(`${runningTasksOf(cluster, job)} of ${tasks} tasks of ${job} run`);
}

function machinesOf(cluster: Cluster, type: string): CloudMachine[] {
  return [...cluster.cloud.machines.values()].filter((machine) => machine.type === type);
}

const POOLS_A_B: CloudPool[] = [
  { type: 't16', zone: 'a', count: 4 },
  { type: 't16', zone: 'b', count: 4 },
];

for (const others of [0, 2])
  testPolicies(
    `a job that names its zone starts after the cloud had no machines there for a while, beside ${others} jobs that may be anywhere`,
    {
      pools: [
        { type: 't16', zone: 'a', count: 0 },
        { type: 't16', zone: 'b', count: 4 },
      ],
    },
    async (cluster) => {
      for (let i = 0; i < others; i++) submit(cluster, ONE_REPLICA);
      const job = submit(cluster, { ...ONE_REPLICA, zone: 'a' });
      await cluster.run(15);
      cluster.cloud.setCount('t16', 'a', 4);
      await runUntilRunning(cluster, job, 1);
    },
  );

testPolicies(
  'a job that names its zone starts although the only machine there is full and another zone has room',
  {
    pools: [
      { type: 't16', zone: 'a', count: 4 },
      { type: 't16', zone: 'b', count: 8 },
    ],
    teamLimit: 1000,
  },
  async (cluster) => {
    const first = submit(cluster, { ...ONE_REPLICA, zone: 'a', cpus: 16 });
    const others = Array.from({ length: 8 }, () =>
      submit(cluster, { ...ONE_REPLICA, zone: 'b', cpus: 9 }),
    );
    for (const job of [first, ...others]) await runUntilRunning(cluster, job, 1);
    const second = submit(cluster, { ...ONE_REPLICA, zone: 'a', cpus: 16 });
    await runUntilRunning(cluster, second, 1);
  },
);

testPolicies(
  'a spread replica is started again in another zone after its machine failed, although the CPUs that are left suffice',
  { pools: POOLS_A_B },
  async (cluster) => {
    const job = submit(cluster, { ...SERVICE, memoryGb: 1 });
    await runUntilRunning(cluster, job, 3);
    await cluster.run(60);
    for (const machine of [...cluster.cloud.machines.values()])
      if (machine.zone === 'b') cluster.cloud.preempt(machine);
    await cluster.run(2);
    await runUntilRunning(cluster, job, 3);
  },
);

testPolicies(
  'a replica without CPUs keeps its machine when the last job with CPUs is cancelled',
  { pools: POOLS_A_B },
  async (cluster) => {
    const job = submit(cluster, { ...ONE_REPLICA, cpus: 0 });
    const other = submit(cluster, ONE_REPLICA);
    await runUntilRunning(cluster, other, 1);
    await runUntilRunning(cluster, job, 1);
    void cluster.users.cancel(other);
    for (let second = 0; second < 150; second++) {
      await cluster.run(1);
      assert.equal(runningTasksOf(cluster, job), 1, `after ${second} s`);
    }
  },
);

testPolicies(
  'tasks without CPUs start in an empty cluster and again after their machine failed',
  { pools: POOLS_A_B },
  async (cluster) => {
    const service = submit(cluster, { ...ONE_REPLICA, cpus: 0 });
    await runUntilRunning(cluster, service, 1);
    for (const machine of [...cluster.cloud.machines.values()]) cluster.cloud.preempt(machine);
    await cluster.run(2);
    await runUntilRunning(cluster, service, 1);
    const array = submit(cluster, { ...BATCH, cpus: 0, tasks: 4, durationS: 5 });
    await cluster.run(MAX_WAITING_S);
    assert.notEqual(cluster.invariants.jobs.get(array)?.reportedDoneAt, null);
  },
);

testPolicies(
  'a machine of another type is requested for a task that needs its GPUs or memory, although there are enough CPUs',
  {
    pools: [
      { type: 't16', zone: 'a', count: 4 },
      { type: 'memory', zone: 'b', count: 1 },
      { type: 'gpu', zone: 'b', count: 1 },
    ],
    ordinaryUp: 0,
  },
  async (cluster) => {
    const anywhere = submit(cluster, ONE_REPLICA);
    await runUntilRunning(cluster, anywhere, 1);
    const large = submit(cluster, { ...ONE_REPLICA, memoryGb: 200 });
    const gpu = submit(cluster, { ...ONE_REPLICA, gpus: 4 });
    await runUntilRunning(cluster, large, 1);
    await runUntilRunning(cluster, gpu, 1);
  },
);

testPolicies(
  'a task that is larger than the free piece of each machine gets a machine, although the sum of the pieces suffices',
  { pools: [{ type: 't16', zone: 'a', count: 8 }], teamLimit: 1000 },
  async (cluster) => {
    const jobs = Array.from({ length: 7 }, () => submit(cluster, { ...ONE_REPLICA, cpus: 10 }));
    for (const job of jobs) await runUntilRunning(cluster, job, 1);
  },
);

testPolicies(
  "a task that needs most of a machine's memory gets a machine, although there are enough CPUs",
  { pools: [{ type: 't16', zone: 'a', count: 8 }], teamLimit: 1000 },
  async (cluster) => {
    const jobs = Array.from({ length: 8 }, () =>
      submit(cluster, { ...ONE_REPLICA, cpus: 1, memoryGb: 60 }),
    );
    for (const job of jobs) await runUntilRunning(cluster, job, 1);
  },
);

testPolicies(
  'a job that may use ordinary machines only gets one although spot machines have room',
  {
    pools: [{ type: 't16', zone: 'a', count: 4 }],
  },
  async (cluster) => {
    for (let i = 0; i < 3; i++) cluster.cloud.add('t16', 'a', true, true);
    submit(cluster, { ...BATCH, spot: true, tasks: 4, durationS: 1000 });
    await cluster.run(10);
    const job = submit(cluster, { ...ONE_REPLICA, spot: false, cpus: 12 });
    await runUntilRunning(cluster, job, 1);
  },
);

test('machines are not requested again and again for a job that waits for the limit of its team, or for a pool without machines', async () => {
  const pools = [
    { type: 't16', zone: 'a', count: 8 },
    { type: 't16', zone: 'b', count: 0 },
  ];
  const requests: { zone: string; granted: number }[] = [];
  const cluster = new Cluster({
    seed: 1,
    types: UNLIKE_TYPES,
    pools,
    ordinaryUp: 0,
    minimizeCost: true,
    teamLimit: 24,
    log: (_node, text, fields) => {
      if (text === 'machine request completed')
        requests.push(fields as { zone: string; granted: number });
    },
  });
  await cluster.run(4);
  const first = submit(cluster, { ...ONE_REPLICA, zone: 'a', cpus: 16 });
  await runUntilRunning(cluster, first, 1);
  submit(cluster, { ...ONE_REPLICA, zone: 'a', cpus: 16 });
  submit(cluster, { ...ONE_REPLICA, team: 't1', zone: 'b', cpus: 2 });
  await cluster.run(30);
  requests.length = 0;
  await cluster.run(120);
  const granted = requests.reduce((sum, request) => sum + request.granted, 0);
  assert.equal(granted, 0, 'nothing is rented');
  assert.ok(requests.length <= 11, `${requests.length} requests in 120 s, one in 12 s at most`);
  assert.ok(machinesOf(cluster, 't16').length <= 3);
  assert.deepEqual(cluster.invariants.violations, []);
});
