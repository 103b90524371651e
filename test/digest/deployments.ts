/** Deployments for the scenarios of the trace digest. */
import { MANUAL_ROLLOUT, CLUSTER_DUTY_SETTINGS } from '../sim/cloud-invariants.js';
import type { ClusterConfig } from '../sim/cluster-config.js';
import type { CloudType } from '../sim/wire/cloud.js';

export const THREE_ZONES = ['a', 'b', 'c'];

/** The duties are distributed over the controllers. */
export const sharedDuties: Partial<ClusterConfig> = {
  ordinaryUp: 0,
  minimizeCost: true,
  rollout: MANUAL_ROLLOUT,
  duties: CLUSTER_DUTY_SETTINGS,
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

/** Machine types of very different sizes. */
export const heterogeneousMachines: Partial<ClusterConfig> = {
  ordinaryUp: 0,
  teamLimit: 400,
  minimizeCost: true,
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

/** Enough capacity for arrays of thousands of tasks. */
export const largeCapacity: Partial<ClusterConfig> = {
  ordinaryUp: 24,
  capacity: 24,
  teamLimit: 400,
};

/** More than a hundred machines in three zones. */
export const largeFleet: Partial<ClusterConfig> = {
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
