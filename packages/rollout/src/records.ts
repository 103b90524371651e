/** The rollout's records in the state service, and the schemas that validate each record when it is read. */
import { type Parsed, parseRecord } from '@millring/state-access';
import * as z from 'zod/mini';
import { BASE_LEVEL } from './levels.js';

/** Prefix of all keys of the rollout. */
export const ROLLOUT_PREFIX = 'rollout/';
/** Key of the single record of the cluster's feature level. The record is attached to no lease. */
export const LEVEL_KEY = `${ROLLOUT_PREFIX}level`;
const ANNOUNCEMENTS = `${ROLLOUT_PREFIX}controllers/`;
const INCARNATIONS = `${ROLLOUT_PREFIX}incarnations/`;

/** Returns the key of the announcement, which is attached to a lease of the process that wrote it. */
export const announcementKey = (controller: string): string => ANNOUNCEMENTS + controller;
/** Returns the key of the incarnation, which has no lease since it must outlive every process of the controller. */
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
  /** Number of the level change that the process last applied, see `change` of the level; 0 before the first one. */
  acknowledged: count,
});

const incarnationSchema = z.object({ incarnation: z.int().check(z.gte(1)), process: name });

/** The announced build of each controller, as text. */
const buildsSchema = z.record(z.string(), z.string());

const heldSchema = z.object({ target: level, builds: buildsSchema, reason: z.string() });

const startSchema = z.record(z.string(), z.object({ incarnation: count, build: z.string() }));

const levelSchema = z
  .object({
    state: z.enum(['stable', 'preparing', 'activating', 'aborting', 'lowering']),
    /** The level in force. */
    active: level,
    /** The level that the change in progress leads to, or led to before it was aborted; null while `stable`. */
    target: z.nullable(level),
    /** Number of the latest change of this record. Controllers acknowledge a change by this number. */
    change: count,
    /** The controller or operator that made the latest change. */
    changedBy: z.string(),
    /** Time of day in milliseconds when the latest change was made. */
    sinceMs: z.number(),
    /** Why a raise was aborted, a lowering was started or a lowering was abandoned; null after any other change. */
    reason: z.nullable(z.string()),
    /** The controllers when the raise in progress was started; empty if there is none. */
    startedWith: startSchema,
    held: z.nullable(heldSchema),
  })
  .check(
    z.refine(({ state, active, target }) => hasFittingTarget(state, active, target), {
      error: 'target does not fit state',
    }),
  );

/** The identity and build of a controller process, and the last change of the level that it has applied. */
export type Announcement = z.infer<typeof announcementSchema>;

/** A counter of the processes of a controller. Only the latest process may announce itself. */
export type Incarnation = z.infer<typeof incarnationSchema>;

/**
 * The cluster's feature level, stored as a single record.
 *
 * - `stable`: `active` is in force, and no change is in progress.
 * - `preparing`: every controller is asked to acknowledge that it can read and write `target`.
 * - `activating`: all have acknowledged this. Every controller is asked to acknowledge that it expects formats of
 *   `target` at any time. Nothing is written in these formats yet.
 * - `aborting`: the raise to `target` is abandoned, and `active` remains in force.
 * - `lowering`: nothing above `target` is written any more, and stored records above it are converted back.
 */
export type ClusterLevel = z.infer<typeof levelSchema>;

/** A target that isn't proposed automatically until an operator proposes a raise or the set of builds changes. */
export type HeldTarget = z.infer<typeof heldSchema>;

/** The announced build of each controller, as text. */
export type Builds = z.infer<typeof buildsSchema>;

/** The incarnation and build of each controller when a change of the level was started. */
export type StartedWith = z.infer<typeof startSchema>;

function hasFittingTarget(state: string, active: number, target: number | null): boolean {
  if (state === 'stable') return target === null;
  if (target === null) return false;
  return state === 'lowering' ? target < active : target === active + 1;
}

/** The level that applies before any change is stored. */
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

/** Validates a stored announcement. */
export const parseAnnouncement = (value: unknown): Parsed<Announcement> =>
  parseRecord(announcementSchema, value);
/** Validates a stored incarnation. */
export const parseIncarnation = (value: unknown): Parsed<Incarnation> =>
  parseRecord(incarnationSchema, value);
/** Validates a stored feature level. */
export const parseClusterLevel = (value: unknown): Parsed<ClusterLevel> =>
  parseRecord(levelSchema, value);
