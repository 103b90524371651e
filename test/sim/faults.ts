/** Initial clusters, faults and queries that several tests use. All random choices derive from the cluster's seed. */
import assert from 'node:assert/strict';
import { Cluster } from './cluster.js';
import { type ClusterConfig, LEASE_MS, zoneOf } from './cluster-config.js';
import { SERVICE } from './jobs.js';
import { HEARTBEAT_PATH } from './wire/workers.js';

/**
 * Returns a cluster that runs `serviceCount` services of 3 tasks, by default on 5 controllers and 8 ordinary machines.
 * Its network loses and repeats no messages at random.
 */
export async function clusterWithServices(
  config: ClusterConfig,
  serviceCount = 4,
): Promise<Cluster> {
  const cluster = new Cluster({ ordinaryUp: 8, nodes: 5, ...config });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(4);
  for (let i = 0; i < serviceCount; i++)
    void cluster.users.run(cluster.users.newJob(SERVICE), null);
  await cluster.run(14);
  assert.equal(cluster.invariants.placesByTask.size, 3 * serviceCount);
  return cluster;
}

/**
 * Returns a cluster of default size, but with 6 ordinary machines, that runs one service of 3 tasks. Its network loses
 * and repeats no messages at random.
 */
export async function clusterWithService(seed: number): Promise<Cluster> {
  const cluster = new Cluster({ seed, ordinaryUp: 6 });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(4);
  void cluster.users.run(cluster.users.newJob(SERVICE), null);
  await cluster.run(12);
  assert.equal(cluster.invariants.placesByTask.size, 3);
  return cluster;
}

/** Crashes leaders until one in zone a leads. */
export async function ensureLeaderInZoneA(cluster: Cluster): Promise<void> {
  for (let i = 0; i < 20 && zoneOf(cluster.leader() ?? 'n1') !== 'a'; i++) {
    if (cluster.leader()) cluster.crash(cluster.leader()!, 200);
    await cluster.run(8);
  }
}

/** Cost of placement, summed over the rounds that the leaders log. */
export interface PlacementCost {
  cycles: number;
  candidatesExamined: number;
  starts: number;
}

/** Returns a log handler that adds the placement cost of each round that a leader logs to `cost`. */
export function logPlacementCost(cost: PlacementCost): NonNullable<ClusterConfig['log']> {
  return (_node, text, fields) => {
    if (text !== 'round') return;
    for (const figure of ['cycles', 'candidatesExamined', 'starts'] as const)
      cost[figure] += (fields as PlacementCost)[figure];
  };
}

export const jobIds = (cluster: Cluster): string[] => [...cluster.invariants.jobs.keys()];
/** Returns the first controller other than `than`. */
export const otherNode = (cluster: Cluster, than: string): string =>
  cluster.nodeNames.find((name) => name !== than)!;
/** Returns the leader, or a random controller if there is no leader. */
export const leaderOrRandomNode = (cluster: Cluster): string =>
  cluster.leader() ?? cluster.random.pick(cluster.nodeNames);

/** Returns the number of tasks of the job that have started on machines and not exited. */
export function runningTasksOf(cluster: Cluster, id: string): number {
  return [...cluster.invariants.placesByTask.keys()].filter((t) => t.startsWith(`${id}/`)).length;
}

/** Partitions the controllers from each other for the rest of the run. */
export function partitionControllers(cluster: Cluster): void {
  const isNode = (host: string): boolean => cluster.isNode(host);
  cluster.network.partitions.push({ a: isNode, b: isNode, until: Infinity, mode: 'reset' });
}

/**
 * Makes the state service reject the leader's requests for `rejectedMs`, and cancels a job through another controller.
 * Runs the cluster for 2 s, within which the cancellation must be confirmed. Returns the job and the rejected leader.
 */
export async function cancelDuringRejection(
  cluster: Cluster,
  rejectedMs: number,
): Promise<{ cancelledJob: string; leader: string }> {
  const leader = cluster.leader()!;
  cluster.state.rejectHost(`${leader}:80`, rejectedMs);
  await cluster.run(0.2);
  const cancelledJob = jobIds(cluster)[0];
  void cluster.users.cancel(cancelledJob, otherNode(cluster, leader));
  await cluster.run(1.8);
  assert.notEqual(
    cluster.invariants.jobs.get(cancelledJob)!.reportedCancelledAt,
    null,
    'the cancellation is confirmed within 2 s of the rejection',
  );
  return { cancelledJob, leader };
}

/** Duplicates heartbeats with this probability, up to four leases later, to the node that leads when they are sent. */
export function duplicateHeartbeats(cluster: Cluster, chance: number): void {
  cluster.network.duplicates = {
    path: HEARTBEAT_PATH,
    chance,
    upToMs: 4 * LEASE_MS,
    to: () => `${leaderOrRandomNode(cluster)}:80`,
  };
}

/** Returns a predicate, by id, for a random share of the machines that the cloud has now. */
export function pickMachines(cluster: Cluster, share: number): (id: string) => boolean {
  const chosen = new Set(
    [...cluster.cloud.machines.keys()].filter(() => cluster.random.chance(share)),
  );
  return (id) => chosen.has(id);
}

/** Makes a random share of the running machines hang for `ms`. */
export function hangMachines(cluster: Cluster, share: number, ms: number): void {
  for (const machine of cluster.cloud.machines.values())
    if (machine.worker && cluster.random.chance(share)) cluster.faults.hangMachine(machine.id, ms);
}

/** Holds responses and commands to the machine for `forMs`; messages from the machine still arrive. */
export function holdMessagesTo(cluster: Cluster, machine: string, forMs: number): void {
  cluster.network.partitions.push({
    a: () => true,
    b: (host) => host.startsWith(`w-${machine}:`),
    until: cluster.clock.time + forMs,
    mode: 'hold',
    oneWay: true,
  });
}
