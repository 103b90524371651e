/**
 * Operators' changes of the cluster's feature level. They need no leader and are conditional writes like all other
 * changes of the level.
 */
import { type LevelEvent, type UnstampedEvent, advance } from './cluster-level.js';
import { obstacleToRaise } from './decide.js';
import { type FeatureRegistry, canRead } from './levels.js';
import { type ClusterLevel, LEVEL_KEY, ROLLOUT_PREFIX, parseClusterLevel } from './records.js';
import type { RolloutSettings } from './settings.js';
import type { Precondition, StateAccess } from '@millring/state-access';
import {
  type ClusterView,
  announcementPreconditions,
  incapableReason,
  readView,
  startsOf,
  buildsOf,
} from './view.js';

/** Dependencies of an operator's command. */
export interface OperatorDependencies {
  store: StateAccess;
  /** Names of all configured controllers. */
  controllers: readonly string[];
  registry: FeatureRegistry;
  settings: RolloutSettings;
  /** Name stored in the record as the originator of the change. Differs between runs of the command. */
  by: string;
  /** Time of day in milliseconds. */
  wallMs(): number;
}

/**
 * The result of a change; part of the commands' JSON output.
 *
 * - `done`: the change is stored, and the leader continues it.
 * - `refused`: nothing was changed.
 * - `unreachable`: the state service was unreachable, did not respond or did not accept the request. Without a
 *   response, whether the change is stored is unknown.
 */
export type OperatorResult =
  | { kind: 'done'; level: ClusterLevel }
  | { kind: 'refused'; reason: string }
  | { kind: 'unreachable' };

/** The status of the rollout. `obstacle`: the reason why the level can't be raised now, or null if it can. */
export type StatusResult =
  | { kind: 'status'; view: ClusterView; obstacle: string | null }
  | Exclude<OperatorResult, { kind: 'done' }>;

/** An operator's request: the event and whether it requires unchanged announcements, or why it is refused. */
type ChangeRequest =
  | { kind: 'event'; event: LevelEvent; requiresUnchangedAnnouncements: boolean }
  | { kind: 'refused'; reason: string };

/**
 * The operators' commands on the feature level. Each command reads the records again. A change fails if the records it
 * depends on change meanwhile.
 */
export class RolloutOperator {
  constructor(private readonly deps: OperatorDependencies) {}

  /** Reads all records of the rollout from scratch. */
  async status(): Promise<StatusResult> {
    const { registry, settings } = this.deps;
    const read = await this.deps.store.scan(ROLLOUT_PREFIX);
    if (!read) return { kind: 'unreachable' };
    const result = readView(read.pairs, this.deps.controllers);
    if (result.kind === 'invalid') return { kind: 'refused', reason: result.reason };
    const { view } = result;
    return { kind: 'status', view, obstacle: obstacleToRaise(view, registry, settings) };
  }

  /** Proposes to raise the level by one; the leader continues the raise. */
  activate(): Promise<OperatorResult> {
    return this.change((view, obstacle) => {
      if (obstacle !== null) return { kind: 'refused', reason: obstacle };
      return this.event({ type: 'propose', startedWith: startsOf(view) }, true);
    });
  }

  /** Aborts a raise of the level that is in progress and not yet active. */
  abort(): Promise<OperatorResult> {
    return this.change((view) =>
      this.event(
        { type: 'abort', reason: 'aborted by an operator', builds: buildsOf(view) },
        false,
      ),
    );
  }

  /** Starts to lower the level by one. */
  downgrade(): Promise<OperatorResult> {
    return this.change((view) => {
      const { active } = view.level;
      const irreversible = this.deps.registry.irreversibleBetween(active - 1, active).at(0);
      if (irreversible)
        return {
          kind: 'refused',
          reason: `records of ${irreversible.name} can't be converted back`,
        };
      const unable = incapableReason(view, active - 1, canRead);
      if (unable !== null) return { kind: 'refused', reason: unable };
      return this.event(
        { type: 'lower', target: active - 1, reason: 'lowered by an operator' },
        false,
      );
    });
  }

  private event(event: UnstampedEvent, requiresUnchangedAnnouncements: boolean): ChangeRequest {
    const atMs = this.deps.wallMs();
    return {
      kind: 'event',
      event: { ...event, by: this.deps.by, atMs },
      requiresUnchangedAnnouncements,
    };
  }

  private async change(
    request: (view: ClusterView, obstacle: string | null) => ChangeRequest,
  ): Promise<OperatorResult> {
    const status = await this.status();
    if (status.kind !== 'status') return status;
    const { view } = status;
    const requested = request(view, status.obstacle);
    if (requested.kind === 'refused') return requested;
    const next = advance(view.level, requested.event);
    if (next.kind === 'refused') return next;
    const preconditions = [{ key: LEVEL_KEY, version: view.levelVersion }];
    if (requested.requiresUnchangedAnnouncements)
      preconditions.push(...announcementPreconditions(view));
    return this.write(next.level, preconditions);
  }

  private async write(level: ClusterLevel, preconditions: Precondition[]): Promise<OperatorResult> {
    const result = await this.deps.store.compareAndSwap(preconditions, [
      { put: LEVEL_KEY, value: level },
    ]);
    switch (result.kind) {
      case 'committed':
        return { kind: 'done', level };
      case 'conflict':
        return { kind: 'refused', reason: `it changed meanwhile: ${result.failed.join(', ')}` };
      case 'indeterminate':
        return this.outcomeOf(level);
      case 'invalid':
      case 'rejected':
        return { kind: 'unreachable' };
    }
  }

  /** After a lost response, returns `done` if the change is stored, otherwise `unreachable`. */
  private async outcomeOf(level: ClusterLevel): Promise<OperatorResult> {
    const read = await this.deps.store.get(LEVEL_KEY);
    const stored = read.kind === 'found' ? parseClusterLevel(read.entry.value) : null;
    const isOurs =
      stored?.kind === 'valid' &&
      stored.value.change === level.change &&
      stored.value.changedBy === level.changedBy;
    return isOurs ? { kind: 'done', level } : { kind: 'unreachable' };
  }
}
