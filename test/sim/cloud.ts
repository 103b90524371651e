/** Simulated cloud that rents machines. */
import type { HttpResponse } from '../../src/runtime.js';
import type { Body } from '../../src/wire/cbor.js';
import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';
import type { Place } from './places.js';
import { RateLimit } from './rate-limit.js';
import {
  type CloudType,
  type MachineListEntry,
  type MachineState,
  type RentalRequest,
  decodeCloudRequest,
  encodeCatalog,
  encodeMachineList,
  encodeRental,
} from './wire/cloud.js';
import type { Worker } from './worker.js';

/** A rented machine. */
export interface CloudMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Virtual time of the rental in milliseconds. */
  rentedAt: number;
  /** Time from the rental until the machine runs, in milliseconds; infinite if it never boots. */
  bootMs: number;
  /** Null until the machine has booted. */
  worker: Worker | null;
  state: MachineState;
}

/** Capacity of a machine type in a zone: `count` ordinary machines and as many spot machines. */
export interface CloudPool {
  type: string;
  zone: string;
  count: number;
}

/** Default machine types, for clusters whose configuration specifies none. */
export const TYPES: CloudType[] = [
  {
    name: 't16',
    cpus: 16,
    gpus: 0,
    memoryGb: 64,
    fetchGbPerS: 0.5,
    price: 1,
    spotPrice: 0.3,
    bootS: 5,
  },
];

/** Size of the allowed burst, as the calls that the rate limit allows in this many seconds. */
const BURST_S = 2;
/** Enough machines of one kind for the largest gang of the tests. */
const MAX_LISTED_PER_POOL = 16;
/** Maximum number of machines in a page of the machine list. */
const PAGE_SIZE = 500;

