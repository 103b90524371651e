/** What operators do to the cluster level, with or without a leader: conditional writes like any other. */
import { type LevelEvent, type UnstampedEvent, advance } from './cluster-level.js';
import { obstacleToPropose } from './decide.js';
import { type FeatureRegistry, canRead } from './levels.js';
import { type ClusterLevel, LEVEL_KEY, ROLLOUT_PREFIX, parseClusterLevel } from './records.js';
import type { RolloutSettings } from './settings.js';
import type { Precondition, StateAccess } from '@millring/state-access';
import {
  type ClusterView,
  announcementPreconditions,
  findIncapable,
  readView,
  startedWith,
  buildsOf,
} from './view.js';

/** What an operator's command needs. */
export interface OperatorDependencies {
  store: StateAccess;
  /** All controllers that the settings name. */
  controllers: readonly string[];
  registry: FeatureRegistry;
  settings: RolloutSettings;
  /** Who is named in the record as having made the change; differs from run to run. */
  by: string;
  /** Time of day in milliseconds. */
  wallMs(): number;
}

/**
 * What became of a change; part of the commands' JSON output.
 *
 * - `done`: stored; the leader goes on with it.
 * - `refused`: nothing was changed.
 * - `unreachable`: the state service was not reached, or did not answer; nothing is known of the change.
 */
export type OperatorResult =
  | { kind: 'done'; level: ClusterLevel }
  | { kind: 'refused'; reason: string }
  | { kind: 'unreachable' };

/** What was read. `obstacle`: why the level can't be raised now, or null. */
export type StatusResult =
  | { kind: 'status'; view: ClusterView; obstacle: string | null }
  | Exclude<OperatorResult, { kind: 'done' }>;

/** What an operator asks for: the event, whether it rests on all announcements, or why it is refused. */
type ChangeRequest =
  | { kind: 'event'; event: LevelEvent; requiresUnchangedAnnouncements: boolean }
  | { kind: 'refused'; reason: string };

/** Each change reads the records anew, and fails if they change meanwhile. */
export class RolloutOperator {
  constructor(private readonly deps: OperatorDependencies) {}

  /** Reads everything anew. */
  async status(): Promise<StatusResult> {
    const { registry, settings } = this.deps;
    const read = await this.deps.store.scan(ROLLOUT_PREFIX);
    if (!read) return { kind: 'unreachable' };
    const result = readView(read.pairs, this.deps.controllers);
    if (result.kind === 'invalid') return { kind: 'refused', reason: result.reason };
    const { view } = result;
    return { kind: 'status', view, obstacle: obstacleToPropose(view, registry, settings) };
  }

  /** Begins to raise the level by one. */
  activate(): Promise<OperatorResult> {
    return this.change((view, obstacle) => {
      if (obstacle !== null) return { kind: 'refused', reason: obstacle };
      return this.event({ type: 'propose', startedWith: startedWith(view) }, true);
    });
  }

  /** Gives up a change that is under way and not yet active. */
  abort(): Promise<OperatorResult> {
    return this.change((view) =>
      this.event(
        { type: 'abort', reason: 'aborted by an operator', builds: buildsOf(view) },
        false,
      ),
    );
  }

  /** Begins to lower the level by one. */
  downgrade(): Promise<OperatorResult> {
    return this.change((view) => {
      const { active } = view.level;
      const irreversible = this.deps.registry.irreversibleBetween(active - 1, active).at(0);
      if (irreversible)
        return {
          kind: 'refused',
          reason: `records of ${irreversible.name} can't be converted back`,
        };
      const unable = findIncapable(view, active - 1, canRead);
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

  /** After a lost response: whether the change is stored. */
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
