/**
 * Guards against subtracting an attempt from its team's usage twice, which lets the team exceed its limit. Workers that
 * can't reach any controller for a lease kill their tasks and begin new incarnations, while starts sent to earlier ones
 * may still be in transit. Both the heartbeat of the new incarnation and the later rejection of the start
 * end the attempt. Subtracted twice, 32 CPUs in use were counted as 12, against a limit of 20.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { LEASE_MS } from './sim/cluster-config.js';
import { BATCH } from './sim/jobs.js';
import { startsTasks } from './sim/wire/workers.js';

const TEAM_LIMIT = 20;

/** Delay of starts on their way to the workers; shorter than the time the controller waits for a response. */
const START_DELAY_MS = 2300;

/** Holds commands with starts until the time `until`; all other commands pass. */
function delayStarts(cluster: Cluster, until: number): void {
  for (const id of cluster.cloud.machines.keys()) {
    const host = cluster.network.hosts.get(`w-${id}:9000`);
    const handler = host?.handler;
    if (!host || !handler) continue;
    host.handler = async (method, path, body, from) => {
      if (startsTasks(body))
        await new Promise<void>((done) =>
          cluster.clock.after(Math.max(0, until - cluster.clock.time), done),
        );
      return handler(method, path, body, from);
    };
  }
}

for (const seed of [1, 5, 12])
  test(`a team stays within its limit when a worker's new incarnation rejects starts sent to the earlier one (${seed})`, async () => {
    const cluster = new Cluster({ seed, nodes: 3, teamLimit: TEAM_LIMIT, ordinaryUp: 6 });
    cluster.network.lossRate = 0;
    cluster.network.repeatRate = 0;
    await cluster.run(10);
    // Long enough that every worker's lease expires; commands still reach the workers.
    cluster.faults.blockConnections(() => true, LEASE_MS + 50);
    await cluster.run(7);
    delayStarts(cluster, cluster.clock.time + START_DELAY_MS);
    void cluster.users.run(
      cluster.users.newJob({ ...BATCH, team: 't0', tasks: 30, durationS: 60 }),
      null,
    );
    await cluster.run(15);
    assert.ok(cluster.invariants.placesByTask.size > 0, 'tasks run');
    assert.deepEqual(cluster.invariants.violations, []);
  });
