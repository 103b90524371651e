/** Faults and initial clusters that several tests use. All random choices derive from the cluster's seed. */
import assert from 'node:assert/strict';
import { Cluster } from './cluster.js';
import { type ClusterConfig, LEASE_MS } from './cluster-config.js';
import { SERVICE } from './jobs.js';
import { HEARTBEAT_PATH } from './wire/workers.js';

/** Returns a cluster that runs `jobs` services, with a network that loses and repeats no messages at random. */
export async function clusterWithServices(config: ClusterConfig, jobs = 4): Promise<Cluster> {
  const cluster = new Cluster({ ordinaryUp: 8, nodes: 5, ...config });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(4);
  for (let i = 0; i < jobs; i++) void cluster.users.run(cluster.users.newJob(SERVICE), null);
  await cluster.run(14);
  assert.equal(cluster.invariants.placesByTask.size, 3 * jobs);
  return cluster;
}

/** Returns a cluster that runs one service, with a network that loses and repeats no messages at random. */
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

/** Cost of placement, summed over the rounds that the leaders log. */
export interface PlacementCost {
  cycles: number;
  candidatesExamined: number;
  starts: number;
}

/** Returns a log that adds the placement cost of all leaders to `cost`. */
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

/** Number of tasks of the job that are on machines. */
export function runningTasksOf(cluster: Cluster, id: string): number {
  return [...cluster.invariants.placesByTask.keys()].filter((t) => t.startsWith(`${id}/`)).length;
}

/** Partitions the controllers from each other for the rest of the run. */
export function partitionControllers(cluster: Cluster): void {
  const isNode = (host: string): boolean => cluster.isNode(host);
  cluster.network.partitions.push({ a: isNode, b: isNode, until: Infinity, mode: 'reset' });
}

/** The state service rejects the leader only, and another controller confirms a cancellation; takes 2 s. */
export async function cancelDuringRejection(
  cluster: Cluster,
  rejectedMs: number,
): Promise<{ cancelledJob: string; leader: string }> {
  const old = cluster.leader()!;
  cluster.state.rejectHost(`${old}:80`, rejectedMs);
  await cluster.run(0.2);
  const first = jobIds(cluster)[0];
  void cluster.users.cancel(first, otherNode(cluster, old));
  await cluster.run(1.8);
  assert.notEqual(
    cluster.invariants.jobs.get(first)!.reportedCancelledAt,
    null,
    'the cancellation is confirmed before the outage',
  );
  return { cancelledJob: first, leader: old };
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

/** A random share of the running machines hangs for this time. */
export function hangMachines(cluster: Cluster, share: number, ms: number): void {
  for (const machine of cluster.cloud.machines.values())
    if (machine.worker && cluster.random.chance(share)) cluster.faults.hangMachine(machine.id, ms);
}

/** Holds responses and commands to the machine for this time; what the machine sends still arrives. */
export function holdMessagesTo(cluster: Cluster, machine: string, forMs: number): void {
  cluster.network.partitions.push({
    a: () => true,
    b: (host) => host.startsWith(`w-${machine}:`),
    until: cluster.clock.time + forMs,
    mode: 'hold',
    oneWay: true,
  });
}
