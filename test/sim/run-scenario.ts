/** Runs a simulated deployment under faults, and checks its invariants afterwards. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';

/** Injects the faults of a second; seconds count from 0. */
type EachSecond = (cluster: Cluster, second: number) => void;

/** A completed run. */
export interface ScenarioOutcome {
  cluster: Cluster;
  /** Number of arrays and gangs that were not cancelled. */
  finiteJobs: number;
  /** Number of these jobs that were reported to their users as done. */
  doneJobs: number;
}

function outcomeOf(cluster: Cluster): ScenarioOutcome {
  const finiteJobs = [...cluster.invariants.jobs.values()].filter(
    (job) => job.spec.kind !== 'service' && !job.cancelRequested,
  );
  return {
    cluster,
    finiteJobs: finiteJobs.length,
    doneJobs: finiteJobs.filter((job) => job.reportedDoneAt !== null).length,
  };
}

/**
 * Submits jobs and injects faults for 60 s, then runs the cluster for 120 s without new ones, so that jobs can finish.
 * The last faults may continue after the 60 s: the checks of responses and waiting jobs allow 20 s for them to end.
 */
export async function runScenario(
  config: ClusterConfig,
  eachSecond: EachSecond,
  prepare: (cluster: Cluster) => void = () => undefined,
): Promise<ScenarioOutcome> {
  const cluster = new Cluster(config);
  prepare(cluster);
  await cluster.run(4);
  for (let second = 0; second < 60; second++) {
    if (config.randomJobs !== false && cluster.random.chance(0.25))
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

/**
 * Asserts that no invariant was violated and that a task started. Unless `expectAllDone` is false, also asserts that the jobs
 * are served: all arrays and gangs that were not cancelled are done, and the service level holds (see `unservedJobs`).
 * Services count as served once they have started, and only half of the jobs of each class and team need to be served.
 */
export function assertInvariantsHeld(outcome: ScenarioOutcome, expectAllDone = true): void {
  if (expectAllDone) outcome.cluster.invariants.checkServed();
  assert.deepEqual(outcome.cluster.invariants.violations, []);
  assert.ok(outcome.cluster.invariants.starts > 0, 'at least one task started');
  if (expectAllDone)
    assert.equal(outcome.doneJobs, outcome.finiteJobs, 'all arrays and gangs are done');
}

/** Declares a test for each seed: a run under faults that violates no invariant and serves all jobs. */
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
