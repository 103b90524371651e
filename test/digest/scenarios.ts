/** Scenarios by seed. Seeds that differ by `SCENARIOS.length` run the same scenario with different random numbers. */
import { type Cluster } from '../sim/cluster.js';
import { CLUSTER_DUTY_SETTINGS, putFeatureLevel } from '../sim/cloud-invariants.js';
import { OLD_BUILD, AUTOMATIC_ROLLOUT } from '../sim/rolling-upgrade.js';
import { duplicateHeartbeats } from '../sim/faults.js';
import {
  THREE_ZONES,
  largeFleet,
  heterogeneousMachines,
  largeCapacity,
  sharedDuties,
} from './deployments.js';
import * as faults from './faults.js';
import type { Scenario } from './scenario.js';
import {
  excessJobs,
  equalLengthArrays,
  gangWaitingForTeamLimit,
  gangs,
  gangsWaitingForArrays,
  invalidRequests,
  largeFleetJobs,
  heterogeneousJobs,
  singleZoneJobs,
  largeArray,
  mixedJobs,
} from './workload.js';

type EachSecond = Scenario['eachSecond'];

function combine(...parts: EachSecond[]): EachSecond {
  return (cluster, second) => {
    for (const part of parts) part(cluster, second);
  };
}

/** Injects the fault every `seconds` seconds, the first time in second `first`. */
function every(seconds: number, first: number, fault: (cluster: Cluster) => void): EachSecond {
  return (cluster, second) => {
    if (second % seconds === first) fault(cluster);
  };
}

function cancel(count: number, hangMs: number): (cluster: Cluster) => void {
  return (cluster) => {
    cluster.faults.cancelRunning(count, hangMs);
  };
}

