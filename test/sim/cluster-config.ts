/** Size and settings of a simulated deployment. */
import type { DutySettings } from '@millring/duties';
import type { Build, RolloutSettings } from '@millring/rollout';
import { type CloudPool, TYPES } from './cloud.js';
import { POLL_MS } from './worker.js';
import type { CloudType } from './wire/cloud.js';

export const TEAMS = ['t0', 't1'];
const REPORT_MS = 1000;
/** Default time in milliseconds that a worker may run tasks after the last heartbeat that got a response. */
export const LEASE_MS = 8000;
/** Default time in milliseconds after a confirmed cancellation within which all tasks of the job must have exited. */
export const CANCEL_MS = 22_000;
const CLOUD_RPS = 5;
const TEAM_LIMIT_CPUS = 80;
const NODES = 3;
const CAPACITY = 4;
const ORDINARY_UP = 4;

/** Returns the zone of a controller: `a` for even numbers, `b` for odd ones. */
export const zoneOf = (node: string): string => (Number(node.slice(1)) % 2 ? 'b' : 'a');

/** Differences from the default deployment, which most tests use. */
export interface ClusterConfig {
  seed: number;
  /** Whether the controllers have a price objective. */
  minimizeCost?: boolean;
  /** Capacity of the cloud per zone, in ordinary machines and in as many spot machines; ignored if `pools` is set. */
  capacity?: number;
  /** Machine types and their pools; by default there is one type in all zones. */
  types?: CloudType[];
  pools?: CloudPool[];
  /** Zones that have machines; controllers are in `a` and `b` only. */
  zones?: string[];
  /** Number of ordinary machines that have booted when the simulation starts. */
  ordinaryUp?: number;
  /** Maximum number of CPUs that a team may use. */
  teamLimit?: number;
  /** Number of controllers, called nodes in the settings. */
  nodes?: number;
  /** Average interval of each worker's heartbeats, in milliseconds. */
  reportMs?: number;
  /** Duration of the workers' leases, in milliseconds. */
  leaseMs?: number;
  /** Maximum time in milliseconds from a confirmed cancellation until no task of the job runs. */
  cancelMs?: number;
  /** Interval in milliseconds at which workers check whether a heartbeat is due; longer in large fleets. */
  pollMs?: number;
  /** Calls per second that the cloud accepts. */
  cloudRps?: number;
  /** Requests and writes per second that the state service accepts. */
  state?: { rps: number; writeRps: number };
  /** The controllers' rollout settings; the rollout is off by default. */
  rollout?: Partial<RolloutSettings>;
  /** The duty settings, which determine who rents and deletes machines; by default the leader does. */
  duties?: Partial<DutySettings>;
  /** Builds that the nodes start with, by node; the others start with `BUILD`. */
  builds?: Record<string, Build>;
  /** Whether `runScenario` submits jobs of its own; true by default. */
  randomJobs?: boolean;
  /** Receives the controllers' log lines of level info. */
  log?: (node: string, text: string, fields: object) => void;
}

/** A configuration in which all settings with a default are set. */
export type CompleteClusterConfig = ClusterConfig &
  Required<
    Pick<
      ClusterConfig,
      | 'builds'
      | 'cancelMs'
      | 'cloudRps'
      | 'leaseMs'
      | 'nodes'
      | 'ordinaryUp'
      | 'pollMs'
      | 'pools'
      | 'reportMs'
      | 'teamLimit'
      | 'types'
      | 'zones'
    >
  >;

/** Adds the defaults to the configuration. */
export function completeConfig(config: ClusterConfig): CompleteClusterConfig {
  const zones = config.zones ?? ['a', 'b'];
  const count = config.capacity ?? CAPACITY;
  return {
    builds: {},
    cancelMs: CANCEL_MS,
    cloudRps: CLOUD_RPS,
    leaseMs: LEASE_MS,
    nodes: NODES,
    ordinaryUp: ORDINARY_UP,
    pollMs: POLL_MS,
    pools: zones.map((zone) => ({ type: 't16', zone, count })),
    reportMs: REPORT_MS,
    teamLimit: TEAM_LIMIT_CPUS,
    types: TYPES,
    zones,
    ...config,
  };
}
