/** The cluster as the stored records show it: its feature level, and which controllers have announced themselves. */
import { buildPhrase, storedBuildText } from './build-text.js';
import { canRaiseTo, type canRead } from './levels.js';
import {
  type Announcement,
  type Builds,
  type ClusterLevel,
  INITIAL_LEVEL,
  LEVEL_KEY,
  type StartedWith,
  announcementKey,
  incarnationKey,
  parseAnnouncement,
  parseClusterLevel,
  parseIncarnation,
} from './records.js';
import type { Precondition, KeyValue } from '@millring/state-access';

/**
 * What is known about one controller; part of the commands' JSON output.
 *
 * - `announced`: the controller has a valid announcement. `version` is the version of its record.
 * - `missing`: the controller may run any build, since nothing can be inferred from a missing announcement.
 */
export type ControllerStatus =
  | { kind: 'announced'; announcement: Announcement; version: number }
  | { kind: 'missing'; reason: string };

/** A record that was ignored, with the reason. */
interface IgnoredRecord {
  key: string;
  version: number;
  reason: string;
}

/** The cluster as the stored records show it. */
export interface ClusterView {
  level: ClusterLevel;
  /** Version of the level's record; 0 if no level is stored yet. */
  levelVersion: number;
  /** All configured controllers by name. */
  controllers: Map<string, ControllerStatus>;
  ignored: IgnoredRecord[];
}

/** The view, or `invalid` if the stored level can't be read. Nothing may then be decided. */
export type ViewResult = { kind: 'valid'; view: ClusterView } | { kind: 'invalid'; reason: string };

/**
 * Builds the view from the stored records.
 *
 * @param controllers Names of all configured controllers.
 * @param processes Process id that each controller last reported of itself, if it has reported one. A process that has
 *   just replaced another may not have stored its announcement yet, or may run a build that never stores one.
 */
export function readView(
  pairs: readonly KeyValue[],
  controllers: readonly string[],
  processes: ReadonlyMap<string, string> = new Map(),
): ViewResult {
  const byKey = new Map(pairs.map((pair) => [pair.key, pair]));
  const levelPair = byKey.get(LEVEL_KEY);
  const level = levelPair
    ? parseClusterLevel(levelPair.value)
    : { kind: 'valid' as const, value: INITIAL_LEVEL };
  if (level.kind === 'invalid') return { kind: 'invalid', reason: `${LEVEL_KEY}: ${level.reason}` };
  const ignored: IgnoredRecord[] = [];
  const statuses = controllers.map((controller) => {
    const announcement = byKey.get(announcementKey(controller));
    const status = readController(controller, announcement, byKey.get(incarnationKey(controller)));
    if (announcement && status.kind === 'missing')
      ignored.push({ key: announcement.key, version: announcement.version, reason: status.reason });
    return [controller, applyReportedProcess(status, processes.get(controller))] as const;
  });
  return {
    kind: 'valid',
    view: {
      level: level.value,
      levelVersion: levelPair?.version ?? 0,
      controllers: new Map(statuses),
      ignored,
    },
  };
}

function readController(
  controller: string,
  announcement: KeyValue | undefined,
  incarnation: KeyValue | undefined,
): ControllerStatus {
  if (!announcement) return { kind: 'missing', reason: 'has not announced itself' };
  const read = parseAnnouncement(announcement.value);
  if (read.kind === 'invalid')
    return { kind: 'missing', reason: `its announcement is malformed (${read.reason})` };
  if (read.value.controller !== controller)
    return { kind: 'missing', reason: `its announcement names ${read.value.controller}` };
  const currentIncarnation = incarnation ? parseIncarnation(incarnation.value) : null;
  if (currentIncarnation?.kind !== 'valid')
    return { kind: 'missing', reason: 'its incarnation is not stored' };
  if (
    currentIncarnation.value.incarnation !== read.value.incarnation ||
    currentIncarnation.value.process !== read.value.process
  )
    return { kind: 'missing', reason: 'its announcement is from an earlier incarnation' };
  return { kind: 'announced', announcement: read.value, version: announcement.version };
}

/** Returns `missing` if the controller last reported another process id than it announced, otherwise `status`. */
function applyReportedProcess(
  status: ControllerStatus,
  reportedProcess: string | undefined,
): ControllerStatus {
  if (
    status.kind === 'missing' ||
    reportedProcess === undefined ||
    reportedProcess === status.announcement.process
  )
    return status;
  return {
    kind: 'missing',
    reason: 'it runs as another process than the one that announced itself',
  };
}

/**
 * Returns the first reason why the controllers' announcements don't allow a raise of the level to `target`, or null if
 * they do.
 */
export function announcementObstacle(view: ClusterView, target: number): string | null {
  return missingReason(view) ?? incapableReason(view, target, canRaiseTo);
}

/** Returns a text that names the first controller that has not announced itself; null if all have. */
function missingReason(view: ClusterView): string | null {
  for (const [controller, state] of view.controllers)
    if (state.kind === 'missing') return `${controller} ${state.reason}`;
  return null;
}

/** Returns a text that names the first controller known to run a build that is not capable of `target`, or null. */
export function incapableReason(
  view: ClusterView,
  target: number,
  isCapable: typeof canRaiseTo | typeof canRead,
): string | null {
  for (const [controller, state] of view.controllers)
    if (state.kind === 'announced' && !isCapable(state.announcement.build, target))
      return `${controller} runs ${buildPhrase(state.announcement.build)}`;
  return null;
}

/**
 * Returns a text that names the first controller that is missing or has not acknowledged the latest change; null if
 * there is none.
 */
export function unacknowledgedReason(view: ClusterView): string | null {
  const isBehind = (state: ControllerStatus): boolean =>
    state.kind === 'announced' && state.announcement.acknowledged !== view.level.change;
  const behind = [...view.controllers].find(([, state]) => isBehind(state));
  return missingReason(view) ?? (behind ? `${behind[0]} has not confirmed yet` : null);
}

/** Returns the builds of the controllers that have announced themselves, in their stored form. */
export function buildsOf(view: ClusterView): Builds {
  const builds: Builds = {};
  for (const [controller, state] of view.controllers)
    if (state.kind === 'announced') builds[controller] = storedBuildText(state.announcement.build);
  return builds;
}

/** Whether any controller announces a build that differs from `before`. A missing controller has not changed. */
export function buildsDiffer(before: Builds, view: ClusterView): boolean {
  return Object.entries(buildsOf(view)).some(([controller, build]) => before[controller] !== build);
}

/** Returns preconditions for a change that depends on every announcement. They fail once any of them has changed. */
export function announcementPreconditions(view: ClusterView): Precondition[] {
  return [...view.controllers].map(([controller, state]) => ({
    key: announcementKey(controller),
    version: state.kind === 'announced' ? state.version : 0,
  }));
}

/** Returns the incarnation and build of each announced controller, with which a change of the level is started. */
export function startsOf(view: ClusterView): StartedWith {
  const started: StartedWith = {};
  for (const [controller, state] of view.controllers)
    if (state.kind === 'announced')
      started[controller] = {
        incarnation: state.announcement.incarnation,
        build: storedBuildText(state.announcement.build),
      };
  return started;
}
