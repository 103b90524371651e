/** Messages between controllers that arrive after the process that sent them has been replaced. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { ensureLeaderInZoneA } from './sim/faults.js';
import { BATCH } from './sim/jobs.js';

/** The only controller in zone b. */
const RESTARTED = 'n1';
const TASKS = 16;
/** Time for which the restarted controller's first process runs, in seconds. */
const UP_S = 30;
/** Time from the start of the new process until it holds a grant of its own, if the late messages don't disturb it. */
const SETTLED_MS = 4500;
/** Longer than the extended leases of zone b last, in seconds. */
const PARTITION_S = 45;

/** Returns a cluster whose leader is in zone a, with tasks in both zones that run on until the end of the test. */
async function clusterWithLongTasks(seed: number): Promise<Cluster> {
  const cluster = new Cluster({ seed, ordinaryUp: 8 });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(4);
  await ensureLeaderInZoneA(cluster);
  const array = { ...BATCH, tasks: TASKS, cpus: 4, imageGb: 0, durationS: 500, team: 't0' };
  void cluster.users.run(cluster.users.newJob(array), null);
  await cluster.run(UP_S);
  assert.equal(cluster.invariants.placesByTask.size, TASKS);
  const zones = [...cluster.invariants.placesByTask.values()].map(([place]) => place.zone);
  assert.ok(zones.includes('b'), 'some tasks run in zone b');
  return cluster;
}

/**
 * Restarts the controller of zone b while its last requests to the leader are held up; they arrive `lateMs` after the
 * start of the new process. Then isolates the zone for longer than its leases may be extended.
 */
async function restartAndIsolate(cluster: Cluster, lateMs: number): Promise<void> {
  const restart = { heldMs: 1500, downMs: 2000, lateMs };
  cluster.faults.restartWithLateMessages(RESTARTED, cluster.leader()!, restart);
  await cluster.run((restart.heldMs + restart.downMs + SETTLED_MS) / 1000);
  cluster.faults.isolateZone('b', PARTITION_S * 1000, 'reset');
  await cluster.run(PARTITION_S + 15);
}

/** Checks all rules, and that the tasks that the partition has ended run again. */
function assertServed({ invariants }: Cluster): void {
  assert.deepEqual(invariants.violations, []);
  assert.equal(invariants.placesByTask.size, TASKS, 'all tasks run again');
}

// Guards against grants that last too long because they repeat a time of an earlier process's clock.
for (const seed of [3, 4, 5])
  test(`late requests for lease extension by an earlier process of a restarted controller do not prolong worker leases (${seed})`, async () => {
    const cluster = await clusterWithLongTasks(seed);
    await restartAndIsolate(cluster, 4000);
    assertServed(cluster);
  });

// Guards against the same where the leader has not heard the new process when the late requests arrive.
for (const seed of [9, 10])
  test(`late requests for lease extension that arrive before those of the new process do not prolong worker leases (${seed})`, async () => {
    const cluster = await clusterWithLongTasks(seed);
    await restartAndIsolate(cluster, 0);
    assertServed(cluster);
  });

// Guards against the same beside a leader of an older build, which repeats the time of any request, as in an upgrade.
for (const seed of [6, 7])
  test(`a controller ignores grants for requests of its earlier process, which a leader of an older build sends (${seed})`, async () => {
    const cluster = await clusterWithLongTasks(seed);
    for (const name of cluster.nodeNames) cluster.peerLinks.repeatingRequestTimes.add(name);
    await restartAndIsolate(cluster, 4000);
    assertServed(cluster);
  });
