/** Determines whether users' requests should be sent to a controller node. */
import type { MachineTypeCatalog } from './machine-type-catalog.js';
import type { ControllerRollout } from './rollout/controller-rollout.js';
import type { Clock } from './runtime.js';
import type { StateStore } from './state-store/client.js';

/**
 * If the state service has been unavailable to this node for at least this long while it serves other nodes, the fault
 * is not considered transient.
 */
const UNAVAILABLE_LOCALLY_MS = 1500;
/** Older reports of other nodes are ignored. */
const PEER_STATUS_MAX_AGE_MS = 1500;

/** Result of a health check. */
export type Health = { kind: 'healthy' } | { kind: 'unhealthy'; reason: string };

const HEALTHY: Health = { kind: 'healthy' };

/** Dependencies of the health check. */
export interface HealthCheckDependencies {
  clock: Clock;
  store: Pick<StateStore, 'unavailableForMs'>;
  rollout: Pick<ControllerRollout, 'mayServe' | 'reason'>;
  machineTypes: Pick<MachineTypeCatalog, 'types'>;
  /** Whether the deployment has further controllers. */
  hasPeers: boolean;
}

/**
 * Checks the health of a node. If the state service is unavailable to this node only, the node can only refuse
 * requests, so users should be sent to another one. In an outage that affects all nodes, no other node can serve users
 * either, and nodes that stay healthy serve again as soon as it ends.
 */
export class HealthCheck {
  /** Last report of each other node on whether the state service serves it, with the time of receipt. */
  private readonly peerStatus = new Map<string, { isServed: boolean; receivedAt: number }>();

  constructor(private readonly deps: HealthCheckDependencies) {}

  /** Records another node's report on whether the state service serves it. */
  recordPeerStatus(peer: string, isServed: boolean): void {
    this.peerStatus.set(peer, { isServed, receivedAt: this.deps.clock.now() });
  }

  health(): Health {
    const { rollout, machineTypes } = this.deps;
    if (!rollout.mayServe()) return unhealthy(rollout.reason());
    if (machineTypes.types() === null) return unhealthy('the machine types are not known yet');
    if (this.isUnavailableLocally())
      return unhealthy('the state service does not serve this controller');
    return HEALTHY;
  }

  private isUnavailableLocally(): boolean {
    const { clock, store, hasPeers } = this.deps;
    if (store.unavailableForMs() < UNAVAILABLE_LOCALLY_MS) return false;
    const now = clock.now();
    const recent = [...this.peerStatus.values()].filter(
      (status) => now - status.receivedAt < PEER_STATUS_MAX_AGE_MS,
    );
    return recent.length === 0 ? hasPeers : recent.some((status) => status.isServed);
  }
}

function unhealthy(reason: string): Health {
  return { kind: 'unhealthy', reason };
}
