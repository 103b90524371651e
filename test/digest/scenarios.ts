/** The scenarios by seed: seeds that are `SCENARIOS.length` apart play the same one with other random numbers. */
import { BUILD } from '../../src/build.js';
import { type Cluster, LEASE_MS } from '../sim/cluster.js';
import { ROLLOUT, SETTINGS as DUTIES, plantLevel } from '../sim/cloud-watch.js';
import type { ClusterConfig } from '../sim/cluster-config.js';
import { BATCH, SERVICE, GANG } from '../sim/jobs.js';
import { OLD, SETTINGS as AUTOMATIC_ROLLOUT, operatorOf } from '../sim/roll.js';
import { copiesTo, leaderOr } from '../sim/scenarios.js';
import type { CloudType } from '../sim/wire/cloud.js';
import * as faults from './faults.js';
import type { Scenario } from './scenario.js';
import {
  crowd,
  evenArrays,
  gangBehindTeamLimit,
  gangs,
  gangsBehindArrays,
  invalidRequests,
  largeArray,
  mixedJobs,
  submit,
} from './workload.js';

type EachSecond = Scenario['eachSecond'];

const THREE_ZONES = ['a', 'b', 'c'];

function together(...parts: EachSecond[]): EachSecond {
  return (cluster, second) => {
    for (const part of parts) part(cluster, second);
  };
}

/** The fault in one second of every so many. */
function every(seconds: number, first: number, fault: (cluster: Cluster) => void): EachSecond {
  return (cluster, second) => {
    if (second % seconds === first) fault(cluster);
  };
}

function cancel(count: number, hangMs: number): (cluster: Cluster) => void {
  return (cluster) => {
    cluster.cancelNow(count, hangMs);
  };
}

const withDuties: Partial<ClusterConfig> = {
  ordinaryUp: 0,
  saveMoney: true,
  rollout: ROLLOUT,
  duties: DUTIES,
};

function machineType(name: string, cpus: number, gpus: number): CloudType {
  return {
    name,
    cpus,
    gpus,
    memoryGb: 4 * cpus,
    fetchGbPerS: 0.5,
    price: 0.06 * cpus + gpus,
    spotPrice: 0.02 * cpus + 0.4 * gpus,
    bootS: 5,
  };
}

const unevenMachines: Partial<ClusterConfig> = {
  ordinaryUp: 0,
  teamLimit: 400,
  saveMoney: true,
  types: [
    machineType('small-4', 4, 0),
    machineType('medium-16', 16, 0),
    machineType('large-64', 64, 0),
    machineType('gpu-16', 16, 4),
  ],
  pools: [
    { type: 'small-4', zone: 'a', count: 8 },
    { type: 'small-4', zone: 'b', count: 12 },
    { type: 'medium-16', zone: 'a', count: 3 },
    { type: 'large-64', zone: 'c', count: 1 },
    { type: 'gpu-16', zone: 'b', count: 2 },
  ],
};

function unevenJobs(cluster: Cluster, second: number): void {
  if (second % 6 === 0) submit(cluster, { ...BATCH, cpus: 4, tasks: cluster.random.int(4, 16) });
  if (second % 10 === 3) submit(cluster, { ...BATCH, gpus: 1, tasks: 3, machineTypes: ['gpu-16'] });
  if (second % 15 === 5) submit(cluster, { ...SERVICE, cpus: 4, tasks: 2 });
  if (second % 15 === 8) submit(cluster, { ...GANG, cpus: 8, tasks: 3 });
}

/** Jobs of one zone, tied to it or not. */
function zoneJobs(cluster: Cluster, second: number): void {
  const zone = cluster.random.pick(['a', 'b', 'c', null]);
  if (second % 5 === 1) submit(cluster, { ...BATCH, oneZone: true, tasks: 6, zone });
}

