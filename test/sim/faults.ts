/** Faults, and clusters to begin with, that several tests use; what is random comes from the cluster's seed. */
import assert from 'node:assert/strict';
import { Cluster } from './cluster.js';
import { type ClusterConfig, LEASE_MS } from './cluster-config.js';
import { SERVICE } from './jobs.js';
import { HEARTBEAT_PATH } from './wire/workers.js';

/** Services on their machines, nobody losing messages by chance. */
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

/** One service on its machines, nobody losing messages by chance. */
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

/** What placing cost, as the leaders' logs tell of each round. */
export interface PlacementWork {
  cycles: number;
  candidatesExamined: number;
  starts: number;
}

/** A log that adds up the placement work of all leaders. */
export function logPlacementWork(work: PlacementWork): NonNullable<ClusterConfig['log']> {
  return (_node, text, fields) => {
    if (text !== 'round') return;
    for (const figure of ['cycles', 'candidatesExamined', 'starts'] as const)
      work[figure] += (fields as PlacementWork)[figure];
  };
}

export const jobIds = (cluster: Cluster): string[] => [...cluster.invariants.jobs.keys()];
/** Any controller but this one. */
export const otherNode = (cluster: Cluster, than: string): string =>
  cluster.nodeNames.find((name) => name !== than)!;
/** Any controller, where none leads. */
export const leaderOrRandomNode = (cluster: Cluster): string =>
  cluster.leader() ?? cluster.random.pick(cluster.nodeNames);

/** How many tasks of the job are on machines. */
export function runningTasksOf(cluster: Cluster, id: string): number {
  return [...cluster.invariants.placesByTask.keys()].filter((t) => t.startsWith(`${id}/`)).length;
}

/** Nothing travels between controllers. */
export function partitionControllers(cluster: Cluster): void {
  const isNode = (host: string): boolean => cluster.isNode(host);
  cluster.network.partitions.push({ a: isNode, b: isNode, until: Infinity, mode: 'reset' });
}

/** The state service rejects the leader alone, and another controller confirms a cancellation; 2 s pass. */
export async function cancelDuringRejection(
  cluster: Cluster,
  rejectedMs: number,
): Promise<{ cancelledJob: string; formerLeader: string }> {
  const old = cluster.leader()!;
  cluster.state.rejectHost(`${old}:80`, rejectedMs);
  await cluster.run(0.2);
  const first = jobIds(cluster)[0];
  void cluster.users.cancel(first, otherNode(cluster, old));
  await cluster.run(1.8);
  assert.notEqual(
    cluster.invariants.jobs.get(first)!.reportedCancelledAt,
    null,
    'confirmed before the outage',
  );
  return { cancelledJob: first, formerLeader: old };
}

/** That share of heartbeats comes again, up to four leases later, to whoever leads then. */
export function duplicateHeartbeats(cluster: Cluster, chance: number): void {
  cluster.network.duplicates = {
    path: HEARTBEAT_PATH,
    chance,
    upToMs: 4 * LEASE_MS,
    to: () => `${leaderOrRandomNode(cluster)}:80`,
  };
}

/** A random share of the machines that the cloud has now, as a filter of their names. */
export function pickMachines(cluster: Cluster, share: number): (id: string) => boolean {
  const chosen = new Set(
    [...cluster.cloud.machines.keys()].filter(() => cluster.random.chance(share)),
  );
  return (id) => chosen.has(id);
}

/** A random share of the machines stands still. */
export function hangMachines(cluster: Cluster, share: number, ms: number): void {
  for (const machine of cluster.cloud.machines.values())
    if (machine.worker && cluster.random.chance(share)) cluster.faults.hangMachine(machine.id, ms);
}

/** What the machine sends still arrives; answers and commands to it are held. */
export function holdMessagesTo(cluster: Cluster, machine: string, forMs: number): void {
  cluster.network.partitions.push({
    a: () => true,
    b: (host) => host.startsWith(`w-${machine}:`),
    until: cluster.clock.time + forMs,
    mode: 'hold',
    oneWay: true,
  });
}
