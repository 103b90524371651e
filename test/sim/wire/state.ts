/** The state service's side of the protocol for simulations: records, transactions, leases and watches. */
import type { HttpResponse } from '../../../src/runtime.js';
import type { Body } from '../../../src/wire/cbor.js';
import { integerField, mapsField, textField } from './fields.js';

export interface StoredRecord {
  key: string;
  value: unknown;
  version: number;
}

/** Met if the key has this version; version 0 means that the key does not exist. */
interface VersionPrecondition {
  key: string;
  version: number;
}

export type RecordMutation =
  | { kind: 'put'; key: string; value: unknown; lease: number | null }
  | { kind: 'delete'; key: string };

export type RecordEvent =
  | { kind: 'put'; key: string; value: unknown; version: number }
  | { kind: 'delete'; key: string; version: number };

export interface Transaction {
  preconditions: VersionPrecondition[];
  mutations: RecordMutation[];
}

export type ReadRequest =
  { kind: 'get'; key: string } | { kind: 'scan'; prefix: string; after: string; limit: number };

export interface WatchRequest {
  kind: 'watch';
  prefix: string;
  afterRevision: number;
  waitMs: number;
}

export type StateRequest =
  | ReadRequest
  | WatchRequest
  | ({ kind: 'transaction' } & Transaction)
  | { kind: 'grant-lease'; ttlMs: number }
  | { kind: 'renew-lease' | 'revoke-lease'; lease: number };

const RECORDS_PATH = '/kv';
const LEASES_PATH = '/leases';
const TRANSACTION_PATH = '/txn';
const WATCH_PATH = '/watch';

export function decodeStateRequest(method: string, path: string, body: Body): StateRequest {
  const url = new URL(path, 'http://state');
  const read = decodeReadRequest(path);
  if (read) return read;
  if (url.pathname === WATCH_PATH) return watchRequest(url.searchParams);
  if (url.pathname === TRANSACTION_PATH) return { kind: 'transaction', ...decodeTransaction(body) };
  if (url.pathname === LEASES_PATH)
    return { kind: 'grant-lease', ttlMs: integerField(body, 'life_ms') };
  if (url.pathname.startsWith(`${LEASES_PATH}/`)) return leaseRequest(method, url.pathname);
  throw new Error(`unknown request to the state service: ${method} ${path}`);
}

/** Returns null if the path does not read records. */
export function decodeReadRequest(path: string): ReadRequest | null {
  const { pathname, searchParams } = new URL(path, 'http://state');
  if (pathname.startsWith(`${RECORDS_PATH}/`))
    return { kind: 'get', key: pathname.slice(RECORDS_PATH.length + 1) };
  if (pathname !== RECORDS_PATH) return null;
  return {
    kind: 'scan',
    prefix: parameter(searchParams, 'starts'),
    after: searchParams.get('since') ?? '',
    limit: Number(parameter(searchParams, 'limit')),
  };
}

function watchRequest(query: URLSearchParams): WatchRequest {
  return {
    kind: 'watch',
    prefix: parameter(query, 'starts'),
    afterRevision: Number(parameter(query, 'since')),
    waitMs: Number(parameter(query, 'block_ms')),
  };
}

function leaseRequest(method: string, pathname: string): StateRequest {
  const [id, verb] = pathname.slice(LEASES_PATH.length + 1).split('/');
  const lease = Number(id);
  if (method === 'DELETE') return { kind: 'revoke-lease', lease };
  if (verb === 'extend') return { kind: 'renew-lease', lease };
  throw new Error(`unknown lease request: ${method} ${pathname}`);
}

function parameter(query: URLSearchParams, name: string): string {
  const value = query.get(name);
  if (value === null) throw new Error(`parameter ${name} is missing`);
  return value;
}

function decodeTransaction(body: Body): Transaction {
  return {
    preconditions: mapsField(body, 'guards').map((guard) => ({
      key: textField(guard, 'k'),
      version: integerField(guard, 'entry_mark'),
    })),
    mutations: mapsField(body, 'then').map(decodeMutation),
  };
}

function decodeMutation(body: Body): RecordMutation {
  if (body.remove !== undefined) return { kind: 'delete', key: textField(body, 'remove') };
  const lease = body.tenancy === undefined ? null : integerField(body, 'tenancy');
  return { kind: 'put', key: textField(body, 'put'), value: body.data, lease };
}

/** Returns a request that deletes a record regardless of its version. */
export function deleteRequest(key: string): { method: string; path: string; body: Body } {
  return { method: 'POST', path: TRANSACTION_PATH, body: { then: [{ remove: key }] } };
}

export function encodeRecord({ key, value, version }: StoredRecord): Body {
  return { k: key, data: value, entry_mark: version };
}

export function encodeRevision(revision: number): Body {
  return { ledger_mark: revision };
}

export function encodePage(records: StoredRecord[], isTruncated: boolean, revision: number): Body {
  return {
    pairs: records.map(encodeRecord),
    truncated: isTruncated,
    ...encodeRevision(revision),
  };
}

/** Replaces the value of each record in a page by `change(value)`. Responses without a page are returned unchanged. */
export function mapPageValues(
  response: HttpResponse,
  change: (value: unknown) => unknown,
): HttpResponse {
  if (response.status !== 200) return response;
  const pairs = mapsField(response.body, 'pairs').map((pair) => ({
    ...pair,
    data: change(pair.data),
  }));
  return { ...response, body: { ...response.body, pairs } };
}

export function encodeConflict(failed: string[], revision: number): Body {
  return { failed, ...encodeRevision(revision) };
}

export function encodeLease(lease: number): Body {
  return { tenancy: lease };
}

export function encodeEvents(events: RecordEvent[], revision: number): Body {
  return { ...encodeRevision(revision), news: events.map(encodeEvent) };
}

function encodeEvent(event: RecordEvent): Body {
  return event.kind === 'delete'
    ? { remove: event.key, entry_mark: event.version }
    : { put: event.key, data: event.value, entry_mark: event.version };
}
