/** What operators do to the cluster level, with or without a leader: guarded writes like any other. */
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

export interface OperatorDependencies {
  store: StateAccess;
  controllers: readonly string[];
  registry: FeatureRegistry;
  settings: RolloutSettings;
  /** Who is named in the record as having made the change; differs from run to run. */
  by: string;
  wallMs(): number;
}

export type OperatorResult =
  | { kind: 'done'; level: ClusterLevel }
  | { kind: 'refused'; reason: string }
  /** The state service was not reached, or did not answer: nothing is known of the change. */
  | { kind: 'unreachable' };

export type StatusResult =
  /** `obstacle`: why the level can't be raised now, or null. */
  | { kind: 'status'; view: ClusterView; obstacle: string | null }
  | Exclude<OperatorResult, { kind: 'done' }>;

/** What an operator asks for: the event, whether it rests on all announcements, or why it is refused. */
type Request =
  { kind: 'event'; event: LevelEvent; restsOnAll: boolean } | { kind: 'refused'; reason: string };

export class RolloutOperator {
  constructor(private readonly deps: OperatorDependencies) {}

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

  private event(event: UnstampedEvent, restsOnAll: boolean): Request {
    const atMs = this.deps.wallMs();
    return { kind: 'event', event: { ...event, by: this.deps.by, atMs }, restsOnAll };
  }

  private async change(
    request: (view: ClusterView, obstacle: string | null) => Request,
  ): Promise<OperatorResult> {
    const status = await this.status();
    if (status.kind !== 'status') return status;
    const { view } = status;
    const asked = request(view, status.obstacle);
    if (asked.kind === 'refused') return asked;
    const next = advance(view.level, asked.event);
    if (next.kind === 'refused') return next;
    const guards = [{ key: LEVEL_KEY, version: view.levelVersion }];
    if (asked.restsOnAll) guards.push(...announcementPreconditions(view));
    return this.write(next.level, guards);
  }

  private async write(level: ClusterLevel, guards: Precondition[]): Promise<OperatorResult> {
    const result = await this.deps.store.compareAndSwap(guards, [{ put: LEVEL_KEY, value: level }]);
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

  /** The answer was lost. */
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
