/** Steps that several gang tests share. */
import assert from 'node:assert/strict';
import { Cluster } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';
import type { ObservedJob } from './observed-job.js';
import type { JobSubmission } from './wire/users.js';

/** Returns a cluster with a network that loses and repeats no messages at random. */
export async function clusterWithoutLoss(config: ClusterConfig): Promise<Cluster> {
  const cluster = new Cluster({ ordinaryUp: 6, ...config });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(5);
  return cluster;
}

/** Submits a job for a user that polls it until the run ends. */
export function submit(cluster: Cluster, overrides: Partial<JobSubmission>): ObservedJob {
  const job = cluster.users.newJob(overrides);
  void cluster.users.run(job, null);
  return cluster.invariants.jobs.get(job.id)!;
}

/** Returns the machine of each task of the job that has started and not exited. */
export const machinesOfJob = (cluster: Cluster, job: ObservedJob): string[] =>
  [...cluster.invariants.placesByTask]
    .filter(([task]) => task.startsWith(`${job.spec.id}/`))
    .map(([, places]) => places[0].machine);

/** Runs the cluster until the condition holds; fails if it doesn't within `seconds`. */
export async function runUntil(
  cluster: Cluster,
  condition: () => boolean,
  seconds: number,
): Promise<void> {
  for (let step = 0; step < seconds * 20 && !condition(); step++) await cluster.run(0.05);
  assert.ok(condition(), 'the condition holds in time');
}
