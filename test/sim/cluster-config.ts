/** How large a simulated deployment is, and what it runs. */
import type { DutySettings } from '@millring/duties';
import type { Build, RolloutSettings } from '@millring/rollout';
import type { CloudPool } from './cloud.js';
import type { CloudType } from './wire/cloud.js';

export interface ClusterConfig {
  seed: number;
  saveMoney?: boolean;
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
  /** Workers of large fleets look less often whether a report is due. */
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
