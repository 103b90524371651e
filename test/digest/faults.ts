/** Faults of machines, controllers, the network and services for the scenarios of the trace digest. */
import { BUILD } from '../../src/build.js';
import { OLD_BUILD, createOperator } from '../sim/rolling-upgrade.js';
import { type Cluster } from '../sim/cluster.js';
import { LEASE_MS } from '../sim/cluster-config.js';
import type { CloudMachine } from '../sim/cloud.js';
import { hangMachines, leaderOrRandomNode, otherNode, pickMachines } from '../sim/faults.js';

const SPOT_NOTICE_MS = 6000;

function runningMachines(cluster: Cluster): CloudMachine[] {
  return [...cluster.cloud.machines.values()].filter((machine) => machine.worker !== null);
}

export function killMachine(cluster: Cluster): void {
  const machines = runningMachines(cluster);
  if (machines.length > 0) cluster.random.pick(machines).worker!.kill();
}

/** The cloud preempts a machine without notice. */
export function preemptMachineWithoutNotice(cluster: Cluster): void {
  const machines = runningMachines(cluster);
  if (machines.length > 0) cluster.cloud.preempt(cluster.random.pick(machines));
}

/** The cloud sends a preemption notice for a spot machine and preempts it `SPOT_NOTICE_MS` later. */
export function preemptSpotMachineWithNotice(cluster: Cluster): void {
  const machines = runningMachines(cluster).filter((machine) => machine.spot);
  if (machines.length === 0) return;
  preemptAfterNotice(cluster, cluster.random.pick(machines));
}

/** The cloud preempts the machine of one task of a gang, `SPOT_NOTICE_MS` after a notice. */
export function preemptGangMachine(cluster: Cluster): void {
  const { invariants, cloud } = cluster;
  for (const [task, places] of invariants.placesByTask) {
    const job = invariants.jobs.get(task.slice(0, task.lastIndexOf('/')));
    const machine = cloud.machines.get(places[0]?.machine);
    if (job?.spec.kind !== 'gang' || !machine?.worker) continue;
    preemptAfterNotice(cluster, machine);
    return;
  }
}

function preemptAfterNotice(cluster: Cluster, machine: CloudMachine): void {
  machine.worker!.preemptionDeadline = cluster.clock.time + SPOT_NOTICE_MS;
  cluster.clock.after(SPOT_NOTICE_MS, () => {
    cluster.cloud.preempt(machine);
  });
}

export function crashLeader(cluster: Cluster): void {
  cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 3000]));
}

export function crashAll(cluster: Cluster): void {
  for (const name of cluster.nodeNames) cluster.crash(name, cluster.random.between(100, 4000));
}

export function freezeLeader(cluster: Cluster): void {
  cluster.freeze(leaderOrRandomNode(cluster), cluster.random.between(500, 9000));
}

export function freezeAll(cluster: Cluster): void {
  for (const name of cluster.nodeNames)
    cluster.freeze(name, LEASE_MS + cluster.random.between(1000, 4000));
}

export function hangSomeMachines(cluster: Cluster): void {
  hangMachines(cluster, 0.2, cluster.random.between(2000, 9500));
}

export function blockMachineConnections(cluster: Cluster): void {
  cluster.faults.blockConnections(pickMachines(cluster, 0.3), cluster.random.between(3000, 15_000));
}

export function holdCommands(cluster: Cluster): void {
  cluster.faults.holdCommands(pickMachines(cluster, 0.4), cluster.random.between(1000, 6000));
}

/**
 * Isolates a random share of the machines: either all their connections are reset, or, with `oneWay`, messages to
 * them are held until the partition ends while messages from them arrive.
 */
export function partitionMachines(cluster: Cluster, oneWay: boolean): void {
  const chosen = cluster.faults.hostsOf(pickMachines(cluster, 0.3));
  const until = cluster.clock.time + cluster.random.between(4000, 14_000);
  const anyHost = (): boolean => true;
  if (oneWay)
    cluster.network.partitions.push({ a: anyHost, b: chosen, until, mode: 'hold', oneWay });
  else cluster.network.partitions.push({ a: chosen, b: anyHost, until, mode: 'reset' });
}

/** Partitions the machines and controllers of a zone from all other hosts. */
export function partitionZone(cluster: Cluster, zone: string): void {
  cluster.faults.isolateZone(
    zone,
    cluster.random.between(6000, 14_000),
    cluster.random.pick(['hold', 'reset']),
  );
}

/** Isolates the leader from the state service and its peers, and cancels jobs through another controller 4 s later. */
export function isolateLeader(cluster: Cluster): void {
  const leader = leaderOrRandomNode(cluster);
  cluster.faults.isolate(leader, cluster.random.between(5000, 15_000), 'reset');
  cluster.clock.after(4000, () => {
    cluster.faults.cancelRunning(2, 4000, otherNode(cluster, leader));
  });
}

export function lateWrites(cluster: Cluster, keyPrefix?: string): void {
  const lateness = { share: 0.2, until: cluster.clock.time + 2000 };
  cluster.state.lateWrites =
    keyPrefix === undefined ? lateness : { ...lateness, prefix: keyPrefix };
}

/** Replaces random controllers by the current build, less often by the old one, until all run the current build. */
export function replaceBuilds(cluster: Cluster, second: number): void {
  const name = cluster.random.pick(cluster.nodeNames);
  if (second >= 20 && second < 20 + cluster.nodeNames.length)
    cluster.builds.set(cluster.nodeNames[second - 20], BUILD);
  else if (second < 20) cluster.builds.set(name, cluster.random.chance(0.7) ? BUILD : OLD_BUILD);
  if (second % 4 === 1) cluster.crash(name, cluster.random.between(50, 2000));
  if (second === 26) crashAll(cluster);
}

/** An operator lowers the feature level. */
export function lowerFeatureLevel(cluster: Cluster): void {
  void createOperator(cluster).downgrade();
}

export function slowStateService(cluster: Cluster): void {
  cluster.state.slowReads = { byMs: 400, until: cluster.clock.time + 10_000 };
}

export function stateOutage(cluster: Cluster): void {
  cluster.state.beginOutage(cluster.random.between(3000, LEASE_MS + 4000));
}

export function rejectLeaderRequests(cluster: Cluster): void {
  cluster.state.rejectHost(`${leaderOrRandomNode(cluster)}:80`, 6000);
}

/** Makes the next machine that boots run tasks slowly or fail them, and adds machines. */
export function slowOrFailingMachines(cluster: Cluster, second: number): void {
  if (second % 8 === 1) cluster.nextMachineSlowness = 4;
  if (second % 16 === 5) cluster.nextMachineFaulty = true;
  if (second % 8 === 2) cluster.cloud.add('t16', 'a', false, true);
}
