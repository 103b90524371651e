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

function report(c: Cluster): Outcome {
  const ending = [...c.rules.jobs.values()].filter(
    (j) => j.spec.kind !== 'service' && !j.cancelAsked,
  );
  return {
    cluster: c,
    ending: ending.length,
    done: ending.filter((j) => j.toldDoneAt !== null).length,
  };
}

/** Jobs arrive for a while with troubles among them; then the cluster is left alone to finish. */
export async function play(
  config: ClusterConfig,
  troubles: (c: Cluster, second: number) => void,
  prepare: (c: Cluster) => void = () => undefined,
): Promise<Outcome> {
  const c = new Cluster(config);
  prepare(c);
  await c.run(4);
  for (let s = 0; s < 60; s++) {
    if (c.random.chance(0.25))
      void c.user(c.newJob(), c.random.chance(0.15) ? c.random.between(0, 20_000) : null);
    troubles(c, s);
    await c.run(1);
  }
  c.quietFrom = c.clock.time + 20_000;
  for (let s = 0; s < 30; s++) await c.run(4);
  return report(c);
}

export function expectKept(o: Outcome, finished = true): void {
  if (finished) o.cluster.rules.checkServed();
  assert.deepEqual(o.cluster.rules.broken, []);
  assert.ok(o.cluster.rules.starts > 0, 'something ran');
  if (finished) assert.equal(o.done, o.ending, 'all arrays and gangs are done');
}

type EachSecond = (c: Cluster, second: number) => void;

/** A test for each seed: a day with troubles, after which all rules were kept and all jobs are served. */
export function testDays(
  name: string,
  seeds: number[],
  eachSecond: EachSecond,
  config: Partial<ClusterConfig> = {},
  check: (o: Outcome) => void = () => undefined,
): void {
  for (const seed of seeds)
    test(`${name} (${seed})`, async () => {
      const o = await play({ ordinaryUp: 8, nodes: 5, ...config, seed }, eachSecond);
      o.cluster.net.copies = null;
      expectKept(o);
      check(o);
    });
}
