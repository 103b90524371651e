/** What the stored records tell of the cluster: its level, and of each controller whether it has announced itself. */
import { describeBuild, storedBuildText } from './build-text.js';
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
 * What is known of one controller; part of the commands' JSON output.
 *
 * - `announced`: `version` is that of the announcement's record.
 * - `missing`: it may run any build, since nothing can be inferred from silence.
 */
export type ControllerView =
  | { kind: 'announced'; announcement: Announcement; version: number }
  | { kind: 'missing'; reason: string };

/** A record that was ignored, and why. */
interface IgnoredRecord {
  key: string;
  version: number;
  reason: string;
}

/** The cluster as the stored records show it. */
export interface ClusterView {
  level: ClusterLevel;
  /** Of the level's record; 0: no level is stored yet. */
  levelVersion: number;
  /** All that the settings name, by controller. */
  controllers: Map<string, ControllerView>;
  ignored: IgnoredRecord[];
}

/** `invalid`: the stored level can't be read, so nothing may be decided. */
export type ViewResult = { kind: 'valid'; view: ClusterView } | { kind: 'invalid'; reason: string };

/**
 * Reads the stored records.
 *
 * @param controllers All that the settings name.
 * @param processes The process of each controller that was heard, as it told last: a process that has just replaced
 *   another may not have stored its announcement yet, or may be a build that never does.
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
  const views = controllers.map((controller) => {
    const announcement = byKey.get(announcementKey(controller));
    const view = readController(controller, announcement, byKey.get(incarnationKey(controller)));
    if (announcement && view.kind === 'missing')
      ignored.push({ key: announcement.key, version: announcement.version, reason: view.reason });
    return [controller, checkProcess(view, processes.get(controller))] as const;
  });
  return {
    kind: 'valid',
    view: {
      level: level.value,
      levelVersion: levelPair?.version ?? 0,
      controllers: new Map(views),
      ignored,
    },
  };
}

function readController(
  controller: string,
  announcement: KeyValue | undefined,
  incarnation: KeyValue | undefined,
): ControllerView {
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

function checkProcess(view: ControllerView, reportedProcess: string | undefined): ControllerView {
  if (
    view.kind === 'missing' ||
    reportedProcess === undefined ||
    reportedProcess === view.announcement.process
  )
    return view;
  return {
    kind: 'missing',
    reason: 'it runs as another process than the one that announced itself',
  };
}

/** The first reason why the level can't be raised to `target` with these controllers, or null. */
export function obstacleToRaise(view: ClusterView, target: number): string | null {
  return findMissing(view) ?? findIncapable(view, target, canRaiseTo);
}

/** The first controller that has not announced itself, in words; null if all have. */
function findMissing(view: ClusterView): string | null {
  for (const [controller, state] of view.controllers)
    if (state.kind === 'missing') return `${controller} ${state.reason}`;
  return null;
}

/** The first controller that is known to run a build which is not capable of `target`, in words; null if none is. */
export function findIncapable(
  view: ClusterView,
  target: number,
  isCapable: typeof canRaiseTo | typeof canRead,
): string | null {
  for (const [controller, state] of view.controllers)
    if (state.kind === 'announced' && !isCapable(state.announcement.build, target))
      return `${controller} runs ${describeBuild(state.announcement.build)}`;
  return null;
}

/** The first controller that has not confirmed the latest change, in words; null if all have. */
export function findUnacknowledged(view: ClusterView): string | null {
  const isBehind = (state: ControllerView): boolean =>
    state.kind === 'announced' && state.announcement.acknowledged !== view.level.change;
  const behind = [...view.controllers].find(([, state]) => isBehind(state));
  return findMissing(view) ?? (behind ? `${behind[0]} has not confirmed yet` : null);
}

/** The builds of the controllers that have announced themselves, in their stored form. */
export function buildsOf(view: ClusterView): Builds {
  const builds: Builds = {};
  for (const [controller, state] of view.controllers)
    if (state.kind === 'announced') builds[controller] = storedBuildText(state.announcement.build);
  return builds;
}

/** Whether any controller announces another build than in `before`; one that is missing has not changed. */
export function buildsDiffer(before: Builds, view: ClusterView): boolean {
  return Object.entries(buildsOf(view)).some(([controller, build]) => before[controller] !== build);
}

/** For a change that rests on every announcement: it fails once any of them has changed. */
export function announcementPreconditions(view: ClusterView): Precondition[] {
  return [...view.controllers].map(([controller, state]) => ({
    key: announcementKey(controller),
    version: state.kind === 'announced' ? state.version : 0,
  }));
}

/** The processes that a change of level begins with. */
export function startedWith(view: ClusterView): StartedWith {
  const started: StartedWith = {};
  for (const [controller, state] of view.controllers)
    if (state.kind === 'announced')
      started[controller] = {
        incarnation: state.announcement.incarnation,
        build: storedBuildText(state.announcement.build),
      };
  return started;
}
