/**
 * Client of the cloud's interface. Every call, each page of a list included, takes from one budget, so that no size of the
 * fleet makes the cloud refuse calls.
 */
import { type Runtime, sleep } from '../runtime.js';
import { TokenBucket } from '../state-store/token-bucket.js';
import type { ListedMachine, MachineType } from '../wire/model.js';
import {
  type MachinePage,
  deletionBody,
  readMachineList,
  readRental,
  readMachineTypes,
  rentalBody,
  cloudPaths,
} from '../wire/cloud.js';

const TIMEOUT_MS = 5000;
/** Of the calls allowed per second, those that this controller plans with; the others are left to other controllers. */
const RATE_SHARE = 0.7;
/** Of these, the part that lists may take: rentals and deletions need the rest. */
const LIST_SHARE = 0.5;
/** Calls that a page of a list leaves in the budget for a rental or deletion that comes meanwhile. */
const LEFT_BY_LISTS = 1;
/** How often one page is asked for before the list is given up. */
const PAGE_ATTEMPTS = 3;

export type RentResult =
  | { kind: 'rented'; ids: string[] }
  | { kind: 'no-capacity' }
  | { kind: 'unknown' }
  | { kind: 'refused' };

/** All controllers share the cloud's rate; the leader uses most of it. */
export class Cloud {
  private readonly bucket: TokenBucket;
  /** Pages of the longest recent list. */
  private pages = 1;

  constructor(
    private readonly runtime: Runtime,
    private readonly address: string,
    private readonly rps: number,
  ) {
    const burst = Math.max(rps, 1 + LEFT_BY_LISTS);
    this.bucket = new TokenBucket(rps * RATE_SHARE, burst, () => runtime.clock.now());
  }

  room(): boolean {
    return this.bucket.tryAcquire();
  }

  /** Lists no further apart than this would take more than their share of the calls. */
  shortestListIntervalMs(): number {
    return (1000 * this.pages) / (this.rps * RATE_SHARE * LIST_SHARE);
  }

  async types(): Promise<MachineType[] | null> {
    const r = await this.runtime.http.send(this.address, 'GET', cloudPaths.types, null, TIMEOUT_MS);
    return r.status === 200 ? readMachineTypes(r.body) : null;
  }

  /** All machines, page by page; null if a page can't be had, or `active` turns false meanwhile. */
  async list(active: () => boolean): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    for (let after = '', pages = 1; ; pages++) {
      const page = await this.page(after, active);
      if (!page) return null;
      all.push(...page.machines);
      this.pages = Math.max(pages, this.pages - 1);
      if (!page.more || page.machines.length === 0) return all;
      after = page.machines[page.machines.length - 1].id;
    }
  }

  /** A page that was refused is asked for again: starting over would never end where a list has many pages. */
  private async page(after: string, active: () => boolean): Promise<MachinePage | null> {
    for (let attempt = 0; attempt < PAGE_ATTEMPTS; attempt++) {
      while (active() && !this.bucket.tryAcquire(1, LEFT_BY_LISTS))
        await sleep(this.runtime.clock, 1000 / this.rps);
      if (!active()) return null;
      const r = await this.runtime.http.send(
        this.address,
        'GET',
        cloudPaths.list(after),
        null,
        TIMEOUT_MS,
      );
      const page = r.status === 200 ? readMachineList(r.body) : null;
      if (page) return page;
    }
    return null;
  }

  async rent(
    request: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<RentResult> {
    const body = rentalBody(request, type, zone, spot, count);
    const r = await this.runtime.http.send(
      this.address,
      'POST',
      cloudPaths.machines,
      body,
      TIMEOUT_MS,
    );
    const ids = r.status === 200 ? readRental(r.body) : null;
    if (ids) return { kind: 'rented', ids };
    if (r.status === 0) return { kind: 'unknown' };
    return r.status === 503 && r.body.error === 'no capacity'
      ? { kind: 'no-capacity' }
      : { kind: 'refused' };
  }

  /** True only for a 200: then the machines and everything on them are gone. */
  async delete(ids: string[]): Promise<boolean> {
    const r = await this.runtime.http.send(
      this.address,
      'POST',
      cloudPaths.deletion,
      deletionBody(ids),
      TIMEOUT_MS,
    );
    return r.status === 200;
  }
}
