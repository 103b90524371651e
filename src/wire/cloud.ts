/** The cloud's catalog, machine list, rentals and deletions. */
import { type Body, isMap } from './cbor.js';
import type { ListedMachine, ListedState, MachineType } from './model.js';
import { isAmount, isText } from './validators.js';

export function readTypes(b: Body): MachineType[] | null {
  if (!Array.isArray(b.stone_kinds)) return null;
  const out: MachineType[] = [];
  for (const v of b.stone_kinds) {
    if (!isMap(v) || !isText(v.name) || !isAmount(v.vcpus) || !isAmount(v.ram_gb)) return null;
    out.push({
      name: v.name,
      cpus: v.vcpus,
      gpus: isAmount(v.gpus) ? v.gpus : 0,
      memoryGb: v.ram_gb,
      fetchGbPerS: isAmount(v.fetch_gb_per_s) ? v.fetch_gb_per_s : 0.1,
      price: isAmount(v.price) ? v.price : 0,
      spotPrice: isAmount(v.spot_price) ? v.spot_price : 0,
      bootS: isAmount(v.boot_s) ? v.boot_s : 60,
      zones: Array.isArray(v.yards) ? v.yards.filter(isText) : [],
    });
  }
  return out;
}

/** The catalog in its own words, so that one reader serves the cloud's and the kept one. */
export function catalogBody(types: MachineType[]): Body {
  return {
    stone_kinds: types.map((t) => ({
      name: t.name,
      vcpus: t.cpus,
      gpus: t.gpus,
      ram_gb: t.memoryGb,
      fetch_gb_per_s: t.fetchGbPerS,
      price: t.price,
      spot_price: t.spotPrice,
      boot_s: t.bootS,
      yards: t.zones,
    })),
  };
}

const LISTED: Record<string, ListedState> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

/** One page of the cloud's list, in the order of names. */
export interface MachinePage {
  machines: ListedMachine[];
  /** Further machines follow after the last one. */
  more: boolean;
}

export function readMachineList(b: Body): MachinePage | null {
  if (!Array.isArray(b.stones)) return null;
  const machines: ListedMachine[] = [];
  for (const v of b.stones) {
    if (!isMap(v) || !isText(v.id)) continue;
    machines.push({
      id: v.id,
      endpoint: isText(v.endpoint) ? v.endpoint : '',
      type: String(v.stone_kind),
      zone: String(v.yard),
      spot: v.loaned_stones === true,
      state: LISTED[v.condition as string] ?? 'running',
      ageS: isAmount(v.age_s) ? v.age_s : 0,
    });
  }
  return { machines, more: b.truncated === true };
}

export function rentalBody(
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): Body {
  return { hire: request, stone_kind: type, yard: zone, loaned_stones: spot, number: count };
}

export function readRental(b: Body): string[] | null {
  return Array.isArray(b.stones) ? b.stones.filter(isText) : null;
}

export function deletionBody(ids: string[]): Body {
  return { stones: ids };
}

export const cloudPaths = {
  types: '/catalog',
  machines: '/machines',
  deletion: '/machines/delete',
  list: (after: string) => `/machines?limit=500${after ? `&since=${after}` : ''}`,
};
