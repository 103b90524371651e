/** A simulated cluster whose controllers are replaced by other builds while jobs run. */
import assert from 'node:assert/strict';
import {
  type Build,
  type ClusterLevel,
  type OperatorResult,
  RolloutOperator,
  type RolloutSettings,
} from '@millring/rollout';
import { BUILD, FEATURES } from '../../src/build.js';
import { StateStore } from '../../src/state-store/client.js';
import { Cluster } from './cluster.js';
import type { ClusterConfig } from './cluster-config.js';
import { BATCH } from './jobs.js';
import { clientRuntime } from './client-runtime.js';
import { RolloutInvariants } from './rollout-invariants.js';

/** A build that checks the cluster's feature level, but supports only the base level, 1. */
export const OLD_BUILD: Build = { version: '0.0.9', reads: { from: 1, to: 1 }, writes: 1 };
/** A build that supports levels 1 and 2, but not `BUILD`'s 3, so that the level is raised to 2 and no further. */
export const NEW_BUILD: Build = { ...BUILD, reads: { from: 1, to: 2 }, writes: 2 };
export const NAMES = ['n0', 'n1', 'n2'];

/** Rollout settings, as in the operators' file: the leader raises the feature level automatically. */
export const AUTOMATIC_ROLLOUT: RolloutSettings = {
  mode: 'automatic',
  soak_s: 2,
  stall_s: 15,
  restarts: 3,
  announcement_lease_s: 3,
  ungated_builds_retired: false,
};

const STEP_S = 0.05;
/** Upper bound of the time that a change of the feature level takes while all controllers are up, in seconds. */
export const LEVEL_CHANGE_S = 15;

/** Returns the client that an operator's command uses, apart from the controllers. */
export function createOperator(cluster: Cluster): RolloutOperator {
  const store = new StateStore(clientRuntime(cluster), {
    address: 'state:1',
    nodes: 1,
    rps: 100,
    writeRps: 50,
  });
  return new RolloutOperator({
    store,
    controllers: NAMES,
    registry: FEATURES,
    settings: AUTOMATIC_ROLLOUT,
    by: `operator-${cluster.clock.time}`,
    wallMs: () => 1e12 + cluster.clock.time,
  });
}

/** Replaces the builds of a cluster's controllers, and observes how its feature level changes. */
export class RollingUpgrade {
  readonly cluster: Cluster;
  readonly invariants: RolloutInvariants;

  constructor(seed: number, build: Build, config: Partial<ClusterConfig> = {}) {
    const builds = Object.fromEntries(NAMES.map((name) => [name, build]));
    this.cluster = new Cluster({
      seed,
      ordinaryUp: 8,
      rollout: AUTOMATIC_ROLLOUT,
      builds,
      ...config,
    });
    this.invariants = new RolloutInvariants(this.cluster);
  }

  /** The stored feature level of the cluster, or the initial level if none is stored. */
  get level(): Pick<ClusterLevel, 'state' | 'active' | 'reason' | 'held'> {
    return this.invariants.level ?? { state: 'stable', active: 1, reason: null, held: null };
  }

  replace(name: string, build: Build, downMs = 500): void {
    this.cluster.builds.set(name, build);
    this.cluster.crash(name, downMs);
  }

  async until(description: string, condition: () => boolean, withinS = 40): Promise<void> {
    for (let waited = 0; waited < withinS; waited += STEP_S) {
      if (condition()) return;
      await this.cluster.run(STEP_S);
    }
    assert.fail(
      `condition not met within ${withinS} s: ${description}; ${JSON.stringify(this.level)}`,
    );
  }

  /** Waits until the feature level has this state and active level. */
  reaches(state: ClusterLevel['state'], active: number): Promise<void> {
    return this.until(
      `${state} ${active}`,
      () => this.level.state === state && this.level.active === active,
    );
  }

  /** Asserts that the active level does not change for `seconds`. */
  async assertStaysAt(active: number, seconds: number): Promise<void> {
    for (let waited = 0; waited < seconds; waited += 1) {
      await this.cluster.run(1);
      assert.equal(this.level.active, active);
    }
  }

  leader(): string {
    return this.cluster.leader() ?? assert.fail('no controller leads');
  }

  follower(): string {
    return NAMES.find((name) => name !== this.cluster.leader()) ?? assert.fail('no follower');
  }

  async runOperatorCommand(action: 'activate' | 'abort' | 'downgrade'): Promise<OperatorResult> {
    const { cluster } = this;
    const operator = createOperator(cluster);
    let result: OperatorResult | null = null;
    void operator[action]().then((r) => (result = r));
    await this.until('the command has ended', () => result !== null);
    return result ?? assert.fail();
  }

  /** Submits an array so large that its finished tasks are stored in segments under the new level. Returns its id. */
  submitLargeArray(durationS = 0.5): string {
    const job = this.cluster.users.newJob({ ...BATCH, tasks: 2400, durationS, team: 't0' });
    void this.cluster.users.run(job, null);
    return job.id;
  }

  /** Waits until all arrays are done, and asserts that no invariant was violated. */
  async finish(): Promise<void> {
    const { invariants } = this.cluster;
    const open = (): boolean =>
      [...invariants.jobs.values()].some(
        (job) => job.spec.kind !== 'service' && job.reportedDoneAt === null,
      );
    await this.until('all arrays are done', () => !open(), 120);
    assert.deepEqual(invariants.violations, []);
  }
}

/** A cluster with enough capacity for arrays of thousands of tasks. */
export const LARGE_CLUSTER: Partial<ClusterConfig> = {
  ordinaryUp: 24,
  capacity: 24,
  teamLimit: 400,
};

/** Submits `count` arrays. */
export function submitArrays(upgrade: RollingUpgrade, count = 4): void {
  for (let i = 0; i < count; i++)
    void upgrade.cluster.users.run(upgrade.cluster.users.newJob({ ...BATCH, tasks: 6 }), null);
}
