/** Combinations of two or three faults, in seeded runs; docs/safety.md lists them, one row for each. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { type ClusterConfig, CANCEL_MS, LEASE_MS } from './sim/cluster-config.js';
import { BATCH, SERVICE, GANG } from './sim/jobs.js';
import { testScenarios } from './sim/run-scenario.js';
import {
  duplicateHeartbeats,
  hangMachines,
  leaderOrRandomNode,
  otherNode,
  clusterWithServices,
  pickMachines,
} from './sim/faults.js';

/**
 * Declares a test for each seed: gangs are submitted every 6 s beside the usual jobs, `faults` may inject faults in
 * each second, and all jobs must be served afterwards (see `assertInvariantsHeld`).
 */
function testFaultCombination(
  name: string,
  seeds: number[],
  faults: (cluster: Cluster, second: number) => void,
  config: Partial<ClusterConfig> = {},
): void {
  const eachSecond = (cluster: Cluster, second: number): void => {
    if (second % 6 === 3)
      void cluster.users.run(
        cluster.users.newJob({ ...GANG, tasks: cluster.random.int(2, 5) }),
        null,
      );
    faults(cluster, second);
  };
  testScenarios(name, seeds, eachSecond, config);
}

testFaultCombination(
  'late duplicates of heartbeats, also of earlier incarnations and attempts, arrive after newer ones: jobs are served and no invariant is violated',
  [101, 102],
  (cluster, second) => {
    duplicateHeartbeats(cluster, 0.25);
    if (second % 10 === 4) hangMachines(cluster, 0.3, 9500);
    if (second % 16 === 9) cluster.faults.cancelRunning(2, 0);
  },
);

testFaultCombination(
  'leaders change every few seconds, also during an outage of the state service: jobs are served and no invariant is violated',
  [111, 112],
  (cluster, second) => {
    if (second % 5 === 2)
      cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 2000]));
    if (second === 20) cluster.state.beginOutage(12_000);
    if (second % 15 === 12) cluster.faults.cancelRunning(2, 4000);
  },
);

testFaultCombination(
  'a leader is isolated from the state service and its peers, and jobs are cancelled through another controller: jobs are served and no invariant is violated',
  [121, 122, 123],
  (cluster, second) => {
    if (second % 30 !== 8) return;
    const isolatedNode = leaderOrRandomNode(cluster);
    cluster.faults.isolate(isolatedNode, 26_000, second < 30 ? 'hold' : 'reset');
    cluster.clock.after(5000, () => {
      cluster.faults.cancelRunning(4, 7500, otherNode(cluster, isolatedNode));
    });
  },
);

testFaultCombination(
  'all controllers are frozen or down for longer than a lease: jobs are served and no invariant is violated',
  [131, 132],
  (cluster, second) => {
    if (second === 12)
      for (const name of cluster.nodeNames)
        cluster.freeze(name, LEASE_MS + cluster.random.between(1000, 4000));
    if (second === 40)
      for (const name of cluster.nodeNames)
        cluster.crash(name, LEASE_MS + cluster.random.between(1000, 4000));
    if (second === 11 || second === 39) cluster.faults.cancelRunning(3, 3000);
  },
);

testFaultCombination(
  "machines can't open connections to any controller but receive commands: jobs are served and no invariant is violated",
  [141, 142],
  (cluster, second) => {
    if (second === 10) cluster.faults.blockConnections(() => true, LEASE_MS + 3000);
    if (second === 35) cluster.faults.blockConnections(pickMachines(cluster, 0.4), 20_000);
    if (second === 37) cluster.crash(leaderOrRandomNode(cluster), 150);
    if (second === 12 || second === 40) cluster.faults.cancelRunning(3, 3000);
  },
);

testFaultCombination(
  'urgent and other jobs exceed the capacity, over slow links: jobs are served and no invariant is violated',
  [151, 152],
  (cluster, second) => {
    cluster.network.delayFactor = second < 50 ? 20 : 1;
    if (second % 3 === 0 && second < 30)
      void cluster.users.run(cluster.users.newJob({ ...BATCH, tasks: 20, durationS: 4 }), null);
    if (second % 10 === 5)
      void cluster.users.run(cluster.users.newJob(SERVICE), cluster.random.between(5000, 15_000));
    if (second === 25) cluster.crash(leaderOrRandomNode(cluster), 150);
  },
  { capacity: 3, ordinaryUp: 4, teamLimit: 40 },
);

testFaultCombination(
  'a zone with its workers and controllers is isolated, the leader crashes and jobs are cancelled: jobs are served and no invariant is violated',
  [161, 162],
  (cluster, second) => {
    if (second !== 10 && second !== 38) return;
    const inside = cluster.faults.isHostIn('b');
    const until = cluster.clock.time + 16_000;
    cluster.network.partitions.push({
      a: inside,
      b: (host) => !inside(host),
      until,
      mode: second === 10 ? 'hold' : 'reset',
    });
    cluster.clock.after(2000, () => {
      cluster.faults.cancelRunning(3, 5000, 'n0');
    });
    cluster.clock.after(4000, () => {
      cluster.crash(leaderOrRandomNode(cluster), 150);
    });
  },
);

