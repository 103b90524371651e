/** The stored form of machines. A record with many machines is called a page. */
import type { KeyValue } from '@millring/state-access';
import { isMap } from '../wire/cbor.js';
import type { Machine } from './machine.js';

const PREFIX = 'm/';
const PAGE_PREFIX = `${PREFIX}page-`;

/** One machine as it is stored, without unknown fields (written by other versions). */
export interface MachineRecord {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Returns the record of a machine. The order of the fields is that of the stored record. */
export function recordOf(machine: Machine): MachineRecord {
  const { id, endpoint, type, zone, spot } = machine;
  return { id, endpoint, type: type.name, zone, spot };
}

/** Size of a record within its page, in bytes of JSON, including the comma that follows. */
export function sizeOf(record: MachineRecord): number {
  return JSON.stringify(record).length + 1;
}

/**
 * Reads one machine. Keeps unknown fields (written by other versions), since the record is rewritten with its page.
 * Returns null if the record is invalid.
 */
function readRecord(id: unknown, value: unknown): MachineRecord | null {
  if (typeof id !== 'string' || !isMap(value)) return null;
  const { endpoint, type, zone } = value;
  if (typeof endpoint !== 'string' || typeof type !== 'string' || typeof zone !== 'string')
    return null;
  return { ...value, id, endpoint, type, zone, spot: value.spot === true };
}

/** Returns the machines of one stored record: a page, or a single machine as earlier versions wrote it. */
export function readMachinePage({ key, value }: KeyValue): MachineRecord[] {
  if (!isMap(value)) return [];
  const list = Array.isArray(value.machines)
    ? value.machines.map((entry) => readRecord(isMap(entry) ? entry.id : null, entry))
    : [readRecord(key.slice(PREFIX.length), value)];
  return list.filter((record): record is MachineRecord => record !== null);
}

/** Returns the unknown fields of a page, written by other versions: all but its machines. */
export function unknownFieldsOf({ value }: KeyValue): object {
  if (!isMap(value) || !Array.isArray(value.machines)) return {};
  return Object.fromEntries(Object.entries(value).filter(([field]) => field !== 'machines'));
}

/** The key of a page. */
export function pageKey(pageNumber: number): string {
  return PAGE_PREFIX + String(pageNumber);
}

/** Returns false for the record of a single machine, as earlier versions wrote it. */
export function isPageKey(key: string): boolean {
  return key.startsWith(PAGE_PREFIX);
}

/** Returns NaN for a key that no version has written. */
export function pageNumberOf(key: string): number {
  return Number(key.slice(PAGE_PREFIX.length));
}
