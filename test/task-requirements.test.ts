/** Jobs whose tasks need something other than CPUs: machines are kept for them whatever the sums of CPUs say. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { SERVICE } from './sim/jobs.js';

const ONE_REPLICA = { ...SERVICE, tasks: 1, spread: false, memoryGb: 1, imageGb: 0.2 };

for (const minimizeCost of [true, false])
  test(`a replica without CPUs keeps its machine when the last job with CPUs is cancelled (${minimizeCost ? 'cost is minimized' : 'machines are kept ready'})`, async () => {
    const cluster = new Cluster({ seed: 1, minimizeCost });
    await cluster.run(4);
    const kept = cluster.users.newJob({ ...ONE_REPLICA, cpus: 0 });
    const other = cluster.users.newJob(ONE_REPLICA);
    void cluster.users.run(kept, null);
    void cluster.users.run(other, 30_000);
    await cluster.run(30);
    for (let second = 0; second < 150; second++) {
      await cluster.run(1);
      const runs = cluster.invariants.placesByTask.has(`${kept.id}/0`);
      assert.ok(runs, `${second} s after the cancellation`);
    }
    assert.deepEqual(cluster.invariants.violations, []);
  });
