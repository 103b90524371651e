/** How large a simulated deployment is, and what it runs. */
import type { DutySettings } from '@millring/duties';
import type { Build, RolloutSettings } from '@millring/rollout';
import { type CloudPool, TYPES } from './cloud.js';
import { POLL_MS } from './worker.js';
import type { CloudType } from './wire/cloud.js';

/** The teams of users. */
export const TEAMS = ['t0', 't1'];
const REPORT_MS = 1000;
/** How long a worker may go on without a heartbeat that was answered. */
export const LEASE_MS = 8000;
/** Within this time after its confirmation nothing of a cancelled job runs. */
export const CANCEL_MS = 22_000;
const CLOUD_RPS = 5;
const TEAM_LIMIT_CPUS = 80;
const NODES = 3;
const CAPACITY = 4;
const ORDINARY_UP = 4;

/** Nodes with an even number are in zone `a`, the others in zone `b`. */
export const zoneOf = (node: string): string => (Number(node.slice(1)) % 2 ? 'b' : 'a');

/** What differs from the deployment that most tests use. */
export interface ClusterConfig {
  seed: number;
  minimizeCost?: boolean;
  /** Machines of each zone and kind. */
  capacity?: number;
  /** Machine types, and where they are; else one type everywhere. */
  types?: CloudType[];
  pools?: CloudPool[];
  /** Zones of machines; controllers are in `a` and `b` only. */
  zones?: string[];
  ordinaryUp?: number;
  teamLimit?: number;
  /** Controllers. */
  nodes?: number;
  reportMs?: number;
  leaseMs?: number;
  cancelMs?: number;
  /** Workers of large fleets look less often whether a heartbeat is due. */
  pollMs?: number;
  cloudRps?: number;
  state?: { rps: number; writeRps: number };
  /** How the controllers take part in the rollout; off where it is not named. */
  rollout?: Partial<RolloutSettings>;
  /** Who rents and deletes machines; the leader where it is not named. */
  duties?: Partial<DutySettings>;
  /** The builds that the nodes start with, where they are not this one. */
  builds?: Record<string, Build>;
  log?: (node: string, text: string, fields: object) => void;
}

/** A configuration in which everything that has a default is set. */
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

/** Adds the defaults. */
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