/** Controllers are replaced by newer builds, now and then by older ones, until all are new. */
function replaceBuilds(cluster: Cluster, second: number): void {
  const name = cluster.random.pick(cluster.names);
  if (second >= 20 && second < 20 + cluster.names.length)
    cluster.builds.set(cluster.names[second - 20], BUILD);
  else if (second < 20) cluster.builds.set(name, cluster.random.chance(0.7) ? BUILD : OLD);
  if (second % 4 === 1) cluster.crash(name, cluster.random.between(50, 2000));
  if (second === 26) faults.crashAll(cluster);
}

/** An operator lowers the level again. */
function lowerLevel(cluster: Cluster): void {
  void operatorOf(cluster).downgrade();
}

/** Room for arrays of thousands of tasks. */
const wide: Partial<ClusterConfig> = { ordinaryUp: 24, capacity: 24, teamLimit: 400 };

function slowStateService(cluster: Cluster): void {
  cluster.state.slowReads = { byMs: 400, until: cluster.clock.time + 10_000 };
}

function stateOutage(cluster: Cluster): void {
  cluster.state.outage(cluster.random.between(3000, LEASE_MS + 4000));
}

function refuseLeader(cluster: Cluster): void {
  cluster.state.refuse(`${leaderOr(cluster)}:80`, 6000);
}

/** Machines that come up next run tasks slowly, or fail them. */
function poorMachines(cluster: Cluster, second: number): void {
  if (second % 8 === 1) cluster.slowNext = 4;
  if (second % 16 === 5) cluster.faultyNext = true;
  if (second % 8 === 2) cluster.cloud.add('t16', 'a', false, true);
}

const largeFleet: Partial<ClusterConfig> = {
  ordinaryUp: 110,
  capacity: 10,
  zones: THREE_ZONES,
  teamLimit: 10_000,
  reportMs: 4000,
  leaseMs: 20_000,
  cancelMs: 45_000,
  pollMs: 400,
  state: { rps: 200, writeRps: 40 },
};

function largeFleetJobs(cluster: Cluster, second: number): void {
  if (second % 10 === 0) submit(cluster, { ...BATCH, tasks: 120, cpus: 8, durationS: 8 });
  if (second % 10 === 5) submit(cluster, { ...SERVICE, tasks: 6 });
  if (second % 20 === 7) submit(cluster, { ...GANG, oneZone: false, tasks: 20, cpus: 8 });
}

