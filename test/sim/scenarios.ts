/** Troubles and beginnings that several tests bring about, all by the cluster's seeded random. */
import assert from 'node:assert/strict';
import { Cluster, LEASE_MS } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';
import { SERVICE } from './jobs.js';
import { HEARTBEAT_PATH } from './wire/workers.js';

/** Services on their machines, nobody losing messages by chance. */
export async function serving(config: ClusterConfig, jobs = 4): Promise<Cluster> {
  const cluster = new Cluster({ ordinaryUp: 8, nodes: 5, ...config });
  cluster.net.lossy = 0;
  cluster.net.repeats = 0;
  await cluster.run(4);
  for (let i = 0; i < jobs; i++) void cluster.user(cluster.newJob(SERVICE), null);
  await cluster.run(14);
  assert.equal(cluster.rules.on.size, 3 * jobs);
  return cluster;
}

/** What placing cost, as the leaders' rounds tell. */
export interface PlacementWork {
  cycles: number;
  candidatesExamined: number;
  starts: number;
}

/** A log that adds up the placement work of all leaders. */
export function addingUp(work: PlacementWork): NonNullable<ClusterConfig['log']> {
  return (_node, text, fields) => {
    if (text !== 'round') return;
    for (const k of ['cycles', 'candidatesExamined', 'starts'] as const)
      work[k] += (fields as PlacementWork)[k];
  };
}

export const ids = (cluster: Cluster): string[] => [...cluster.rules.jobs.keys()];
export const other = (cluster: Cluster, than: string): string =>
  cluster.names.find((n) => n !== than)!;
export const leaderOr = (cluster: Cluster): string =>
  cluster.leader() ?? cluster.random.pick(cluster.names);

export function tasksOf(cluster: Cluster, id: string): number {
  return [...cluster.rules.on.keys()].filter((t) => t.startsWith(`${id}/`)).length;
}

/** Nothing travels between controllers. */
export function apart(cluster: Cluster): void {
  const isNode = (h: string): boolean => cluster.isNode(h);
  cluster.net.cuts.push({ a: isNode, b: isNode, until: Infinity, mode: 'reset' });
}

/** The state service refuses the leader alone, and another controller confirms a cancellation; 2 s pass. */
export async function cancelledBesideRefusal(
  cluster: Cluster,
  refusedMs: number,
): Promise<{ first: string; old: string }> {
  const old = cluster.leader()!;
  cluster.state.refuse(`${old}:80`, refusedMs);
  await cluster.run(0.2);
  const first = ids(cluster)[0];
  void cluster.cancel(first, other(cluster, old));
  await cluster.run(1.8);
  assert.notEqual(
    cluster.rules.jobs.get(first)!.toldCancelledAt,
    null,
    'confirmed before the outage',
  );
  return { first, old };
}

/** That share of reports comes again, up to four leases later, to whoever leads then. */
export function copiesTo(cluster: Cluster, chance: number): void {
  cluster.net.copies = {
    path: HEARTBEAT_PATH,
    chance,
    upToMs: 4 * LEASE_MS,
    to: () => `${leaderOr(cluster)}:80`,
  };
}

export function someMachines(cluster: Cluster, share: number): (id: string) => boolean {
  const chosen = new Set(
    [...cluster.cloud.machines.keys()].filter(() => cluster.random.chance(share)),
  );
  return (id) => chosen.has(id);
}

export function hangSome(cluster: Cluster, share: number, ms: number): void {
  for (const machine of cluster.cloud.machines.values())
    if (machine.worker && cluster.random.chance(share)) cluster.hang(machine.id, ms);
}
