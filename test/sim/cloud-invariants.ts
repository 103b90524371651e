/** Invariants of the requests to the cloud while duties are enabled, for a complete simulated cluster. */
import { INTENTS_PREFIX, type Intent } from '@millring/duties';
import type { Body } from '../../src/wire/cbor.js';
import type { Cluster } from './cluster.js';
import { decodeCloudRequest } from './wire/cloud.js';

/** The level of the feature that lets duties act by stored intents; see `FEATURES` in `src/build.ts`. */
const FEATURE_LEVEL = 3;
/** Rollout settings, as in the operators' file: only operators change the feature level. */
export const MANUAL_ROLLOUT = {
  mode: 'manual',
  announcement_lease_s: 3,
  stall_s: 15,
  ungated_builds_retired: true,
} as const;
/** Duty settings of a complete cluster, as in the operators' file. */
export const CLUSTER_DUTY_SETTINGS = {
  mode: 'on',
  lease_s: 2,
  settle_s: 4,
  rebalance_s: 15,
  retention_s: 10,
} as const;

/** Stores the raised feature level. To be called before the cluster runs. */
export function putFeatureLevel(cluster: Cluster): void {
  cluster.state.putDirectly('rollout/level', {
    state: 'stable',
    active: FEATURE_LEVEL,
    target: null,
    change: 8,
    changedBy: 'n0',
    sinceMs: 0,
    reason: null,
    startedWith: {},
    held: null,
  });
}

/** Checks each request to the cloud when the cloud executes it, and each change of the stored intents. */
export class CloudInvariants {
  /** All intents stored so far, by id, with their latest content. */
  readonly intents = new Map<string, Intent>();
  /** Number of deletion requests that the cloud received. */
  deletions = 0;
  /** Number of rental requests that the cloud received. */
  rentals = 0;
  private revisionSeen = 0;

  constructor(private readonly cluster: Cluster) {
    const host = cluster.network.hosts.get('cloud:1')!;
    const inner = host.handler!;
    host.handler = (method, path, body, from) => {
      this.checkRequest(path, body);
      return inner(method, path, body, from);
    };
    cluster.checks.push(() => {
      this.readIntents();
    });
  }

  private readIntents(): void {
    const { state } = this.cluster;
    if (state.revision === this.revisionSeen) return;
    this.revisionSeen = state.revision;
    for (const [key, { value }] of state.items)
      if (key.startsWith(INTENTS_PREFIX))
        this.intents.set(key.slice(INTENTS_PREFIX.length), value as Intent);
    this.checkOpenIntents();
  }

  /** Checks that no two open intents delete the same machine or rent from the same pool, whichever node leads. */
  private checkOpenIntents(): void {
    const seen = new Set<string>();
    for (const [key, { value }] of this.cluster.state.items) {
      const intent = key.startsWith(INTENTS_PREFIX) ? (value as Intent) : null;
      if (intent?.outcome !== null) continue;
      for (const subject of subjectsOf(intent)) {
        if (seen.has(subject)) this.cluster.invariants.recordViolation('opened_twice', subject);
        seen.add(subject);
      }
    }
  }

  private checkRequest(path: string, body: Body): void {
    this.readIntents();
    const request = decodeCloudRequest(path, body);
    if (request.kind === 'delete') this.checkDeletion(request.machines);
    if (request.kind === 'rent') this.checkRental(request.request);
  }

  private checkRental(request: string): void {
    this.rentals++;
    if (this.intents.get(request)?.action.kind !== 'rent')
      this.cluster.invariants.recordViolation('rented_without_intent', request);
  }

  private checkDeletion(machines: string[]): void {
    this.deletions++;
    const { invariants, cloud } = this.cluster;
    const intents = [...this.intents.values()].filter(
      ({ action }) =>
        action.kind === 'delete' && machines.every((id) => action.machines.includes(id)),
    );
    if (intents.length === 0)
      invariants.recordViolation('deleted_without_intent', machines.join(', '));
    // Machines that are returned because they are not needed have no tasks; only unreachable ones may have had some.
    if (intents.some(({ duty }) => duty === 'reclaim')) return;
    for (const places of invariants.placesByTask.values())
      for (const { machine } of places)
        if (machines.includes(machine) && cloud.machines.has(machine))
          invariants.recordViolation('returned_with_work', machine);
  }
}

/** Returns the machines that the intent deletes, or the pool that it rents from. */
function subjectsOf({ action }: Intent): string[] {
  return action.kind === 'delete'
    ? action.machines
    : [`${action.type} ${action.zone} ${action.spot}`];
}
