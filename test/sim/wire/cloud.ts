/** The cloud's side of the protocol for the simulated cloud: catalog, machine list, rentals and deletions. */
import type { Body } from '../../../src/wire/cbor.js';
import { booleanField, integerField, textField, textListField } from './fields.js';

export type MachineState = 'starting' | 'running' | 'failed';

/** A machine type as described in the catalog, without its zones. */
export interface CloudType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
}

export interface CatalogEntry extends CloudType {
  zones: string[];
}

export interface MachineListEntry {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  state: MachineState;
  ageS: number;
}

export interface RentalRequest {
  kind: 'rent';
  /** Id of the request: repeating the request rents no further machines. */
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export type CloudRequest =
  | { kind: 'catalog' }
  | { kind: 'list'; after: string; limit: number | null }
  | { kind: 'delete'; machines: string[] }
  | RentalRequest;

const WIRE_MACHINE_STATES: Readonly<Record<MachineState, string>> = {
  starting: 'starting',
  running: 'running',
  failed: 'failed',
};

export function decodeCloudRequest(path: string, body: Body): CloudRequest {
  const url = new URL(path, 'http://cloud');
  switch (url.pathname) {
    case '/catalog':
      return { kind: 'catalog' };
    case '/machines/delete':
      return { kind: 'delete', machines: textListField(body, 'stones') };
    case '/machines':
      return path.includes('?') ? listRequest(url.searchParams) : rentalRequest(body);
    default:
      throw new Error(`unknown request to the cloud: ${path}`);
  }
}

function listRequest(query: URLSearchParams): CloudRequest {
  const limit = query.get('limit');
  return {
    kind: 'list',
    after: query.get('since') ?? '',
    limit: limit === null ? null : Number(limit),
  };
}

function rentalRequest(body: Body): CloudRequest {
  return {
    kind: 'rent',
    request: textField(body, 'hire'),
    type: textField(body, 'stone_kind'),
    zone: textField(body, 'yard'),
    spot: booleanField(body, 'loaned_stones'),
    count: integerField(body, 'number'),
  };
}

export function encodeCatalog(types: CatalogEntry[]): Body {
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

export function encodeMachineList(machines: MachineListEntry[], isTruncated: boolean): Body {
  return {
    stones: machines.map((machine) => ({
      id: machine.id,
      endpoint: machine.endpoint,
      stone_kind: machine.type,
      yard: machine.zone,
      loaned_stones: machine.spot,
      condition: WIRE_MACHINE_STATES[machine.state],
      age_s: machine.ageS,
    })),
    truncated: isTruncated,
  };
}

/** Encodes the machines rented by a request. */
export function encodeRental(machines: string[]): Body {
  return { stones: machines };
}
