/** The records of duties in the state service, and the schemas that each is checked by where it is read. */
import { type Parsed, parseRecord } from '@millring/state-access';
import * as z from 'zod/mini';
import { DUTIES, type Duty } from './duty.js';
import { MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_REQUEST } from './limits.js';

/** Of all keys. */
export const DUTIES_PREFIX = 'duties/';
/** Who holds which duty. */
export const HOLDERS_PREFIX = `${DUTIES_PREFIX}holders/`;
/** The fencing tokens. */
export const TOKENS_PREFIX = `${DUTIES_PREFIX}tokens/`;
/** Duties that operators have put on hold. */
export const HOLDS_PREFIX = `${DUTIES_PREFIX}holds/`;
/** The controller processes that take part. */
export const MEMBERS_PREFIX = `${DUTIES_PREFIX}members/`;
/** The intents, open and resolved. */
export const INTENTS_PREFIX = `${DUTIES_PREFIX}intents/`;

/** Attached to the lease of the process that holds the duty. */
export const holderKey = (duty: Duty): string => HOLDERS_PREFIX + duty;
/** Attached to no lease: it must outlive every holder. */
export const tokenKey = (duty: Duty): string => TOKENS_PREFIX + duty;
/** Put there by an operator: while it exists nobody holds the duty. */
export const holdKey = (duty: Duty): string => HOLDS_PREFIX + duty;
/** Attached to the lease of the process that wrote it. */
export const memberKey = (controller: string): string => MEMBERS_PREFIX + controller;
/** Attached to no lease: it must outlive its decider and its holder. */
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
  /** By the holder's time of day: shown to operators, nothing rests on it. */
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
    /** By the opener's time of day: shown to operators, nothing rests on it. */
    openedMs: z.number(),
    /** Null while it is open. */
    outcome: z.nullable(outcomeSchema),
    /** The token that it was resolved under. */
    token: z.nullable(token),
  })
  .check(
    z.refine((intent) => isActionOfDuty(intent.duty, intent.action.kind), {
      error: 'action does not fit duty',
    }),
    z.refine(({ outcome, token: by }) => (outcome === null) === (by === null), {
      error: 'outcome and token go together',
    }),
  );

function isActionOfDuty(owner: Duty, action: 'rent' | 'delete'): boolean {
  return action === 'rent' ? owner === 'rent' : owner === 'return' || owner === 'reclaim';
}

/** Who holds a duty. The version of the record is a precondition of every write that the holder makes as such. */
export type HolderRecord = z.infer<typeof holderSchema>;
/** The fencing token given last: it only ever rises. */
export type TokenRecord = z.infer<typeof tokenSchema>;
/** An operator keeps everyone from holding the duty. */
export type HoldRecord = z.infer<typeof holdSchema>;
/** A controller process that takes part. */
export type MemberRecord = z.infer<typeof memberSchema>;
/** An action on machines, stored before the first request that performs it, and never withdrawn. */
export type Intent = z.infer<typeof intentSchema>;
/** What is to be done. */
export type IntentAction = Intent['action'];
/** Requests machines of one kind. */
export type RentAction = Extract<IntentAction, { kind: 'rent' }>;
/** What came of an intent, stored once. */
export type Outcome = NonNullable<Intent['outcome']>;

/** Checks a stored value. */
export const parseHolder = (value: unknown): Parsed<HolderRecord> =>
  parseRecord(holderSchema, value);
/** Checks a stored value. */
export const parseToken = (value: unknown): Parsed<TokenRecord> => parseRecord(tokenSchema, value);
/** Checks a stored value. */
export const parseHold = (value: unknown): Parsed<HoldRecord> => parseRecord(holdSchema, value);
/** Checks a stored value. */
export const parseMember = (value: unknown): Parsed<MemberRecord> =>
  parseRecord(memberSchema, value);
/** Checks a stored value. */
export const parseIntent = (value: unknown): Parsed<Intent> => parseRecord(intentSchema, value);
