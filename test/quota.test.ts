/**
 * Guards against releasing an attempt twice, which let a team exceed its limit. Workers that could not reach any
 * controller for a lease had killed their tasks and begun new incarnations, while starts that the leader had sent to
 * the old incarnations were still in transit. The heartbeat of the new incarnation released these attempts, and the
 * rejection of the start, which arrived a moment later, released them again. From then on the leader counted 12 CPUs
 * while 32 were in use, against a limit of 20.
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
  test(`starts rejected by a worker's new incarnation are released once (${seed})`, async () => {
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
