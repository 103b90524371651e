/** Runs of a simulated deployment under faults, and what must hold after them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';

/** Brings about the faults of a second; seconds count from 0. */
type EachSecond = (cluster: Cluster, second: number) => void;

/** A run that is over. */
export interface ScenarioOutcome {
  cluster: Cluster;
  /** Arrays and gangs not cancelled, and how many of them their users were told are done. */
  countedJobs: number;
  doneJobs: number;
}

function outcomeOf(cluster: Cluster): ScenarioOutcome {
  const countedJobs = [...cluster.invariants.jobs.values()].filter(
    (job) => job.spec.kind !== 'service' && !job.cancelRequested,
  );
  return {
    cluster,
    countedJobs: countedJobs.length,
    doneJobs: countedJobs.filter((job) => job.reportedDoneAt !== null).length,
  };
}

/** Jobs arrive for a while with faults among them; then the cluster is left alone to finish. */
export async function runScenario(
  config: ClusterConfig,
  eachSecond: EachSecond,
  prepare: (cluster: Cluster) => void = () => undefined,
): Promise<ScenarioOutcome> {
  const cluster = new Cluster(config);
  prepare(cluster);
  await cluster.run(4);
  for (let second = 0; second < 60; second++) {
    if (cluster.random.chance(0.25))
      void cluster.users.run(
        cluster.users.newJob(),
        cluster.random.chance(0.15) ? cluster.random.between(0, 20_000) : null,
      );
    eachSecond(cluster, second);
    await cluster.run(1);
  }
  cluster.faultsEndedAt = cluster.clock.time + 20_000;
  for (let second = 0; second < 30; second++) await cluster.run(4);
  return outcomeOf(cluster);
}

/** Also that everything is done, unless `finished` is false. */
export function assertInvariantsHeld(outcome: ScenarioOutcome, finished = true): void {
  if (finished) outcome.cluster.invariants.checkServed();
  assert.deepEqual(outcome.cluster.invariants.violations, []);
  assert.ok(outcome.cluster.invariants.starts > 0, 'something ran');
  if (finished)
    assert.equal(outcome.doneJobs, outcome.countedJobs, 'all arrays and gangs are done');
}

/** A test for each seed: a run under faults, after which no invariant was violated and all jobs are served. */
export function testScenarios(
  name: string,
  seeds: number[],
  eachSecond: EachSecond,
  config: Partial<ClusterConfig> = {},
  check: (outcome: ScenarioOutcome) => void = () => undefined,
): void {
  for (const seed of seeds)
    test(`${name} (${seed})`, async () => {
      const outcome = await runScenario({ ordinaryUp: 8, nodes: 5, ...config, seed }, eachSecond);
      outcome.cluster.network.duplicates = null;
      assertInvariantsHeld(outcome);
      check(outcome);
    });
}
