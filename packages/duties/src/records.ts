/** The records of duties in the state service, and the schemas that validate them when they are read. */
import { type Parsed, parseRecord } from '@millring/state-access';
import * as z from 'zod/mini';
import { DUTIES, type Duty } from './duty.js';
import { MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_REQUEST } from './limits.js';

/** Prefix of all keys. */
export const DUTIES_PREFIX = 'duties/';
/** Prefix of the holder records. */
export const HOLDERS_PREFIX = `${DUTIES_PREFIX}holders/`;
/** Prefix of the fencing tokens. */
export const TOKENS_PREFIX = `${DUTIES_PREFIX}tokens/`;
/** Prefix of the records of duties that operators have put on hold. */
export const HOLDS_PREFIX = `${DUTIES_PREFIX}holds/`;
/** Prefix of the records of the controller processes that take part. */
export const MEMBERS_PREFIX = `${DUTIES_PREFIX}members/`;
/** Prefix of the intents, open and resolved. */
export const INTENTS_PREFIX = `${DUTIES_PREFIX}intents/`;

/** Key of a holder record, which is attached to the lease of the process that holds the duty. */
export const holderKey = (duty: Duty): string => HOLDERS_PREFIX + duty;
/** Key of a fencing token, which is attached to no lease: it must outlive every holder. */
export const tokenKey = (duty: Duty): string => TOKENS_PREFIX + duty;
/** Key of an operator's hold. While it exists, no controller holds the duty. */
export const holdKey = (duty: Duty): string => HOLDS_PREFIX + duty;
/** Key of a member record, which is attached to the lease of the process that wrote it. */
export const memberKey = (controller: string): string => MEMBERS_PREFIX + controller;
/** Key of an intent, which is attached to no lease: it must outlive the leader and the holder. */
export const intentKey = (id: string): string => INTENTS_PREFIX + id;

const MAX_NAME_LENGTH = 200;

const name = z.string().check(z.minLength(1), z.maxLength(MAX_NAME_LENGTH));
const duty = z.enum(DUTIES);
const token = z.int().check(z.gte(1));
const machines = (maxCount: number) => z.array(name).check(z.maxLength(maxCount));

const holderSchema = z.object({ controller: name, process: name, token });

const tokenSchema = z.object({
  token,
  controller: name,
  /** Time of day in milliseconds at the holder. Only shown to operators; no decision depends on it. */
  sinceMs: z.number(),
});

const holdSchema = z.object({ by: name, sinceMs: z.number() });

const memberSchema = z.object({
  process: name,
  /** The duties that it may hold. */
  duties: z.array(duty),
});

const rentSchema = z.object({
  kind: z.literal('rent'),
  type: name,
  zone: name,
  spot: z.boolean(),
  count: z.int().check(z.gte(1), z.lte(MAX_MACHINES_PER_REQUEST)),
});

const deleteSchema = z.object({
  kind: z.literal('delete'),
  machines: machines(MAX_MACHINES_PER_DELETION).check(z.minLength(1)),
});

const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('rented'), machines: machines(MAX_MACHINES_PER_REQUEST) }),
  z.object({ kind: z.literal('no-capacity') }),
  z.object({ kind: z.literal('deleted') }),
]);

const intentSchema = z
  .object({
    id: name,
    duty,
    action: z.discriminatedUnion('kind', [rentSchema, deleteSchema]),
    /** Time of day in milliseconds at the leader. Only shown to operators; no decision depends on it. */
    openedMs: z.number(),
    /** Null while the intent is open. */
    outcome: z.nullable(outcomeSchema),
    /** The fencing token under which the intent was resolved; null while it is open. */
    token: z.nullable(token),
  })
  .check(
    z.refine((intent) => isActionOfDuty(intent.duty, intent.action.kind), {
      error: 'action does not fit duty',
    }),
    z.refine(({ outcome, token: intentToken }) => (outcome === null) === (intentToken === null), {
      error: 'outcome and token go together',
    }),
  );

function isActionOfDuty(intentDuty: Duty, action: 'rent' | 'delete'): boolean {
  return action === 'rent'
    ? intentDuty === 'rent'
    : intentDuty === 'return' || intentDuty === 'reclaim';
}

/** The holder of a duty. The record's version is a precondition of every write that the holder makes for the duty. */
export type HolderRecord = z.infer<typeof holderSchema>;
/** The latest fencing token of a duty. It only ever increases. */
export type TokenRecord = z.infer<typeof tokenSchema>;
/** An operator's hold, which prevents all controllers from holding the duty. */
export type HoldRecord = z.infer<typeof holdSchema>;
/** A controller process that takes part in the duties. */
export type MemberRecord = z.infer<typeof memberSchema>;
/** An action on machines, stored before the first request that performs it, and never withdrawn. */
export type Intent = z.infer<typeof intentSchema>;
/** The action of an intent: rents or deletes machines. */
export type IntentAction = Intent['action'];
/** Requests machines of one kind. */
export type RentAction = Extract<IntentAction, { kind: 'rent' }>;
/** The outcome of an intent, stored only once. */
export type Outcome = NonNullable<Intent['outcome']>;

/** Validates a stored holder record. */
export const parseHolder = (value: unknown): Parsed<HolderRecord> =>
  parseRecord(holderSchema, value);
/** Validates a stored fencing token. */
export const parseToken = (value: unknown): Parsed<TokenRecord> => parseRecord(tokenSchema, value);
/** Validates a stored hold. */
export const parseHold = (value: unknown): Parsed<HoldRecord> => parseRecord(holdSchema, value);
/** Validates a stored member record. */
export const parseMember = (value: unknown): Parsed<MemberRecord> =>
  parseRecord(memberSchema, value);
/** Validates a stored intent. */
export const parseIntent = (value: unknown): Parsed<Intent> => parseRecord(intentSchema, value);
