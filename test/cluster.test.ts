/** Seeded random runs of whole clusters; the invariants (see `Invariants`) are checked after each step. */
import { test } from 'node:test';
import { type Cluster } from './sim/cluster.js';
import { assertInvariantsHeld, runScenario } from './sim/run-scenario.js';
import { duplicateHeartbeats, leaderOrRandomNode } from './sim/faults.js';

test('no injected faults, only an ordinary lossy network: jobs are served and no invariant is violated', async () => {
  assertInvariantsHeld(await runScenario({ seed: 1 }, () => undefined));
});

test('no injected faults while cost is minimized: jobs are served and no invariant is violated', async () => {
  assertInvariantsHeld(
    await runScenario({ seed: 2, minimizeCost: true, ordinaryUp: 0 }, () => undefined),
  );
});

for (const seed of [11, 12, 13])
  test(`controllers crash, one or all at once, and some restart within a fraction of a second: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed }, (cluster, second) => {
      if (second % 9 === 3)
        cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 3000]));
      if (second === 40)
        for (const name of cluster.nodeNames)
          cluster.crash(name, cluster.random.between(100, 4000));
    });
    assertInvariantsHeld(outcome);
  });

for (const seed of [21, 22, 23])
  test(`the state service is down or rejects one controller: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed }, (cluster, second) => {
      if (second === 10) cluster.state.beginOutage(5000);
      if (second === 25) cluster.state.rejectHost(`${cluster.leader() ?? 'n0'}:80`, 12_000);
      if (second === 45) cluster.state.beginOutage(10_000);
    });
    assertInvariantsHeld(outcome);
  });

for (const seed of [31, 32, 33, 34])
  test(`controllers and machines are partitioned, with held or reset connections: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed }, (cluster, second) => {
      const until = cluster.clock.time + cluster.random.between(3000, 20_000);
      const mode = cluster.random.pick(['hold', 'reset'] as const);
      if (second % 12 === 4) {
        const node = `${cluster.leader() ?? 'n1'}:80`;
        const from = cluster.random.pick(['w-', 'state', '']);
        cluster.network.partitions.push({
          a: (host) => host === node,
          b: (host) => host.startsWith(from),
          until,
          mode,
        });
      }
      if (second % 8 === 6) {
        const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
        cluster.network.partitions.push({
          a: (host) => host === `w-${machine.id}:9000`,
          b: () => true,
          until,
          mode,
        });
      }
    });
    assertInvariantsHeld(outcome);
  });

for (const seed of [41, 42, 43])
  test(`machines are preempted with and without notice, hang, fail tasks or are slow: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed, minimizeCost: seed === 42 }, (cluster, second) => {
      const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
      if (!machine?.worker) return;
      if (second % 7 === 2) cluster.cloud.preempt(machine);
      if (second % 7 === 4)
        cluster.network.hosts.get(`w-${machine.id}:9000`)!.hangsUntil =
          cluster.clock.time + cluster.random.between(2000, 12_000);
      if (second % 10 === 5 && machine.spot) {
        machine.worker.preemptionDeadline = cluster.clock.time + 6000;
        cluster.clock.after(6000, () => {
          cluster.cloud.preempt(machine);
        });
      }
      if (second === 20) cluster.nextMachineFaulty = true;
      if (second === 30) cluster.nextMachineSlowness = 4;
    });
    assertInvariantsHeld(outcome);
  });

// Each side of the partition is a whole zone: its controllers and its machines.
for (const seed of [61, 62, 63])
  test(`two zones are partitioned twice for longer than a worker lease: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed, ordinaryUp: 8 }, (cluster, second) => {
      if (second === 15 || second === 40)
        cluster.network.partitions.push({
          a: cluster.faults.isHostIn('a'),
          b: cluster.faults.isHostIn('b'),
          until: cluster.clock.time + (second === 15 ? 9500 : 25_000),
          mode: cluster.random.pick(['hold', 'reset']),
        });
    });
    assertInvariantsHeld(outcome);
  });

for (const seed of [71, 72, 73])
  test(`machines send heartbeats but receive nothing, with five controllers: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed, nodes: 5 }, (cluster, second) => {
      if (second % 15 === 5) {
        const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
        cluster.network.partitions.push({
          a: () => true,
          b: (host) => host === `w-${machine.id}:9000`,
          until: cluster.clock.time + cluster.random.between(5000, 40_000),
          mode: cluster.random.pick(['hold', 'reset']),
          oneWay: true,
        });
      }
      if (second === 30) cluster.crash(cluster.leader()!, cluster.random.pick([200, 3000]));
    });
    assertInvariantsHeld(outcome);
  });

