/** The rollout's records in the state service, and the schemas that each is checked by where it is read. */
import { type Parsed, parseRecord } from '@millring/state-access';
import * as z from 'zod/mini';
import { BASE_LEVEL } from './levels.js';

/** Of all keys. */
export const ROLLOUT_PREFIX = 'rollout/';
/** The one stored cluster level, attached to no lease. */
export const LEVEL_KEY = `${ROLLOUT_PREFIX}level`;
const ANNOUNCEMENTS = `${ROLLOUT_PREFIX}controllers/`;
const INCARNATIONS = `${ROLLOUT_PREFIX}incarnations/`;

/** Attached to the lease of the process that wrote it. */
export const announcementKey = (controller: string): string => ANNOUNCEMENTS + controller;
/** Attached to no lease: it must outlive every process of the controller. */
export const incarnationKey = (controller: string): string => INCARNATIONS + controller;

const MAX_LEVEL = 10_000;
const MAX_NAME_LENGTH = 200;
const level = z.int().check(z.gte(BASE_LEVEL), z.lte(MAX_LEVEL));
const count = z.int().check(z.gte(0));
const name = z.string().check(z.minLength(1), z.maxLength(MAX_NAME_LENGTH));

const build = z
  .object({
    version: name,
    reads: z.object({ from: level, to: level }),
    writes: level,
  })
  .check(
    z.refine(({ reads, writes }) => reads.from <= writes && writes <= reads.to, {
      error: 'writes must lie within reads',
    }),
  );

const announcementSchema = z.object({
  controller: name,
  incarnation: z.int().check(z.gte(1)),
  process: name,
  build,
  acknowledged: count,
});

const incarnationSchema = z.object({ incarnation: z.int().check(z.gte(1)), process: name });

/** By controller, the build that it announced, as a text. */
const buildsSchema = z.record(z.string(), z.string());

const heldSchema = z.object({ target: level, builds: buildsSchema, reason: z.string() });

const startSchema = z.record(z.string(), z.object({ incarnation: count, build: z.string() }));

const levelSchema = z
  .object({
    state: z.enum(['stable', 'preparing', 'activating', 'aborting', 'lowering']),
    active: level,
    target: z.nullable(level),
    change: count,
    changedBy: z.string(),
    sinceMs: z.number(),
    reason: z.nullable(z.string()),
    startedWith: startSchema,
    held: z.nullable(heldSchema),
  })
  .check(
    z.refine(({ state, active, target }) => hasFittingTarget(state, active, target), {
      error: 'target does not fit state',
    }),
  );

/** A controller process tells what it is and which change of the cluster level it has taken over. */
export type Announcement = z.infer<typeof announcementSchema>;

/** Counts the processes of a controller; only the latest one may announce. */
export type Incarnation = z.infer<typeof incarnationSchema>;

/**
 * The one stored cluster level.
 *
 * - `stable`: `active` is in force, nothing is under way.
 * - `preparing`: every controller is asked to confirm that it can read and write `target`.
 * - `activating`: all have; every controller is asked to confirm that it expects `target` at any moment. Nothing
 *   is written in its forms yet.
 * - `aborting`: `target` is given up, `active` stays.
 * - `lowering`: nothing is written any more above `target`, and what stands there is converted back.
 */
export type ClusterLevel = z.infer<typeof levelSchema>;

/** Why a target isn't proposed again by itself: until told, or until the set of builds changes. */
export type HeldTarget = z.infer<typeof heldSchema>;

/** By controller, the build that it announced, as a text. */
export type Builds = z.infer<typeof buildsSchema>;

/** The processes that a change of level was begun with. */
export type StartedWith = z.infer<typeof startSchema>;

function hasFittingTarget(state: string, active: number, target: number | null): boolean {
  if (state === 'stable') return target === null;
  if (target === null) return false;
  return state === 'lowering' ? target < active : target === active + 1;
}

/** Before any change was stored. */
export const INITIAL_LEVEL: ClusterLevel = {
  state: 'stable',
  active: BASE_LEVEL,
  target: null,
  change: 0,
  changedBy: '',
  sinceMs: 0,
  reason: null,
  startedWith: {},
  held: null,
};

/** Checks a stored value. */
export const parseAnnouncement = (value: unknown): Parsed<Announcement> =>
  parseRecord(announcementSchema, value);
/** Checks a stored value. */
export const parseIncarnation = (value: unknown): Parsed<Incarnation> =>
  parseRecord(incarnationSchema, value);
/** Checks a stored value. */
export const parseClusterLevel = (value: unknown): Parsed<ClusterLevel> =>
  parseRecord(levelSchema, value);
