/** What a digest is taken of: a cluster, its jobs and its faults, all drawn from the cluster's seeded random. */
import { Cluster } from '../sim/cluster.js';
import type { ClusterConfig } from '../sim/cluster-config.js';

/** A deployment with its workload and faults. */
export interface Scenario {
  config?: Partial<ClusterConfig>;
  /** How long the busy part lasts. */
  busyS?: number;
  /** Before anything runs. */
  prepare?: (cluster: Cluster) => void;
  /** Called once in each second of the busy part; `second` counts from 0. */
  eachSecond: (cluster: Cluster, second: number) => void;
}

const BUSY_S = 60;
/** Long enough that machines without work are given back. */
const RECOVERY_S = 60;
const WARM_UP_S = 4;

/** The scenario's deployment, with the random numbers of the seed. */
export function clusterFor(scenario: Scenario, seed: number): Cluster {
  return new Cluster({ ordinaryUp: 6, ...scenario.config, seed });
}

/** Jobs and faults for a while, then none, so that the cluster recovers and shrinks. */
export async function runScenario(scenario: Scenario, cluster: Cluster): Promise<void> {
  scenario.prepare?.(cluster);
  await cluster.run(WARM_UP_S);
  for (let second = 0; second < (scenario.busyS ?? BUSY_S); second++) {
    scenario.eachSecond(cluster, second);
    await cluster.run(1);
  }
  cluster.network.duplicates = null;
  await cluster.run(RECOVERY_S);
}