const SCENARIOS: Scenario[] = [
  { eachSecond: together(mixedJobs, invalidRequests, every(12, 7, faults.crashLeader)) },
  {
    eachSecond: together(
      gangs,
      mixedJobs,
      every(11, 5, faults.takeMachine),
      every(8, 2, faults.preemptSpotMachine),
      every(9, 6, faults.preemptGang),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: together(
      gangs,
      every(7, 3, faults.hangMachines),
      every(13, 6, faults.muteMachines),
      every(15, 9, cancel(2, 0)),
    ),
  },
  {
    config: { saveMoney: true, ordinaryUp: 0, zones: THREE_ZONES },
    eachSecond: together(
      mixedJobs,
      zoneJobs,
      every(4, 2, faults.preemptSpotMachine),
      every(16, 9, faults.crashLeader),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: together(
      mixedJobs,
      every(20, 6, slowStateService),
      every(18, 10, refuseLeader),
      every(20, 14, stateOutage),
      every(9, 4, cancel(1, 3000)),
    ),
  },
  {
    eachSecond: together(
      mixedJobs,
      gangs,
      (cluster) => {
        copiesTo(cluster, 0.25);
      },
      every(10, 4, faults.hangMachines),
      every(15, 8, faults.crashLeader),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: together(
      mixedJobs,
      every(14, 5, faults.freezeLeader),
      every(20, 12, faults.isolateLeader),
    ),
  },
  {
    config: { nodes: 5, zones: THREE_ZONES, capacity: 3 },
    eachSecond: together(
      mixedJobs,
      zoneJobs,
      (cluster, second) => {
        if (second % 16 === 8) faults.cutZone(cluster, cluster.random.pick(THREE_ZONES));
      },
      every(22, 11, faults.crashLeader),
    ),
  },
  {
    config: {
      ...wide,
      rollout: AUTOMATIC_ROLLOUT,
      builds: { n0: OLD, n1: OLD, n2: OLD },
    },
    eachSecond: together(
      mixedJobs,
      replaceBuilds,
      every(50, 5, largeArray),
      every(19, 13, stateOutage),
      every(60, 50, lowerLevel),
    ),
  },
  {
    config: withDuties,
    prepare: plantLevel,
    eachSecond: together(
      mixedJobs,
      every(8, 3, (cluster) => {
        cluster.crash(cluster.random.pick(cluster.names), 1500);
      }),
      every(10, 6, faults.killMachine),
    ),
  },
  {
    config: { capacity: 3, ordinaryUp: 4, teamLimit: 24 },
    busyS: 90,
    prepare: (cluster) => {
      cluster.net.slow = 10;
    },
    eachSecond: together(
      crowd,
      gangBehindTeamLimit,
      every(25, 14, faults.crashLeader),
      every(12, 9, cancel(2, 2000)),
    ),
  },
  {
    config: unevenMachines,
    eachSecond: together(
      unevenJobs,
      every(10, 4, faults.preemptSpotMachine),
      every(30, 15, (cluster) => {
        cluster.cloud.downUntil = cluster.clock.time + 8000;
      }),
    ),
  },
  {
    eachSecond: together(
      mixedJobs,
      gangs,
      every(3, 1, faults.lateWrites),
      every(18, 9, faults.crashLeader),
      every(12, 7, cancel(2, 2000)),
    ),
  },
  {
    config: { nodes: 5, capacity: 0, ordinaryUp: 4, teamLimit: 1000 },
    busyS: 90,
    eachSecond: together(
      gangsBehindArrays,
      every(12, 2, faults.holdCommands),
      every(14, 5, faults.hangMachines),
      every(10, 4, cancel(2, 0)),
    ),
  },
  {
    eachSecond: together(
      mixedJobs,
      every(15, 6, (cluster) => {
        faults.cutMachines(cluster, cluster.random.chance(0.5));
      }),
      every(15, 8, faults.crashLeader),
      every(15, 11, cancel(3, 0)),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: together(
      mixedJobs,
      gangs,
      every(40, 10, faults.freezeAll),
      every(40, 30, faults.crashAll),
      every(10, 9, cancel(2, 2000)),
    ),
  },
  {
    config: { saveMoney: true },
    prepare: (cluster) => {
      cluster.slowNext = 6;
    },
    eachSecond: together(evenArrays, poorMachines, every(40, 32, faults.crashLeader)),
  },
  {
    config: {
      ...wide,
      saveMoney: true,
      rollout: AUTOMATIC_ROLLOUT,
      duties: DUTIES,
      zones: THREE_ZONES,
    },
    eachSecond: together(
      mixedJobs,
      every(25, 18, largeArray),
      every(15, 9, faults.crashLeader),
      every(12, 5, faults.killMachine),
      every(60, 50, lowerLevel),
    ),
  },
  {
    config: { ...withDuties, nodes: 5, zones: THREE_ZONES },
    prepare: plantLevel,
    eachSecond: together(
      mixedJobs,
      gangs,
      every(10, 4, (cluster) => {
        faults.lateWrites(cluster, 'duties/');
      }),
      every(12, 7, faults.freezeLeader),
      every(15, 11, (cluster) => {
        cluster.isolate(cluster.random.pick(cluster.names), 4000, 'reset');
      }),
    ),
  },
  {
    config: largeFleet,
    eachSecond: together(
      largeFleetJobs,
      every(6, 3, faults.takeMachine),
      every(25, 18, faults.crashLeader),
      every(20, 13, cancel(1, 0)),
    ),
  },
];

export function scenarioOf(seed: number): Scenario {
  return SCENARIOS[(seed - 1) % SCENARIOS.length];
}
