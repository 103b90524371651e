/** Invariants of the cluster's feature level after each step, under any fault, checked from outside the controllers. */
import type { ClusterLevel } from '@millring/rollout';
import { BUILD, COMPACT_FINISHED_TASKS } from '../../src/build.js';
import type { Cluster } from './cluster.js';
import type { StateService } from './state-service.js';

const LEVEL_KEY = 'rollout/level';
const FIRST_SEGMENT = 1000;

const NEXT_STATES: Record<ClusterLevel['state'], ClusterLevel['state'][]> = {
  stable: ['preparing', 'lowering', 'stable'],
  preparing: ['activating', 'aborting'],
  activating: ['stable', 'aborting'],
  aborting: ['stable'],
  lowering: ['stable'],
};

/** Returns the keys of the stored segments of finished tasks. */
export function segmentsIn(state: StateService): string[] {
  return [...state.items.keys()].filter(
    (key) => key.startsWith('d/') && Number(key.slice(key.lastIndexOf('/') + 1)) >= FIRST_SEGMENT,
  );
}

/** Checks the stored feature level and each controller after each step of the cluster. */
export class RolloutInvariants {
  /** All levels that were ever stored, in order. */
  readonly history: ClusterLevel[] = [];
  private seenVersion = 0;

  constructor(private readonly cluster: Cluster) {
    cluster.checks.push(() => {
      this.check();
    });
  }

  get level(): ClusterLevel | undefined {
    return this.history.at(-1);
  }

  segments(): string[] {
    return segmentsIn(this.cluster.state);
  }

  private check(): void {
    const item = this.cluster.state.items.get(LEVEL_KEY);
    if (item && item.version !== this.seenVersion) {
      this.seenVersion = item.version;
      this.recordLevel(item.value as ClusterLevel);
    }
    this.checkAnnouncements();
    this.checkModes();
  }

  /** A delayed write of an earlier process never replaces the announcement of a later process. */
  private checkAnnouncements(): void {
    const { state, invariants, nodeNames } = this.cluster;
    for (const name of nodeNames) {
      const announcement = state.value(`rollout/controllers/${name}`) as
        { incarnation?: number } | undefined;
      const current = state.value(`rollout/incarnations/${name}`) as
        { incarnation: number } | undefined;
      if (
        announcement?.incarnation !== undefined &&
        announcement.incarnation !== current?.incarnation
      )
        invariants.recordViolation('rollout_incarnation', name);
    }
  }

  private recordLevel(next: ClusterLevel): void {
    const last = this.level;
    this.history.push(next);
    const { invariants } = this.cluster;
    if (last && next.change !== last.change + 1)
      invariants.recordViolation('rollout_history', `${last.change} -> ${next.change}`);
    if (last && !NEXT_STATES[last.state].includes(next.state))
      invariants.recordViolation('rollout_history', `${last.state} -> ${next.state}`);
    if (last && next.active > last.active) this.checkAllSupport(next.active);
    if (next.active === 1 && next.state === 'stable' && this.segments().length > 0)
      invariants.recordViolation('rollout_lowered', this.segments()[0]);
  }

  /** Every controller that is up when the level is raised runs a build that can read the new level. */
  private checkAllSupport(active: number): void {
    const { cluster } = this;
    for (const name of cluster.nodeNames)
      if (cluster.isUp(name) && this.buildOf(name).reads.to < active)
        cluster.invariants.recordViolation('rollout_left_behind', name);
  }

  private buildOf(name: string): typeof BUILD {
    return this.cluster.runningBuilds.get(name) ?? BUILD;
  }

  /** Every serving controller can read the active level, and no two of them are two steps apart (`on` and `off`). */
  private checkModes(): void {
    const { cluster } = this;
    const modes = new Set<string>();
    for (const name of cluster.nodeNames) {
      const { rollout } = cluster.node(name);
      if (!cluster.isUp(name) || cluster.runsUngated(name) || !rollout.mayServe()) continue;
      modes.add(rollout.mode(COMPACT_FINISHED_TASKS));
      const active = this.level?.active ?? 1;
      if (this.buildOf(name).reads.to < active)
        cluster.invariants.recordViolation('rollout_served', `${name} at ${active}`);
    }
    if (modes.has('on') && modes.has('off'))
      cluster.invariants.recordViolation('rollout_modes', [...modes].join(', '));
  }
}
