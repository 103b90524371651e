/** Whether a controller node should be sent users' requests. */
import type { MachineTypeCatalogue } from './machine-type-catalogue.js';
import type { ControllerRollout } from './rollout/controller-rollout.js';
import type { Clock } from './runtime.js';
import type { StateStore } from './state-store/client.js';

/** Unavailable for so long while it serves others: not a passing fault. */
const UNAVAILABLE_LOCALLY_MS = 1500;
const PEER_STATUS_MAX_AGE_MS = 1500;

/** The answer to a health check. */
export type Health = { kind: 'healthy' } | { kind: 'unhealthy'; reason: string };

const HEALTHY: Health = { kind: 'healthy' };

/** What the health of a node depends on. */
export interface HealthCheckDependencies {
  clock: Clock;
  store: Pick<StateStore, 'unavailableForMs'>;
  rollout: Pick<ControllerRollout, 'mayServe' | 'reason'>;
  machineTypes: Pick<MachineTypeCatalogue, 'types'>;
  /** Does the deployment have further controllers? */
  hasPeers: boolean;
}

/**
 * A node that the state service alone does not serve can only refuse: users are better off elsewhere. In an
 * outage for all there is no elsewhere, and nodes that stay healthy serve again at once when it ends.
 */
export class HealthCheck {
  /** Whether the state service serves the other nodes, as they last reported. */
  private readonly peerStatus = new Map<string, { isServed: boolean; receivedAt: number }>();

  constructor(private readonly deps: HealthCheckDependencies) {}

  /** Another node reports whether the state service serves it. */
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
