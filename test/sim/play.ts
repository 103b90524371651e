import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';

export interface Outcome {
  cluster: Cluster;
  /** Arrays and gangs not cancelled, and how many of them their users were told are done. */
  ending: number;
  done: number;
}

function report(cluster: Cluster): Outcome {
  const ending = [...cluster.rules.jobs.values()].filter(
    (j) => j.spec.kind !== 'service' && !j.cancelAsked,
  );
  return {
    cluster,
    ending: ending.length,
    done: ending.filter((j) => j.toldDoneAt !== null).length,
  };
}

/** Jobs arrive for a while with troubles among them; then the cluster is left alone to finish. */
export async function play(
  config: ClusterConfig,
  troubles: (cluster: Cluster, second: number) => void,
  prepare: (cluster: Cluster) => void = () => undefined,
): Promise<Outcome> {
  const cluster = new Cluster(config);
  prepare(cluster);
  await cluster.run(4);
  for (let second = 0; second < 60; second++) {
    if (cluster.random.chance(0.25))
      void cluster.user(
        cluster.newJob(),
        cluster.random.chance(0.15) ? cluster.random.between(0, 20_000) : null,
      );
    troubles(cluster, second);
    await cluster.run(1);
  }
  cluster.quietFrom = cluster.clock.time + 20_000;
  for (let second = 0; second < 30; second++) await cluster.run(4);
  return report(cluster);
}

export function expectKept(outcome: Outcome, finished = true): void {
  if (finished) outcome.cluster.rules.checkServed();
  assert.deepEqual(outcome.cluster.rules.broken, []);
  assert.ok(outcome.cluster.rules.starts > 0, 'something ran');
  if (finished) assert.equal(outcome.done, outcome.ending, 'all arrays and gangs are done');
}

type EachSecond = (cluster: Cluster, second: number) => void;

/** A test for each seed: a day with troubles, after which all rules were kept and all jobs are served. */
export function testDays(
  name: string,
  seeds: number[],
  eachSecond: EachSecond,
  config: Partial<ClusterConfig> = {},
  check: (outcome: Outcome) => void = () => undefined,
): void {
  for (const seed of seeds)
    test(`${name} (${seed})`, async () => {
      const outcome = await play({ ordinaryUp: 8, nodes: 5, ...config, seed }, eachSecond);
      outcome.cluster.net.copies = null;
      expectKept(outcome);
      check(outcome);
    });
}