/** Simulated cloud, as PROTOCOL specifies: machine lists lag and are paged, and some machines never boot. */
export class CloudService {
  readonly machines = new Map<string, CloudMachine>();
  /** Ids of the rented machines by request id, so that a repeated request rents no further machines. */
  private readonly rentalsByRequest = new Map<string, string[]>();
  private readonly snapshots: { at: number; list: MachineListEntry[] }[] = [];
  private nextNumber = 1;
  /** Until this virtual time every call fails with status 503. */
  downUntil = 0;
  /** Number of calls received, and of those that exceeded the rate limit and got status 429. */
  readonly received = { calls: 0, tooMany: 0 };
  private readonly rateLimit: RateLimit | null;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly pools: CloudPool[],
    private readonly boot: (machine: CloudMachine) => Worker,
    private readonly endpointOf: (id: string) => string = (id) => `w-${id}:9000`,
    rps = Infinity,
    private readonly types = TYPES,
  ) {
    this.rateLimit = rps === Infinity ? null : new RateLimit(rps, BURST_S * rps);
    this.snapshotLoop();
  }

  private exceedsRate(): boolean {
    this.received.calls++;
    if (!this.rateLimit) return false;
    if (this.rateLimit.has(1, this.clock.time)) {
      this.rateLimit.take(1);
      return false;
    }
    this.received.tooMany++;
    return true;
  }

  /**
   * Numbers the next machines from `number` on. Ids are never reused, so tests skip those of machines that exist only
   * in stored records.
   */
  numberMachinesFrom(number: number): void {
    this.nextNumber = number;
  }

  private listPage(after: string, wanted: number | null): HttpResponse {
    const limit = Math.min(PAGE_SIZE, wanted ?? PAGE_SIZE);
    const at = this.clock.time - this.random.between(1000, 4000);
    const list = [...this.snapshots].reverse().find((snapshot) => snapshot.at <= at)?.list ?? [];
    const rest = list.filter((machine) => machine.id > after);
    return {
      status: 200,
      body: encodeMachineList(rest.slice(0, limit), rest.length > limit),
    };
  }

  private snapshotLoop(): void {
    const list = [...this.machines.values()].map((machine) => ({
      id: machine.id,
      endpoint: this.endpointOf(machine.id),
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      state: machine.state,
      ageS: (this.clock.time - machine.rentedAt) / 1000,
    }));
    this.snapshots.push({ at: this.clock.time, list });
    if (this.snapshots.length > 20) this.snapshots.shift();
    this.clock.after(500, () => {
      this.snapshotLoop();
    });
  }

  /** Changes how many machines of the type, and as many spot machines, the cloud has in the zone. */
  setCount(type: string, zone: string, count: number): void {
    const pool = this.pools.find((p) => p.type === type && p.zone === zone);
    if (!pool) throw new Error(`no pool of ${type} in ${zone}`);
    pool.count = count;
  }

  /** Adds a machine; if `isUp` it runs at once, else it boots after a random time or, with probability 0.03, never. */
  add(type: string, zone: string, spot: boolean, isUp: boolean): CloudMachine {
    const id = `i-${String(this.nextNumber++).padStart(6, '0')}`;
    const bootMs = isUp ? 0 : this.random.chance(0.03) ? Infinity : this.random.between(2500, 9000);
    const machine: CloudMachine = {
      id,
      type,
      zone,
      spot,
      rentedAt: this.clock.time,
      bootMs,
      worker: null,
      state: 'starting',
    };
    this.machines.set(id, machine);
    if (bootMs < Infinity)
      this.clock.after(bootMs, () => {
        if (this.machines.get(id) !== machine) return;
        machine.state = 'running';
        machine.worker = this.boot(machine);
      });
    return machine;
  }

  /** Removes the machine and everything that runs on it, when the cloud preempts or a controller deletes it. */
  preempt(machine: CloudMachine): void {
    machine.worker?.kill();
    this.machines.delete(machine.id);
  }

  handle(path: string, body: Body): HttpResponse {
    if (this.exceedsRate()) return { status: 429, body: {} };
    if (this.clock.time < this.downUntil) return { status: 503, body: { error: 'trouble' } };
    const request = decodeCloudRequest(path, body);
    switch (request.kind) {
      case 'catalog':
        return { status: 200, body: this.catalog() };
      case 'delete':
        for (const id of request.machines) {
          const machine = this.machines.get(id);
          if (machine) this.preempt(machine);
        }
        return { status: 200, body: {} };
      case 'list':
        return this.listPage(request.after, request.limit);
      case 'rent':
        return this.rent(request);
    }
  }

  private catalog(): Body {
    const zonesOf = (type: CloudType): string[] =>
      this.pools.filter((pool) => pool.type === type.name).map((pool) => pool.zone);
    return encodeCatalog(this.types.map((type) => ({ ...type, zones: zonesOf(type) })));
  }

  /** Returns the place of each machine that the cloud would rent now, at most `MAX_LISTED_PER_POOL` of each kind. */
  available(): Omit<Place, 'machine'>[] {
    if (this.clock.time < this.downUntil) return [];
    return this.pools.flatMap(({ type, zone }) =>
      [false, true].flatMap((spot) => {
        const count = Math.min(MAX_LISTED_PER_POOL, this.remaining(type, zone, spot));
        return Array.from({ length: Math.max(0, count) }, () => ({ type, zone, spot }));
      }),
    );
  }

  /** Number of machines of this kind that can still be rented. */
  private remaining(type: string, zone: string, spot: boolean): number {
    const pool = this.pools.find((p) => p.type === type && p.zone === zone);
    const used = [...this.machines.values()].filter(
      (m) => m.type === type && m.zone === zone && m.spot === spot,
    ).length;
    return (pool?.count ?? 0) - used;
  }

  private rent({ request, type, zone, spot, count }: RentalRequest): HttpResponse {
    const earlierRental = this.rentalsByRequest.get(request);
    if (earlierRental) return { status: 200, body: encodeRental(earlierRental) };
    const granted = Math.min(count, this.remaining(type, zone, spot));
    if (granted <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids = Array.from({ length: granted }, () => this.add(type, zone, spot, false).id);
    this.rentalsByRequest.set(request, ids);
    return { status: 200, body: encodeRental(ids) };
  }
}
