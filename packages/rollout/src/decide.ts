/** What the leader should do next about the cluster level: a pure function of what is known. */
import type { LevelEvent, UnstampedEvent } from './cluster-level.js';
import { type FeatureRegistry, canRaiseTo, canRead } from './levels.js';
import type { RolloutSettings } from './settings.js';
import {
  type ClusterView,
  buildsDiffer,
  buildsOf,
  findIncapable,
  obstacleToRaise,
  startedWith,
  findUnacknowledged,
} from './view.js';

/** How far records above the target have been converted back. */
export type Conversion =
  { kind: 'running'; remaining: number } | { kind: 'done' } | { kind: 'refused'; reason: string };

export interface DecisionInput {
  view: ClusterView;
  registry: FeatureRegistry;
  settings: RolloutSettings;
  /** The controller that decides. */
  by: string;
  wallMs: number;
  /** For how long the present processes have all been able to raise the level. */
  ableForMs: number;
  conversion: Conversion;
}

export type Decision =
  | { kind: 'wait'; reason: string }
  /** `restsOnAll`: void if any announcement has changed meanwhile. */
  | { kind: 'advance'; event: LevelEvent; restsOnAll: boolean };

export function decide(situation: DecisionInput): Decision {
  switch (situation.view.level.state) {
    case 'stable':
      return decideStable(situation);
    case 'preparing':
    case 'activating':
      return decideRaising(situation);
    case 'aborting':
      return decideAborting(situation);
    case 'lowering':
      return decideLowering(situation);
  }
}

/** Why the level can't be raised by one, whoever asks; null if it can. */
export function obstacleToPropose(
  view: ClusterView,
  registry: FeatureRegistry,
  settings: RolloutSettings,
): string | null {
  const target = view.level.active + 1;
  const unsafe = registry.atLevel(target).find((feature) => feature.withoutGate === 'unsafe');
  if (unsafe && !settings.ungated_builds_retired)
    return `${unsafe.name} would be misread by builds from before levels, and ungated_builds_retired is not set`;
  if (registry.atLevel(target).length === 0) return `no feature comes with level ${target}`;
  return obstacleToRaise(view, target);
}

function decideStable(situation: DecisionInput): Decision {
  const { view, settings, registry } = situation;
  if (settings.mode !== 'automatic') return wait('an operator raises the level');
  const { held } = view.level;
  if (held && buildsDiffer(held.builds, view)) return advanceWith(situation, { type: 'release' }, false);
  const obstacle = obstacleToPropose(view, registry, settings);
  if (obstacle !== null) return wait(obstacle);
  if (held?.target === view.level.active + 1)
    return wait(`level ${held.target} was given up with these builds: ${held.reason}`);
  const leftMs = settings.soak_s * 1000 - situation.ableForMs;
  if (leftMs > 0)
    return wait(`all controllers can raise the level; soaking for ${settings.soak_s} s`);
  return advanceWith(situation, { type: 'propose', startedWith: startedWith(view) }, true);
}

function decideRaising(situation: DecisionInput): Decision {
  const { view } = situation;
  const target = view.level.target ?? view.level.active;
  const waitingFor = findUnacknowledged(view);
  const reason =
    findIncapable(view, target, canRaiseTo) ?? findRestarting(situation) ?? stallReason(situation, waitingFor);
  if (reason !== null)
    return advanceWith(situation, { type: 'abort', reason, builds: buildsOf(view) }, false);
  if (waitingFor !== null) return wait(waitingFor);
  return advanceWith(situation, { type: 'acknowledged' }, true);
}

/** Nothing was written at the target yet, so nobody who is away can hold this up. */
function decideAborting(situation: DecisionInput): Decision {
  const { view } = situation;
  const late = [...view.controllers].find(
    ([, state]) =>
      state.kind === 'announced' && state.announcement.acknowledged !== view.level.change,
  );
  if (late && sinceChangeMs(situation) < situation.settings.stall_s * 1000)
    return wait(`${late[0]} has not confirmed yet`);
  return advanceWith(situation, { type: 'aborted' }, false);
}

function decideLowering(situation: DecisionInput): Decision {
  const { view, conversion } = situation;
  const target = view.level.target ?? view.level.active;
  const waitingFor = findUnacknowledged(view);
  const reason =
    findIncapable(view, target, canRead) ??
    (conversion.kind === 'refused' ? conversion.reason : stallReason(situation, waitingFor));
  if (reason !== null) return advanceWith(situation, { type: 'keep', reason }, false);
  if (waitingFor !== null) return wait(waitingFor);
  if (conversion.kind === 'running')
    return wait(`${conversion.remaining} records are left to convert`);
  return advanceWith(situation, { type: 'converted', builds: buildsOf(view) }, true);
}

function sinceChangeMs({ view, wallMs }: DecisionInput): number {
  return wallMs - view.level.sinceMs;
}

function stallReason(situation: DecisionInput, waitingFor: string | null): string | null {
  const { stall_s } = situation.settings;
  if (waitingFor === null || sinceChangeMs(situation) < stall_s * 1000) return null;
  return `no progress for ${stall_s} s: ${waitingFor}`;
}

function findRestarting({ view, settings }: DecisionInput): string | null {
  for (const [controller, state] of view.controllers) {
    if (state.kind === 'missing') continue;
    if (!Object.hasOwn(view.level.startedWith, controller)) continue;
    const starts = state.announcement.incarnation - view.level.startedWith[controller].incarnation;
    if (starts >= settings.restarts)
      return `${controller} has started ${starts} times since the change began`;
  }
  return null;
}

function advanceWith({ by, wallMs }: DecisionInput, event: UnstampedEvent, restsOnAll: boolean): Decision {
  return { kind: 'advance', event: { ...event, by, atMs: wallMs }, restsOnAll };
}

function wait(reason: string): Decision {
  return { kind: 'wait', reason };
}
