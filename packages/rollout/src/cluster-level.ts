/** The state machine of the cluster's stored feature level. The level is only changed in `advance`. */
import { BASE_LEVEL, type Feature } from './levels.js';
import type { Builds, ClusterLevel, HeldTarget, StartedWith } from './records.js';

/**
 * An event caused by the controller or operator `by` at `atMs`, the time of day in milliseconds.
 *
 * - `propose`: starts a raise of the level by one, in the state `preparing`.
 * - `acknowledged`: all controllers have acknowledged the latest step of the raise; starts the next step, or ends it.
 * - `abort`: starts to abort the raise, and holds its target.
 * - `aborted`: ends the abort.
 * - `lower`: starts to lower the level.
 * - `converted`: ends the lowering at the target, since all records above it have been converted back.
 * - `keep`: abandons the lowering and keeps the active level.
 * - `release`: ends the hold of a target, which may then be proposed automatically again.
 */
export type LevelEvent = { by: string; atMs: number } & (
  | { type: 'propose'; startedWith: StartedWith }
  | { type: 'acknowledged' }
  | { type: 'abort'; reason: string; builds: Builds }
  | { type: 'aborted' }
  | { type: 'lower'; target: number; reason: string }
  | { type: 'converted'; builds: Builds }
  | { type: 'keep'; reason: string }
  | { type: 'release' }
);

/** An event without its originator and time, which are added when it is applied. */
export type UnstampedEvent = LevelEvent extends infer Event
  ? Event extends LevelEvent
    ? Omit<Event, 'by' | 'atMs'>
    : never
  : never;

/** The changed level, or the reason why the event is not allowed in the level's state. */
export type Advance =
  { kind: 'changed'; level: ClusterLevel } | { kind: 'refused'; reason: string };

/** Returns the level after the event, or the reason why the event is not allowed in the level's state. */
export function advance(level: ClusterLevel, event: LevelEvent): Advance {
  const step = stepFor(level, event);
  if (step.kind === 'refused') return step;
  const { by, atMs } = event;
  const stamp = { change: level.change + 1, changedBy: by, sinceMs: atMs };
  return { kind: 'changed', level: { ...level, reason: null, ...step.fields, ...stamp } };
}

/** The fields that an event changes, or the reason why it is not allowed. */
type Step = { kind: 'fields'; fields: Partial<ClusterLevel> } | { kind: 'refused'; reason: string };

function stepFor(level: ClusterLevel, event: LevelEvent): Step {
  switch (event.type) {
    case 'propose':
      return onPropose(level, event.startedWith);
    case 'acknowledged':
      return onAcknowledged(level);
    case 'abort':
      return onAbort(level, event.reason, event.builds);
    case 'aborted':
      return onAborted(level);
    case 'lower':
      return onLower(level, event.target, event.reason);
    case 'converted':
      return onConverted(level, event.builds);
    case 'keep':
      return onKeep(level, event.reason);
    case 'release':
      return onRelease(level);
  }
}

function onPropose(level: ClusterLevel, startedWith: StartedWith): Step {
  if (level.state !== 'stable') return refusal(changeInProgressReason(level));
  return changedFields({ state: 'preparing', target: level.active + 1, startedWith, held: null });
}

function onAcknowledged({ state, active }: ClusterLevel): Step {
  if (state === 'preparing') return changedFields({ state: 'activating' });
  if (state === 'activating') return changedFields({ ...stableFields(active + 1), held: null });
  return refusal(notRaisingReason(state));
}

function onAbort(level: ClusterLevel, reason: string, announced: Builds): Step {
  const { state, active, startedWith } = level;
  if (state !== 'preparing' && state !== 'activating') return refusal(notRaisingReason(state));
  const held = { target: active + 1, builds: lastKnownBuilds(startedWith, announced), reason };
  return changedFields({ state: 'aborting', reason, held });
}

function onAborted({ state, active, reason }: ClusterLevel): Step {
  if (state !== 'aborting') return refusal(`nothing is being aborted: the level is ${state}`);
  return changedFields({ ...stableFields(active), reason });
}

function onLower(level: ClusterLevel, target: number, reason: string): Step {
  const { state, active } = level;
  if (state !== 'stable') return refusal(changeInProgressReason(level));
  if (target < BASE_LEVEL || target >= active)
    return refusal(`the level is ${active}: it can't be lowered to ${target}`);
  return changedFields({ state: 'lowering', target, reason });
}

function onConverted({ state, target, reason }: ClusterLevel, builds: Builds): Step {
  if (state !== 'lowering' || target === null) return refusal(NOT_LOWERING);
  return changedFields({
    ...stableFields(target),
    reason,
    held: heldAfterLowering(target, builds),
  });
}

function onKeep({ state, active }: ClusterLevel, reason: string): Step {
  if (state !== 'lowering') return refusal(NOT_LOWERING);
  return changedFields({ ...stableFields(active), reason });
}

function onRelease({ state, held }: ClusterLevel): Step {
  if (state !== 'stable' || held === null) return refusal('nothing is held');
  return changedFields({ held: null });
}

const NOT_LOWERING = 'nothing is being lowered';

function notRaisingReason(state: ClusterLevel['state']): string {
  return `nothing is being raised: the level is ${state}`;
}

function changedFields(changed: Partial<ClusterLevel>): Step {
  return { kind: 'fields', fields: changed };
}

function refusal(reason: string): Step {
  return { kind: 'refused', reason };
}

/** Returns the announced builds and, for missing controllers, the builds that the change was started with. */
function lastKnownBuilds(startedWith: StartedWith, announced: Builds): Builds {
  const builds: Builds = {};
  for (const [controller, start] of Object.entries(startedWith)) builds[controller] = start.build;
  return { ...builds, ...announced };
}

function stableFields(
  active: number,
): Pick<ClusterLevel, 'state' | 'active' | 'target' | 'startedWith'> {
  return { state: 'stable', active, target: null, startedWith: {} };
}

function changeInProgressReason(level: ClusterLevel): string {
  return `a change is under way: ${level.state} ${level.active} -> ${level.target ?? level.active}`;
}

/**
 * Returns a hold of the level above the target. Otherwise the automatic mode would immediately raise the level again.
 */
function heldAfterLowering(target: number, builds: Builds): HeldTarget {
  return { target: target + 1, builds, reason: 'lowered by an operator' };
}

/**
 * How a controller that has applied a level uses a feature.
 *
 * - `off`: the controller neither writes the feature's format nor expects it.
 * - `tolerated`: the controller does not write the format, but any other controller may write it at any time.
 * - `on`: the controller writes the format.
 *
 * The modes of two serving controllers never differ by two steps: the next step is taken only after all controllers
 * have acknowledged the previous one.
 */
export type FeatureMode = 'off' | 'tolerated' | 'on';

/** Returns the mode of the feature at this level. Does not take into account what the build can write. */
export function modeOf(feature: Feature, level: ClusterLevel): FeatureMode {
  const { state, active, target } = level;
  if (state === 'lowering' && target !== null && feature.level > target)
    return feature.level <= active ? 'tolerated' : 'off';
  if (feature.level <= active) return 'on';
  return state === 'activating' && feature.level === target ? 'tolerated' : 'off';
}
