/** The stored form of machines: many of them in one record, a page. */
import type { KeyValue } from '@millring/state-access';
import { isMap } from '../wire/cbor.js';
import type { Machine } from './machine.js';

const PREFIX = 'm/';
const PAGE_PREFIX = `${PREFIX}page-`;

/** One machine as it is stored, beside fields that only other versions know. */
export interface MachineRecord {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** The order of the fields is that of the stored record. */
export function recordOf(machine: Machine): MachineRecord {
  const { id, endpoint, type, zone, spot } = machine;
  return { id, endpoint, type: type.name, zone, spot };
}

/** What a record takes in its page, counted as JSON with the comma that follows. */
export function sizeOf(record: MachineRecord): number {
  return JSON.stringify(record).length + 1;
}

/** Fields that another version knows stay in it: the record is rewritten with its page. */
function readRecord(id: unknown, value: unknown): MachineRecord | null {
  if (typeof id !== 'string' || !isMap(value)) return null;
  const { endpoint, type, zone } = value;
  if (typeof endpoint !== 'string' || typeof type !== 'string' || typeof zone !== 'string')
    return null;
  return { ...value, id, endpoint, type, zone, spot: value.spot === true };
}

/** The machines of one stored record: a page of them, or a single one as earlier versions wrote it. */
export function readMachinePage({ key, value }: KeyValue): MachineRecord[] {
  if (!isMap(value)) return [];
  const list = Array.isArray(value.machines)
    ? value.machines.map((entry) => readRecord(isMap(entry) ? entry.id : null, entry))
    : [readRecord(key.slice(PREFIX.length), value)];
  return list.filter((record): record is MachineRecord => record !== null);
}

/** What only another version knows of a page, beside its machines. */
export function foreignFieldsOf({ value }: KeyValue): object {
  if (!isMap(value) || !Array.isArray(value.machines)) return {};
  return Object.fromEntries(Object.entries(value).filter(([field]) => field !== 'machines'));
}

/** The key of a page. */
export function pageKey(pageNumber: number): string {
  return PAGE_PREFIX + String(pageNumber);
}

/** False for the record of a single machine, as earlier versions wrote it. */
export function isPageKey(key: string): boolean {
  return key.startsWith(PAGE_PREFIX);
}

/** Not a number for a key that no version has written. */
export function pageNumberOf(key: string): number {
  return Number(key.slice(PAGE_PREFIX.length));
}