for (const seed of [81, 82, 83])
  test(`late duplicates of heartbeats arrive while leaders change: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed }, (cluster, second) => {
      duplicateHeartbeats(cluster, 0.15);
      if (second % 14 === 9)
        cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 3000]));
      if (second % 11 === 7) {
        const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
        if (machine?.worker) cluster.cloud.preempt(machine);
      }
    });
    outcome.cluster.network.duplicates = null;
    assertInvariantsHeld(outcome);
  });

for (const seed of [91, 92, 93])
  test(`a controller is isolated from the state service and the other controllers but reaches its workers: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed, nodes: 5 }, (cluster, second) => {
      if (second % 20 !== 8) return;
      const node = `${second < 40 ? (cluster.leader() ?? 'n0') : cluster.random.pick(cluster.nodeNames)}:80`;
      cluster.network.partitions.push({
        a: (host) => host === node,
        b: (host) => host === 'state:1' || cluster.nodeNames.some((n) => host === `${n}:80`),
        until: cluster.clock.time + cluster.random.between(4000, 30_000),
        mode: cluster.random.pick(['hold', 'reset']),
      });
    });
    assertInvariantsHeld(outcome);
  });

for (const seed of [101, 102])
  test(`controllers can't reach each other, a zone is isolated and two of five controllers crash: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed, nodes: 5, ordinaryUp: 8 }, (cluster, second) => {
      const until = cluster.clock.time + cluster.random.between(8000, 25_000);
      const mode = cluster.random.pick(['hold', 'reset'] as const);
      const isNode = (host: string): boolean => cluster.nodeNames.some((n) => host === `${n}:80`);
      const inside = cluster.faults.isHostIn(cluster.random.pick(['a', 'b']));
      if (second === 8)
        cluster.network.partitions.push({ a: isNode, b: isNode, until, mode: 'reset' });
      if (second === 25)
        cluster.network.partitions.push({ a: inside, b: (host) => !inside(host), until, mode });
      if (second === 50)
        for (const name of [cluster.leader() ?? 'n0', 'n4'])
          cluster.crash(name, cluster.random.pick([200, 3000]));
    });
    assertInvariantsHeld(outcome);
  });

/** Restarts a random controller, whose last messages to another one arrive late. */
function restartWithLateMessages(cluster: Cluster): void {
  const { random, nodeNames } = cluster;
  const name = random.pick(nodeNames);
  const receiver = cluster.leader() ?? random.pick(nodeNames);
  if (name === receiver) return;
  cluster.faults.restartWithLateMessages(name, receiver, {
    heldMs: random.between(500, 3000),
    downMs: random.pick([150, 3000]),
    lateMs: random.between(0, 10_000),
  });
}

for (const seed of [111, 112, 113])
  test(`controllers restart and their last messages arrive late, and zones are isolated: jobs are served and no invariant is violated (${seed})`, async () => {
    const outcome = await runScenario({ seed, nodes: 5, ordinaryUp: 8 }, (cluster, second) => {
      if (second % 7 === 2) restartWithLateMessages(cluster);
      if (second !== 20 && second !== 45) return;
      cluster.faults.isolateZone(
        cluster.random.pick(['a', 'b']),
        cluster.random.between(8000, 25_000),
        cluster.random.pick(['hold', 'reset']),
      );
    });
    assertInvariantsHeld(outcome);
  });

/** Injects overlapping crashes, outages, rejections, partitions, hangs and preemptions. */
function injectRandomFaults(cluster: Cluster, second: number): void {
  const random = cluster.random;
  const until = cluster.clock.time + random.between(1000, 15_000);
  if (random.chance(0.06)) cluster.crash(random.pick(cluster.nodeNames), random.pick([100, 3000]));
  if (random.chance(0.03)) cluster.state.beginOutage(random.between(1000, 8000));
  if (random.chance(0.03)) cluster.cloud.downUntil = until;
  if (random.chance(0.1)) {
    const hosts = [...cluster.network.hosts.keys()];
    const host = random.pick(hosts);
    const other = random.pick(hosts);
    const all = random.chance(0.5);
    cluster.network.partitions.push({
      a: (x) => x === host,
      b: (x) => all || x === other,
      until,
      mode: random.pick(['hold', 'reset']),
    });
  }
  const machine = random.pick([...cluster.cloud.machines.values()]);
  if (machine?.worker && random.chance(0.08)) cluster.cloud.preempt(machine);
  if (machine?.worker && random.chance(0.08))
    cluster.network.hosts.get(`w-${machine.id}:9000`)!.hangsUntil = until;
  if (second % 20 === 0)
    cluster.state.rejectHost(`${random.pick(cluster.nodeNames)}:80`, random.between(2000, 8000));
}

// Regression seeds 1138, 1175 and 1215: a team exceeded its limit after a failover; see `unconfirmedUsage`.
for (const seed of [1000, 1068, 1089, 1138, 1144, 1175, 1200, 1215, 1232])
  test(`random combinations of crashes, outages, rejections, partitions, hangs and preemptions: no invariant is violated (${seed})`, async () => {
    const config = {
      seed,
      teamLimit: seed % 2 ? 20 : 40,
      capacity: 2 + (seed % 3),
      minimizeCost: seed % 4 === 0,
    };
    assertInvariantsHeld(await runScenario(config, injectRandomFaults), false);
  });
