/** Unreachable machines, with and without a failover: team limits, cancellations and deletions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { type JobSubmission, cancelRequest, decodeJobResponse } from './sim/wire/users.js';

/**
 * Returns a cluster whose leader has just crashed. A long array fills its team's limit, on machines that the next
 * leader can't reach at first.
 */
async function clusterWithUnreachableMachines(seed: number): Promise<Cluster> {
  const cluster = new Cluster({ seed, teamLimit: 20, ordinaryUp: 6 });
  cluster.network.lossRate = 0;
  await cluster.run(4);
  const array: Partial<JobSubmission> = {
    team: 't0',
    kind: 'array',
    jobClass: 'batch',
    priority: 'normal',
    spread: false,
    oneZone: false,
  };
  void cluster.users.run(
    cluster.users.newJob({ ...array, tasks: 10, durationS: 90, spot: false }),
    null,
  );
  await cluster.run(12);
  assert.equal(cluster.invariants.starts, 10);
  const busy = new Set(
    [...cluster.invariants.placesByTask.values()].map((places) => `w-${places[0].machine}:9000`),
  );
  for (const zone of ['a', 'b', 'a', 'b']) cluster.cloud.add('t16', zone, false, true);
  await cluster.run(2);
  cluster.network.partitions.push({
    a: (host) => busy.has(host),
    b: () => true,
    until: cluster.clock.time + 6000,
    mode: 'hold',
  });
  cluster.cloud.downUntil = cluster.clock.time + 6000;
  cluster.crash(cluster.leader()!, 20_000);
  return cluster;
}

// Tasks that no heartbeat has reported to the new leader yet count against their team's limit: see `unconfirmedUsage`.
test('a team whose earlier tasks run on unreachable machines stays within its limit when it submits a new job', async () => {
  const cluster = await clusterWithUnreachableMachines(3);
  await cluster.run(3);
  for (const team of ['t0', 't1'])
    void cluster.users.run(
      cluster.users.newJob({
        team,
        kind: 'service',
        jobClass: 'desk',
        tasks: 3,
        spread: true,
        spot: false,
      }),
      null,
    );
  await cluster.run(4);
  assert.deepEqual(cluster.invariants.violations, []);
  await cluster.run(20);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a job cancelled while its machines are unreachable stops in time, and none of its tasks is restarted', async () => {
  const cluster = await clusterWithUnreachableMachines(4);
  const id = [...cluster.invariants.jobs.keys()][0];
  cluster.invariants.jobs.get(id)!.cancelRequested = true;
  const cancel = async (): Promise<void> => {
    const node = cluster.nodeNames.find((name) => name === cluster.leader()) ?? 'n1';
    const requestedAt = cluster.clock.time;
    const { method, path, body } = cancelRequest(id);
    const response = await cluster.network.send('user', `${node}:80`, method, path, body, 5000);
    cluster.invariants.recordResponse(id, decodeJobResponse(response), requestedAt);
    if (response.status !== 200) cluster.clock.after(500, () => void cancel());
  };
  cluster.clock.after(3800, () => void cancel());
  await cluster.run(40);
  assert.notEqual(cluster.invariants.jobs.get(id)!.reportedCancelledAt, null);
  assert.equal(
    [...cluster.invariants.placesByTask.keys()].filter((t) => t.startsWith(id)).length,
    0,
  );
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a single machine that stays unreachable is deleted, and its tasks run elsewhere', async () => {
  const cluster = new Cluster({ seed: 8, ordinaryUp: 6 });
  await cluster.run(4);
  void cluster.users.run(
    cluster.users.newJob({
      kind: 'service',
      jobClass: 'desk',
      tasks: 3,
      spread: true,
      oneZone: false,
      spot: false,
    }),
    null,
  );
  await cluster.run(12);
  const [task, places] = [...cluster.invariants.placesByTask][0];
  const lost = places[0].machine;
  cluster.network.partitions.push({
    a: (host) => host.startsWith(`w-${lost}`),
    b: () => true,
    until: Infinity,
    mode: 'hold',
  });
  await cluster.run(10);
  assert.equal(cluster.cloud.machines.has(lost), false);
  assert.notEqual(cluster.invariants.placesByTask.get(task)?.[0]?.machine, lost);
  assert.equal(cluster.invariants.placesByTask.size, 3);
  assert.deepEqual(cluster.invariants.violations, []);
});
