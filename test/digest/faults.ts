/** Faults of machines, controllers, network and services, for the digest's scenarios. */
import { type Cluster, LEASE_MS, zoneOf } from '../sim/cluster.js';
import type { CloudMachine } from '../sim/cloud.js';
import { hangSome, leaderOr, other, someMachines } from '../sim/scenarios.js';

const SPOT_NOTICE_MS = 6000;

function runningMachines(cluster: Cluster): CloudMachine[] {
  return [...cluster.cloud.machines.values()].filter((machine) => machine.worker !== null);
}

export function killMachine(cluster: Cluster): void {
  const machines = runningMachines(cluster);
  if (machines.length > 0) cluster.random.pick(machines).worker!.kill();
}

/** The cloud takes a machine at once. */
export function takeMachine(cluster: Cluster): void {
  const machines = runningMachines(cluster);
  if (machines.length > 0) cluster.cloud.take(cluster.random.pick(machines));
}

/** The cloud gives notice to a spot machine, and takes it then. */
export function preemptSpotMachine(cluster: Cluster): void {
  const machines = runningMachines(cluster).filter((machine) => machine.spot);
  if (machines.length === 0) return;
  takeAfterNotice(cluster, cluster.random.pick(machines));
}

/** A machine under a running gang gets notice. */
export function preemptGang(cluster: Cluster): void {
  const { rules, cloud } = cluster;
  for (const [task, places] of rules.on) {
    const job = rules.jobs.get(task.slice(0, task.lastIndexOf('/')));
    const machine = cloud.machines.get(places[0]?.machine);
    if (job?.spec.kind !== 'gang' || !machine?.worker) continue;
    takeAfterNotice(cluster, machine);
    return;
  }
}

function takeAfterNotice(cluster: Cluster, machine: CloudMachine): void {
  machine.worker!.preemptionDeadline = cluster.clock.time + SPOT_NOTICE_MS;
  cluster.clock.after(SPOT_NOTICE_MS, () => {
    cluster.cloud.take(machine);
  });
}

export function crashLeader(cluster: Cluster): void {
  cluster.crash(leaderOr(cluster), cluster.random.pick([150, 3000]));
}

export function crashAll(cluster: Cluster): void {
  for (const name of cluster.names) cluster.crash(name, cluster.random.between(100, 4000));
}

export function freezeLeader(cluster: Cluster): void {
  cluster.freeze(leaderOr(cluster), cluster.random.between(500, 9000));
}

export function freezeAll(cluster: Cluster): void {
  for (const name of cluster.names)
    cluster.freeze(name, LEASE_MS + cluster.random.between(1000, 4000));
}

export function hangMachines(cluster: Cluster): void {
  hangSome(cluster, 0.2, cluster.random.between(2000, 9500));
}

export function muteMachines(cluster: Cluster): void {
  cluster.mute(someMachines(cluster, 0.3), cluster.random.between(3000, 15_000));
}

export function holdCommands(cluster: Cluster): void {
  cluster.holdCommands(someMachines(cluster, 0.4), cluster.random.between(1000, 6000));
}

/** Machines can't be reached, or don't hear what is sent to them. */
export function cutMachines(cluster: Cluster, oneWay: boolean): void {
  const chosen = cluster.hostsOf(someMachines(cluster, 0.3));
  const until = cluster.clock.time + cluster.random.between(4000, 14_000);
  const everybody = (): boolean => true;
  if (oneWay) cluster.net.cuts.push({ a: everybody, b: chosen, until, mode: 'hold', oneWay });
  else cluster.net.cuts.push({ a: chosen, b: everybody, until, mode: 'reset' });
}

/** Machines and controllers of a zone are apart from all others. */
export function cutZone(cluster: Cluster, zone: string): void {
  const inside = (host: string): boolean =>
    cluster.inZone(zone)(host) ||
    (cluster.isNode(host) && zoneOf(host.slice(0, host.indexOf(':'))) === zone);
  cluster.net.cuts.push({
    a: inside,
    b: (host) => !inside(host),
    until: cluster.clock.time + cluster.random.between(6000, 14_000),
    mode: cluster.random.pick(['hold', 'reset'] as const),
  });
}

/** The leader loses the state service and its peers, and jobs are cancelled through another controller. */
export function isolateLeader(cluster: Cluster): void {
  const leader = leaderOr(cluster);
  cluster.isolate(leader, cluster.random.between(5000, 15_000), 'reset');
  cluster.clock.after(4000, () => {
    cluster.cancelNow(2, 4000, other(cluster, leader));
  });
}

export function lateWrites(cluster: Cluster, keys?: string): void {
  const lateness = { share: 0.2, until: cluster.clock.time + 2000 };
  cluster.state.lateWrites = keys === undefined ? lateness : { ...lateness, keys };
}
