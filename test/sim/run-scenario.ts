import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';

export interface ScenarioOutcome {
  cluster: Cluster;
  /** Arrays and gangs not cancelled, and how many of them their users were told are done. */
  countedJobs: number;
  doneJobs: number;
}

function report(cluster: Cluster): ScenarioOutcome {
  const ending = [...cluster.invariants.jobs.values()].filter(
    (j) => j.spec.kind !== 'service' && !j.cancelRequested,
  );
  return {
    cluster,
    countedJobs: ending.length,
    doneJobs: ending.filter((j) => j.reportedDoneAt !== null).length,
  };
}

/** Jobs arrive for a while with troubles among them; then the cluster is left alone to finish. */
export async function runScenario(
  config: ClusterConfig,
  troubles: (cluster: Cluster, second: number) => void,
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
    troubles(cluster, second);
    await cluster.run(1);
  }
  cluster.faultsEndedAt = cluster.clock.time + 20_000;
  for (let second = 0; second < 30; second++) await cluster.run(4);
  return report(cluster);
}

export function assertInvariantsHeld(outcome: ScenarioOutcome, finished = true): void {
  if (finished) outcome.cluster.invariants.checkServed();
  assert.deepEqual(outcome.cluster.invariants.violations, []);
  assert.ok(outcome.cluster.invariants.starts > 0, 'something ran');
  if (finished)
    assert.equal(outcome.doneJobs, outcome.countedJobs, 'all arrays and gangs are done');
}

type EachSecond = (cluster: Cluster, second: number) => void;

/** A test for each seed: a day with troubles, after which all rules were kept and all jobs are served. */
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