const SCENARIOS: Scenario[] = [
  { eachSecond: combine(mixedJobs, invalidRequests, every(12, 7, faults.crashLeader)) },
  {
    eachSecond: combine(
      gangs,
      mixedJobs,
      every(11, 5, faults.preemptMachineWithoutNotice),
      every(8, 2, faults.preemptSpotMachineWithNotice),
      every(9, 6, faults.preemptGangMachine),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: combine(
      gangs,
      every(7, 3, faults.hangSomeMachines),
      every(13, 6, faults.blockMachineConnections),
      every(15, 9, cancel(2, 0)),
    ),
  },
  {
    config: { minimizeCost: true, ordinaryUp: 0, zones: THREE_ZONES },
    eachSecond: combine(
      mixedJobs,
      singleZoneJobs,
      every(4, 2, faults.preemptSpotMachineWithNotice),
      every(16, 9, faults.crashLeader),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: combine(
      mixedJobs,
      every(20, 6, faults.slowStateService),
      every(18, 10, faults.rejectLeaderRequests),
      every(20, 14, faults.stateOutage),
      every(9, 4, cancel(1, 3000)),
    ),
  },
  {
    eachSecond: combine(
      mixedJobs,
      gangs,
      (cluster) => {
        duplicateHeartbeats(cluster, 0.25);
      },
      every(10, 4, faults.hangSomeMachines),
      every(15, 8, faults.crashLeader),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: combine(
      mixedJobs,
      every(14, 5, faults.freezeLeader),
      every(20, 12, faults.isolateLeader),
    ),
  },
  {
    config: { nodes: 5, zones: THREE_ZONES, capacity: 3 },
    eachSecond: combine(
      mixedJobs,
      singleZoneJobs,
      (cluster, second) => {
        if (second % 16 === 8) faults.partitionZone(cluster, cluster.random.pick(THREE_ZONES));
      },
      every(22, 11, faults.crashLeader),
    ),
  },
  {
    config: {
      ...largeCapacity,
      rollout: AUTOMATIC_ROLLOUT,
      builds: { n0: OLD_BUILD, n1: OLD_BUILD, n2: OLD_BUILD },
    },
    eachSecond: combine(
      mixedJobs,
      faults.replaceBuilds,
      every(50, 5, largeArray),
      every(19, 13, faults.stateOutage),
      every(60, 50, faults.lowerFeatureLevel),
    ),
  },
  {
    config: sharedDuties,
    prepare: putFeatureLevel,
    eachSecond: combine(
      mixedJobs,
      every(8, 3, (cluster) => {
        cluster.crash(cluster.random.pick(cluster.nodeNames), 1500);
      }),
      every(10, 6, faults.killMachine),
    ),
  },
  {
    config: { capacity: 3, ordinaryUp: 4, teamLimit: 24 },
    faultPhaseS: 90,
    prepare: (cluster) => {
      cluster.network.delayFactor = 10;
    },
    eachSecond: combine(
      excessJobs,
      gangWaitingForTeamLimit,
      every(25, 14, faults.crashLeader),
      every(12, 9, cancel(2, 2000)),
    ),
  },
  {
    config: heterogeneousMachines,
    eachSecond: combine(
      heterogeneousJobs,
      every(10, 4, faults.preemptSpotMachineWithNotice),
      every(30, 15, (cluster) => {
        cluster.cloud.downUntil = cluster.clock.time + 8000;
      }),
    ),
  },
  {
    eachSecond: combine(
      mixedJobs,
      gangs,
      every(3, 1, faults.lateWrites),
      every(18, 9, faults.crashLeader),
      every(12, 7, cancel(2, 2000)),
    ),
  },
  {
    config: { nodes: 5, capacity: 0, ordinaryUp: 4, teamLimit: 1000 },
    faultPhaseS: 90,
    eachSecond: combine(
      gangsWaitingForArrays,
      every(12, 2, faults.holdCommands),
      every(14, 5, faults.hangSomeMachines),
      every(10, 4, cancel(2, 0)),
    ),
  },
  {
    eachSecond: combine(
      mixedJobs,
      every(15, 6, (cluster) => {
        faults.partitionMachines(cluster, cluster.random.chance(0.5));
      }),
      every(15, 8, faults.crashLeader),
      every(15, 11, cancel(3, 0)),
    ),
  },
  {
    config: { nodes: 5 },
    eachSecond: combine(
      mixedJobs,
      gangs,
      every(40, 10, faults.freezeAll),
      every(40, 30, faults.crashAll),
      every(10, 9, cancel(2, 2000)),
    ),
  },
  {
    config: { minimizeCost: true },
    prepare: (cluster) => {
      cluster.nextMachineSlowness = 6;
    },
    eachSecond: combine(
      equalLengthArrays,
      faults.slowOrFailingMachines,
      every(40, 32, faults.crashLeader),
    ),
  },
  {
    config: {
      ...largeCapacity,
      minimizeCost: true,
      rollout: AUTOMATIC_ROLLOUT,
      duties: CLUSTER_DUTY_SETTINGS,
      zones: THREE_ZONES,
    },
    eachSecond: combine(
      mixedJobs,
      every(25, 18, largeArray),
      every(15, 9, faults.crashLeader),
      every(12, 5, faults.killMachine),
      every(60, 50, faults.lowerFeatureLevel),
    ),
  },
  {
    config: { ...sharedDuties, nodes: 5, zones: THREE_ZONES },
    prepare: putFeatureLevel,
    eachSecond: combine(
      mixedJobs,
      gangs,
      every(10, 4, (cluster) => {
        faults.lateWrites(cluster, 'duties/');
      }),
      every(12, 7, faults.freezeLeader),
      every(15, 11, (cluster) => {
        cluster.faults.isolate(cluster.random.pick(cluster.nodeNames), 4000, 'reset');
      }),
    ),
  },
  {
    config: largeFleet,
    eachSecond: combine(
      largeFleetJobs,
      every(6, 3, faults.preemptMachineWithoutNotice),
      every(25, 18, faults.crashLeader),
      every(20, 13, cancel(1, 0)),
    ),
  },
];

/** Returns the scenario that the seed runs. */
export function scenarioOf(seed: number): Scenario {
  return SCENARIOS[(seed - 1) % SCENARIOS.length];
}
