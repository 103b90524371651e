/** Runs a scenario: a cluster with jobs and faults, which are drawn from the cluster's seeded random numbers. */
import { Cluster } from '../sim/cluster.js';
import type { ClusterConfig } from '../sim/cluster-config.js';

/** A deployment with its workload and faults. */
export interface Scenario {
  config?: Partial<ClusterConfig>;
  /** Duration of the phase with jobs and faults, in seconds; `FAULT_PHASE_S` by default. */
  faultPhaseS?: number;
  /** Called before the cluster runs. */
  prepare?: (cluster: Cluster) => void;
  /** Called once per second of the phase with jobs and faults; `second` counts from 0. */
  eachSecond: (cluster: Cluster, second: number) => void;
}

const FAULT_PHASE_S = 60;
/** Long enough that idle machines are returned to the cloud. */
const RECOVERY_S = 60;
const WARM_UP_S = 4;

/** Creates the scenario's cluster, with random numbers from the seed. */
export function clusterFor(scenario: Scenario, seed: number): Cluster {
  return new Cluster({ ordinaryUp: 6, ...scenario.config, seed });
}

/** Runs a phase with jobs and faults, then one without, in which the cluster recovers and scales down. */
export async function runDigestScenario(scenario: Scenario, cluster: Cluster): Promise<void> {
  scenario.prepare?.(cluster);
  await cluster.run(WARM_UP_S);
  for (let second = 0; second < (scenario.faultPhaseS ?? FAULT_PHASE_S); second++) {
    scenario.eachSecond(cluster, second);
    await cluster.run(1);
  }
  cluster.network.duplicates = null;
  await cluster.run(RECOVERY_S);
}
