/** The leader's next step for the cluster's feature level, as a pure function of what is known. */
import type { LevelEvent, UnstampedEvent } from './cluster-level.js';
import { type FeatureRegistry, canRaiseTo, canRead } from './levels.js';
import type { RolloutSettings } from './settings.js';
import {
  type ClusterView,
  buildsDiffer,
  buildsOf,
  incapableReason,
  announcementObstacle,
  startsOf,
  unacknowledgedReason,
} from './view.js';

/**
 * How far the records of features above the target level have been converted back. `refused`: the records of a feature
 * can't be converted back, for this reason.
 */
export type Conversion =
  { kind: 'running'; remaining: number } | { kind: 'done' } | { kind: 'refused'; reason: string };

/** Everything that a decision depends on. */
export interface DecisionInput {
  view: ClusterView;
  registry: FeatureRegistry;
  settings: RolloutSettings;
  /** Name of the controller that decides. */
  by: string;
  /** Time of day in milliseconds. */
  wallMs: number;
  /** Time in milliseconds for which the current processes have all been able to raise the level. */
  capableForMs: number;
  conversion: Conversion;
}

/**
 * The next step. With `requiresUnchangedAnnouncements`, the write must fail if any announcement has changed since the
 * records were read.
 */
export type Decision =
  | { kind: 'wait'; reason: string }
  | { kind: 'advance'; event: LevelEvent; requiresUnchangedAnnouncements: boolean };

/** Returns the next step from the level's current state. */
export function decide(input: DecisionInput): Decision {
  switch (input.view.level.state) {
    case 'stable':
      return decideStable(input);
    case 'preparing':
    case 'activating':
      return decideRaising(input);
    case 'aborting':
      return decideAborting(input);
    case 'lowering':
      return decideLowering(input);
  }
}

/**
 * Returns why neither the leader nor an operator can raise the level by one; null if it can be raised. Checks the
 * features of the next level, then the announcements of all controllers.
 */
export function obstacleToRaise(
  view: ClusterView,
  registry: FeatureRegistry,
  settings: RolloutSettings,
): string | null {
  const target = view.level.active + 1;
  const unsafe = registry.atLevel(target).find((feature) => feature.withoutLevels === 'unsafe');
  if (unsafe && !settings.ungated_builds_retired)
    return `${unsafe.name} would be misread by builds from before levels, and ungated_builds_retired is not set`;
  if (registry.atLevel(target).length === 0) return `no feature comes with level ${target}`;
  return announcementObstacle(view, target);
}

function decideStable(input: DecisionInput): Decision {
  const { view, settings, registry } = input;
  if (settings.mode !== 'automatic') return wait('an operator raises the level');
  const { held } = view.level;
  if (held && buildsDiffer(held.builds, view))
    return advanceWith(input, { type: 'release' }, false);
  const obstacle = obstacleToRaise(view, registry, settings);
  if (obstacle !== null) return wait(obstacle);
  if (held?.target === view.level.active + 1)
    return wait(`level ${held.target} was given up with these builds: ${held.reason}`);
  const leftMs = settings.soak_s * 1000 - input.capableForMs;
  if (leftMs > 0)
    return wait(`all controllers can raise the level; soaking for ${settings.soak_s} s`);
  return advanceWith(input, { type: 'propose', startedWith: startsOf(view) }, true);
}

function decideRaising(input: DecisionInput): Decision {
  const { view } = input;
  const target = view.level.target ?? view.level.active;
  const waitingFor = unacknowledgedReason(view);
  const reason =
    incapableReason(view, target, canRaiseTo) ??
    restartReason(input) ??
    stallReason(input, waitingFor);
  if (reason !== null)
    return advanceWith(input, { type: 'abort', reason, builds: buildsOf(view) }, false);
  if (waitingFor !== null) return wait(waitingFor);
  return advanceWith(input, { type: 'acknowledged' }, true);
}

/**
 * Waits for the acknowledgements of announced controllers only, for at most `stall_s`. Nothing has been written at the
 * target level yet, so a missing controller must not delay the end of the abort.
 */
function decideAborting(input: DecisionInput): Decision {
  const { view } = input;
  const unacknowledged = [...view.controllers].find(
    ([, state]) =>
      state.kind === 'announced' && state.announcement.acknowledged !== view.level.change,
  );
  if (unacknowledged && sinceChangeMs(input) < input.settings.stall_s * 1000)
    return wait(`${unacknowledged[0]} has not confirmed yet`);
  return advanceWith(input, { type: 'aborted' }, false);
}

function decideLowering(input: DecisionInput): Decision {
  const { view, conversion } = input;
  const target = view.level.target ?? view.level.active;
  const waitingFor = unacknowledgedReason(view);
  const reason =
    incapableReason(view, target, canRead) ??
    (conversion.kind === 'refused' ? conversion.reason : stallReason(input, waitingFor));
  if (reason !== null) return advanceWith(input, { type: 'keep', reason }, false);
  if (waitingFor !== null) return wait(waitingFor);
  if (conversion.kind === 'running')
    return wait(`${conversion.remaining} records are left to convert`);
  return advanceWith(input, { type: 'converted', builds: buildsOf(view) }, true);
}

function sinceChangeMs({ view, wallMs }: DecisionInput): number {
  return wallMs - view.level.sinceMs;
}

function stallReason(input: DecisionInput, waitingFor: string | null): string | null {
  const { stall_s } = input.settings;
  if (waitingFor === null || sinceChangeMs(input) < stall_s * 1000) return null;
  return `no progress for ${stall_s} s: ${waitingFor}`;
}

/** Returns a text that names the first controller that has restarted too often during the raise; null if none has. */
function restartReason({ view, settings }: DecisionInput): string | null {
  for (const [controller, state] of view.controllers) {
    if (state.kind === 'missing') continue;
    if (!Object.hasOwn(view.level.startedWith, controller)) continue;
    const starts = state.announcement.incarnation - view.level.startedWith[controller].incarnation;
    if (starts >= settings.restarts)
      return `${controller} has started ${starts} times since the change began`;
  }
  return null;
}

function advanceWith(
  { by, wallMs }: DecisionInput,
  event: UnstampedEvent,
  requiresUnchangedAnnouncements: boolean,
): Decision {
  return { kind: 'advance', event: { ...event, by, atMs: wallMs }, requiresUnchangedAnnouncements };
}

function wait(reason: string): Decision {
  return { kind: 'wait', reason };
}
