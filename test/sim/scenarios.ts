/** Troubles and beginnings that several tests bring about, all by the cluster's seeded random. */
import assert from 'node:assert/strict';
import { Cluster, LEASE_MS } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';
import { DESK } from './jobs.js';
import { HEARTBEAT_PATH } from './wire/workers.js';

/** Services on their machines, nobody losing messages by chance. */
export async function serving(config: ClusterConfig, jobs = 4): Promise<Cluster> {
  const c = new Cluster({ ordinaryUp: 8, nodes: 5, ...config });
  c.net.lossy = 0;
  c.net.repeats = 0;
  await c.run(4);
  for (let i = 0; i < jobs; i++) void c.user(c.newJob(DESK), null);
  await c.run(14);
  assert.equal(c.rules.on.size, 3 * jobs);
  return c;
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

export const ids = (c: Cluster): string[] => [...c.rules.jobs.keys()];
export const other = (c: Cluster, than: string): string => c.names.find((n) => n !== than)!;
export const leaderOr = (c: Cluster): string => c.leader() ?? c.random.pick(c.names);

export function tasksOf(c: Cluster, id: string): number {
  return [...c.rules.on.keys()].filter((t) => t.startsWith(`${id}/`)).length;
}

/** Nothing travels between controllers. */
export function apart(c: Cluster): void {
  const isNode = (h: string): boolean => c.isNode(h);
  c.net.cuts.push({ a: isNode, b: isNode, until: Infinity, mode: 'reset' });
}

/** The state service refuses the leader alone, and another controller confirms a cancellation; 2 s pass. */
export async function cancelledBesideRefusal(
  c: Cluster,
  refusedMs: number,
): Promise<{ first: string; old: string }> {
  const old = c.leader()!;
  c.state.refuse(`${old}:80`, refusedMs);
  await c.run(0.2);
  const first = ids(c)[0];
  void c.cancel(first, other(c, old));
  await c.run(1.8);
  assert.notEqual(c.rules.jobs.get(first)!.toldCancelledAt, null, 'confirmed before the outage');
  return { first, old };
}

/** That share of reports comes again, up to four leases later, to whoever leads then. */
export function copiesTo(c: Cluster, chance: number): void {
  c.net.copies = {
    path: HEARTBEAT_PATH,
    chance,
    upToMs: 4 * LEASE_MS,
    to: () => `${leaderOr(c)}:80`,
  };
}

export function someMachines(c: Cluster, share: number): (id: string) => boolean {
  const chosen = new Set([...c.cloud.machines.keys()].filter(() => c.random.chance(share)));
  return (id) => chosen.has(id);
}

export function hangSome(c: Cluster, share: number, ms: number): void {
  for (const m of c.cloud.machines.values())
    if (m.worker && c.random.chance(share)) c.hang(m.id, ms);
}
