/**
 * Seeded runs in which most jobs can use only some of the machines, or need something other than CPUs, while machines
 * fail, pools run out for a while and leaders change. The invariants check that no machine is returned under a task,
 * and that no job waits while the cloud would rent a machine for it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Cluster } from './sim/cluster.js';
import { leaderOrRandomNode } from './sim/faults.js';
import { SERVICE, randomRequirements } from './sim/jobs.js';
import { UNLIKE_TYPES, unlikePools } from './sim/machine-types.js';
import { assertInvariantsHeld, runScenario } from './sim/run-scenario.js';

const TEAM_LIMIT_CPUS = 150;
/** A run in which fewer tasks start tests little. */
const MIN_STARTS = 20;

function submitWithRequirements(cluster: Cluster): void {
  const { random, users } = cluster;
  const cancelAfterMs = random.chance(0.4) ? random.between(5000, 60_000) : null;
  void users.run(users.newJob(randomRequirements(random)), cancelAfterMs);
}

/** The cloud has no machines to give of a random type and zone for a while. */
function exhaustPool(cluster: Cluster): void {
  const { type, zone, count } = cluster.random.pick(unlikePools());
  cluster.cloud.setCount(type, zone, 0);
  cluster.clock.after(cluster.random.between(5000, 25_000), () => {
    cluster.cloud.setCount(type, zone, count);
  });
}

function preemptSomeMachine(cluster: Cluster): void {
  const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
  if (machine?.worker) cluster.cloud.preempt(machine);
}

function injectFaults(cluster: Cluster, second: number): void {
  if (second % 3 === 0) submitWithRequirements(cluster);
  if (second % 6 === 1) exhaustPool(cluster);
  if (second % 8 === 5) preemptSomeMachine(cluster);
  if (second % 25 === 18) cluster.crash(leaderOrRandomNode(cluster), 3000);
}

/** Most jobs need no CPUs, and all that need some are cancelled after a while. */
function injectFaultsWithoutCpus(cluster: Cluster, second: number): void {
  const { random, users } = cluster;
  if (second % 4 === 0)
    void users.run(users.newJob({ ...randomRequirements(random), cpus: 0, gpus: 0 }), null);
  if (second % 10 === 2)
    void users.run(users.newJob({ ...SERVICE, memoryGb: 1 }), random.between(5000, 15_000));
  if (second % 12 === 7) preemptSomeMachine(cluster);
  if (second % 25 === 18) cluster.crash(leaderOrRandomNode(cluster), 3000);
}

function testUnlikeMachines(
  name: string,
  seeds: readonly number[],
  eachSecond: (cluster: Cluster, second: number) => void,
): void {
  for (const minimizeCost of [true, false])
    for (const seed of seeds)
      test(`${name}: no job waits for ever and no machine is returned under a task (${seed}, ${minimizeCost ? 'cost is minimized' : 'machines are kept ready'})`, async () => {
        const config = {
          seed,
          minimizeCost,
          types: UNLIKE_TYPES,
          pools: unlikePools(),
          zones: ['a', 'b', 'c'],
          ordinaryUp: 0,
          teamLimit: TEAM_LIMIT_CPUS,
          randomJobs: false,
        };
        const outcome = await runScenario(config, eachSecond);
        assertInvariantsHeld(outcome, false);
        assert.ok(outcome.cluster.invariants.starts > MIN_STARTS);
      });
}

testUnlikeMachines(
  'jobs with requirements on their machines, pools that run out, machines and leaders that fail',
  [1, 2, 3, 4, 5, 6, 7, 8],
  injectFaults,
);
testUnlikeMachines(
  'most tasks need no CPUs, machines and leaders fail',
  [21, 22, 23, 24],
  injectFaultsWithoutCpus,
);
