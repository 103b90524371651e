import type { World } from '../runtime.js';
import { Bucket } from '../state-store/budget.js';
import type { ListedMachine, MachineType } from '../wire/model.js';
import {
  deletionBody,
  readMachineList,
  readRental,
  readTypes,
  rentalBody,
  cloudPaths,
} from '../wire/cloud.js';

const TIMEOUT_MS = 5000;

export type RentResult =
  { kind: 'rented'; ids: string[] } | { kind: 'no-capacity' } | { kind: 'unknown' } | { kind: 'refused' };

/** The cloud, met by its protocol. All nodes share its rate; the leader uses most of it. */
export class Cloud {
  private readonly bucket: Bucket;

  constructor(
    private readonly world: World,
    private readonly address: string,
    rps: number,
  ) {
    this.bucket = new Bucket(rps * 0.7, rps, () => world.clock.now());
  }

  room(): boolean {
    return this.bucket.take();
  }

  async types(): Promise<MachineType[] | null> {
    const r = await this.world.http.send(this.address, 'GET', cloudPaths.types, null, TIMEOUT_MS);
    return r.status === 200 ? readTypes(r.body) : null;
  }

  async list(): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    for (let after = ''; ;) {
      const r = await this.world.http.send(this.address, 'GET', cloudPaths.list(after), null, TIMEOUT_MS);
      const page = r.status === 200 ? readMachineList(r.body) : null;
      if (!page) return null;
      all.push(...page.machines);
      if (!page.more || page.machines.length === 0) return all;
      after = page.machines[page.machines.length - 1].id;
    }
  }

  async rent(request: string, type: string, zone: string, spot: boolean, count: number): Promise<RentResult> {
    const body = rentalBody(request, type, zone, spot, count);
    const r = await this.world.http.send(this.address, 'POST', cloudPaths.machines, body, TIMEOUT_MS);
    const ids = r.status === 200 ? readRental(r.body) : null;
    if (ids) return { kind: 'rented', ids };
    if (r.status === 0) return { kind: 'unknown' };
    return r.status === 503 && r.body.error === 'no capacity' ? { kind: 'no-capacity' } : { kind: 'refused' };
  }

  /** True only for a 200: then the machines and everything on them are gone. */
  async delete(ids: string[]): Promise<boolean> {
    const r = await this.world.http.send(
      this.address,
      'POST',
      cloudPaths.deletion,
      deletionBody(ids),
      TIMEOUT_MS,
    );
    return r.status === 200;
  }
}
