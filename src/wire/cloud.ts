/** Requests to the cloud and its responses: catalog, machine list, rentals and deletions. */
import { type Body, isMap } from './cbor.js';
import type { ListedMachine, ListedState, MachineType } from './model.js';
import { isAmount, isText } from './validators.js';

/*
 * Terms of the protocol: `stone` is a machine, `stone_kind` a machine type, `yard` a zone, `loaned_stones` whether
 * machines are spot machines, `condition` a state; `hire` is the id of a rental request and `number` its machine count.
 */

/** Defaults for a machine type whose catalog entry does not contain the value. */
const DEFAULT_FETCH_GB_PER_S = 0.1;
const DEFAULT_BOOT_S = 60;

const amountOr = (value: unknown, fallback: number): number => (isAmount(value) ? value : fallback);

function readMachineType(entry: unknown): MachineType | null {
  if (!isMap(entry) || !isText(entry.name)) return null;
  if (!isAmount(entry.vcpus) || !isAmount(entry.ram_gb)) return null;
  return {
    name: entry.name,
    cpus: entry.vcpus,
    gpus: amountOr(entry.gpus, 0),
    memoryGb: entry.ram_gb,
    fetchGbPerS: amountOr(entry.fetch_gb_per_s, DEFAULT_FETCH_GB_PER_S),
    price: amountOr(entry.price, 0),
    spotPrice: amountOr(entry.spot_price, 0),
    bootS: amountOr(entry.boot_s, DEFAULT_BOOT_S),
    zones: Array.isArray(entry.yards) ? entry.yards.filter(isText) : [],
  };
}

/** Returns the machine types, or null if the body is not a catalog or one of its entries can't be read. */
export function readMachineTypes(body: Body): MachineType[] | null {
  if (!Array.isArray(body.stone_kinds)) return null;
  const types: MachineType[] = [];
  for (const entry of body.stone_kinds) {
    const type = readMachineType(entry);
    if (!type) return null;
    types.push(type);
  }
  return types;
}

/** Encodes a catalog in the cloud's format: `readMachineTypes` reads both the cloud's catalog and the stored copy. */
export function catalogBody(types: MachineType[]): Body {
  return {
    stone_kinds: types.map((type) => ({
      name: type.name,
      vcpus: type.cpus,
      gpus: type.gpus,
      ram_gb: type.memoryGb,
      fetch_gb_per_s: type.fetchGbPerS,
      price: type.price,
      spot_price: type.spotPrice,
      boot_s: type.bootS,
      yards: type.zones,
    })),
  };
}

const LISTED_STATES: Record<string, ListedState> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

/** One page of the cloud's machine list, sorted by name. */
export interface MachinePage {
  machines: ListedMachine[];
  /** Whether the machine list continues after the last machine of this page. */
  more: boolean;
}

/** Returns null if the body is not a page of the machine list. Skips machines without an id. */
export function readMachinePage(body: Body): MachinePage | null {
  if (!Array.isArray(body.stones)) return null;
  const machines: ListedMachine[] = [];
  for (const entry of body.stones) {
    if (!isMap(entry) || !isText(entry.id)) continue;
    machines.push({
      id: entry.id,
      endpoint: isText(entry.endpoint) ? entry.endpoint : '',
      type: String(entry.stone_kind),
      zone: String(entry.yard),
      spot: entry.loaned_stones === true,
      state: LISTED_STATES[entry.condition as string] ?? 'running',
      ageS: amountOr(entry.age_s, 0),
    });
  }
  return { machines, more: body.truncated === true };
}

/** Returns the body of a rental request. Repeating a request with the same id rents no further machines. */
export function rentalBody(
  requestId: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): Body {
  return { hire: requestId, stone_kind: type, yard: zone, loaned_stones: spot, number: count };
}

/** Returns the ids of the rented machines, or null if the body does not contain them. */
export function readRental(body: Body): string[] | null {
  return Array.isArray(body.stones) ? body.stones.filter(isText) : null;
}

/** Returns the body of a request to delete machines. */
export function deletionBody(ids: string[]): Body {
  return { stones: ids };
}

const MACHINES_PER_PAGE = 500;

/** Paths of the cloud's API. */
export const cloudPaths = {
  types: '/catalog',
  rental: '/machines',
  deletion: '/machines/delete',
  machineList: (after: string) =>
    `/machines?limit=${MACHINES_PER_PAGE}${after ? `&since=${after}` : ''}`,
};