testFaultCombination(
  'the state service is slow and rejects the leader, then is down for all controllers: jobs are served and no invariant is violated',
  [171, 172],
  (cluster, second) => {
    if (second === 5) cluster.state.slowReads = { byMs: 400, until: cluster.clock.time + 25_000 };
    if (second === 12 || second === 30)
      cluster.state.rejectHost(`${leaderOrRandomNode(cluster)}:80`, 6000);
    if (second === 14) cluster.state.beginOutage(8000);
    if (second === 32) cluster.state.beginOutage(CANCEL_MS + 3000);
    if (second % 9 === 4) cluster.faults.cancelRunning(1, 3000);
  },
);

testFaultCombination(
  'transactions without a response are executed late, after newer ones: jobs are served and no invariant is violated',
  [181, 182, 183],
  (cluster, second) => {
    cluster.state.lateWrites = { share: 0.15, until: cluster.clock.time + 1000 };
    if (second % 18 === 9)
      cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 3000]));
    if (second % 12 === 7) cluster.faults.cancelRunning(2, 2000);
  },
);

testFaultCombination(
  'commands are held for seconds, and machines hang and continue: jobs are served and no invariant is violated',
  [191, 192, 193],
  (cluster, second) => {
    if (second % 6 === 2)
      cluster.faults.holdCommands(pickMachines(cluster, 0.4), cluster.random.between(1000, 6000));
    if (second % 7 === 5) hangMachines(cluster, 0.2, 5000);
    if (second % 10 === 4) cluster.faults.cancelRunning(2, 0);
    if (second === 33) cluster.crash(leaderOrRandomNode(cluster), 150);
  },
);

testFaultCombination(
  'a leader crashes while machines are unreachable or receive nothing from the new leader: jobs are served and no invariant is violated',
  [201, 202],
  (cluster, second) => {
    const host = cluster.faults.hostsOf(pickMachines(cluster, 0.3));
    const until = cluster.clock.time + cluster.random.between(6000, 14_000);
    if (second === 10)
      cluster.network.partitions.push({ a: host, b: () => true, until, mode: 'hold' });
    if (second === 36)
      cluster.network.partitions.push({
        a: () => true,
        b: host,
        until,
        mode: 'hold',
        oneWay: true,
      });
    if (second === 11 || second === 37) cluster.crash(leaderOrRandomNode(cluster), 3000);
    if (second === 14 || second === 40) cluster.faults.cancelRunning(3, 0);
  },
);

testFaultCombination(
  'no machine can connect to a controller for seconds, later all controllers crash and one restarts at once: jobs are served and no invariant is violated',
  [211, 212],
  (cluster, second) => {
    const lone = cluster.nodeNames[0];
    if (second === 8 || second === 14) cluster.faults.blockConnections(() => true, 4500);
    if (second === 24)
      for (const name of cluster.nodeNames) cluster.crash(name, name === lone ? 150 : 15_000);
    if (second === 48)
      for (const name of cluster.nodeNames)
        cluster.crash(name, name === lone ? 800 : cluster.random.between(2000, 6000));
    if (second === 23 || second === 47) cluster.faults.cancelRunning(2, 2000);
  },
);

testFaultCombination(
  'jobs restricted to one zone lose machines: jobs are served and no invariant is violated',
  [221, 222],
  (cluster, second) => {
    const array = { ...BATCH, oneZone: true, tasks: 6, durationS: 6 };
    if (second % 6 === 1)
      void cluster.users.run(
        cluster.users.newJob({ ...array, zone: cluster.random.pick(['a', 'b', null]) }),
        null,
      );
    if (second % 9 === 4) {
      const machine = [...cluster.cloud.machines.values()].find((x) =>
        [...cluster.invariants.placesByTask.values()].some((p) => p[0].machine === x.id),
      );
      if (machine?.worker) cluster.cloud.preempt(machine);
    }
    if (second === 30) cluster.crash(leaderOrRandomNode(cluster), 150);
  },
);

testFaultCombination(
  'late duplicates of heartbeats arrive before and after a leader crash, and jobs are cancelled afterwards: jobs are served and no invariant is violated',
  [231, 232],
  (cluster, second) => {
    if (second % 15 !== 6) return;
    const crashedNode = leaderOrRandomNode(cluster);
    duplicateHeartbeats(cluster, 0.5);
    cluster.clock.after(800, () => {
      cluster.crash(crashedNode, 150);
    });
    cluster.clock.after(4000, () => (cluster.network.duplicates = null));
    cluster.clock.after(6000, () => {
      cluster.faults.cancelRunning(2, 0);
    });
  },
);

for (const seed of [251, 252])
  test(`arrays of two or three tasks are done although their tasks finish far apart and leaders change (${seed})`, async () => {
    const cluster = await clusterWithServices({ seed }, 1);
    cluster.nextMachineSlowness = 8;
    cluster.cloud.add('t16', 'a', false, true);
    for (let i = 0; i < 12; i++)
      void cluster.users.run(
        cluster.users.newJob({ ...BATCH, tasks: cluster.random.int(2, 3), durationS: 3 }),
        null,
      );
    for (let second = 0; second < 40; second++) {
      if (second % 6 === 4)
        cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 3000]));
      if (second === 9 || second === 21) duplicateHeartbeats(cluster, 0.3);
      await cluster.run(1);
    }
    cluster.network.duplicates = null;
    await cluster.run(60);
    for (const [id, job] of cluster.invariants.jobs)
      if (job.spec.kind === 'array') assert.notEqual(job.reportedDoneAt, null, id);
    assert.deepEqual(cluster.invariants.violations, []);
  });
