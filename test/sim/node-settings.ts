/** The platform settings of a simulated controller. */
import type { Objective, PlatformSettings } from '../../src/settings/platform.js';
import { type CompleteClusterConfig, TEAMS, zoneOf } from './cluster-config.js';
import { GANG_PEER_MS, GANG_WAIT_MS } from './gang-coordinator.js';

/** Returns the settings that the platform's file would contain for this node. */
export function nodeSettings(
  name: string,
  nodeNames: string[],
  config: CompleteClusterConfig,
): PlatformSettings {
  const money: Objective[] = config.minimizeCost
    ? [{ kind: 'price', jobClass: null, withinS: null }]
    : [];
  return {
    node: name,
    zone: zoneOf(name),
    listenAddress: `${name}:80`,
    peerBindAddress: `${name}:81`,
    peers: nodeNames
      .filter((other) => other !== name)
      .map((peer) => ({ name: peer, zone: zoneOf(peer), address: `${peer}:81` })),
    cloudAddress: 'cloud:1',
    stateAddress: 'state:1',
    controllerCount: nodeNames.length,
    teams: TEAMS.map((team) => ({
      name: team,
      cpus: 16,
      gpus: 0,
      cpusMax: config.teamLimit,
      gpusMax: Infinity,
    })),
    objectives: money,
    heartbeatIntervalS: config.reportMs / 1000,
    leaseS: config.leaseMs / 1000,
    cancelS: config.cancelMs / 1000,
    gangWaitS: GANG_WAIT_MS / 1000,
    gangPeerS: GANG_PEER_MS / 1000,
    stateRequestsPerS: config.state?.rps ?? 200,
    stateWritesPerS: config.state?.writeRps ?? 40,
    maxValueKb: 4,
    maxTransactionOps: 12,
    cloudCallsPerS: config.cloudRps,
    listLagS: 2,
    maxSockets: 1000,
  };
}
