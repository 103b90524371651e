/**
 * Client of the cloud's API. All calls, including each page of a list, share one budget, so that the cloud rejects no
 * calls, however many machines there are.
 */
import { type HttpResponse, type Runtime, sleep } from '../runtime.js';
import { TokenBucket } from '../state-store/token-bucket.js';
import type { Body } from '../wire/cbor.js';
import type { ListedMachine, MachineType } from '../wire/model.js';
import {
  type MachinePage,
  deletionBody,
  readMachinePage,
  readRental,
  readMachineTypes,
  rentalBody,
  cloudPaths,
} from '../wire/cloud.js';

const REQUEST_TIMEOUT_MS = 5000;
/** Share of the allowed calls per second that this controller uses; the rest is left to other controllers. */
const RATE_SHARE = 0.7;
/** Share of this controller's calls that lists may use; machine requests and deletions need the rest. */
const LIST_SHARE = 0.5;
/** Calls that a page of a list leaves in the budget for a machine request or deletion that comes meanwhile. */
const CALLS_RESERVED_FROM_LISTS = 1;
/** Maximum number of requests for one page before the list is abandoned. */
const MAX_PAGE_ATTEMPTS = 3;

/**
 * Result of a request for machines.
 * - `granted`: these machines are booting; they may be fewer than requested.
 * - `no-capacity`: the cloud has no machines of this kind at the moment.
 * - `indeterminate`: no response; the request may have been executed.
 * - `rejected`: not executed, for a reason that indicates nothing about the cloud's capacity.
 */
export type MachineRequestResult =
  | { kind: 'granted'; ids: string[] }
  | { kind: 'no-capacity' }
  | { kind: 'indeterminate' }
  | { kind: 'rejected' };

/** Client of the cloud. All controllers share the cloud's rate limit; the leader uses most of it. */
export class Cloud {
  private readonly callBudget: TokenBucket;
  /** Number of pages of the longest recent list. */
  private pageCount = 1;

  /** `maxCallsPerS` is the rate that the cloud allows for all controllers together, or this client's share of it. */
  constructor(
    private readonly runtime: Runtime,
    private readonly address: string,
    private readonly maxCallsPerS: number,
  ) {
    const burst = Math.max(maxCallsPerS, 1 + CALLS_RESERVED_FROM_LISTS);
    this.callBudget = new TokenBucket(maxCallsPerS * RATE_SHARE, burst, () => runtime.clock.now());
  }

  /** Takes one call from the budget, before a request for machines or a deletion; returns false if none is left. */
  tryAcquireCall(): boolean {
    return this.callBudget.tryAcquire();
  }

  /** Minimum interval between two lists; lists at shorter intervals would use more than their share of the calls. */
  minListIntervalMs(): number {
    return (1000 * this.pageCount) / (this.maxCallsPerS * RATE_SHARE * LIST_SHARE);
  }

  /** Returns the catalog of machine types, or null without a valid response. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    const response = await this.send('GET', cloudPaths.types, null);
    return response.status === 200 ? readMachineTypes(response.body) : null;
  }

  /** Reads all machines, page by page; returns null if a page can't be read, or `isActive` becomes false meanwhile. */
  async listMachines(isActive: () => boolean): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    for (let after = '', pages = 1; ; pages++) {
      const page = await this.readPage(after, isActive);
      if (!page) return null;
      machines.push(...page.machines);
      this.pageCount = Math.max(pages, this.pageCount - 1);
      if (!page.more || page.machines.length === 0) return machines;
      after = page.machines[page.machines.length - 1].id;
    }
  }

  /** Reads one page, retrying if it fails: restarting a list of many pages from scratch would never complete. */
  private async readPage(after: string, isActive: () => boolean): Promise<MachinePage | null> {
    for (let attempt = 0; attempt < MAX_PAGE_ATTEMPTS; attempt++) {
      while (isActive() && !this.callBudget.tryAcquire(1, CALLS_RESERVED_FROM_LISTS))
        await sleep(this.runtime.clock, 1000 / this.maxCallsPerS);
      if (!isActive()) return null;
      const response = await this.send('GET', cloudPaths.machineList(after), null);
      const page = response.status === 200 ? readMachinePage(response.body) : null;
      if (page) return page;
    }
    return null;
  }

  /** Requests `count` machines. The cloud executes a repeated `requestName` only once. */
  async requestMachines(
    requestName: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<MachineRequestResult> {
    const body = rentalBody(requestName, type, zone, spot, count);
    const response = await this.send('POST', cloudPaths.rental, body);
    const ids = response.status === 200 ? readRental(response.body) : null;
    if (ids) return { kind: 'granted', ids };
    if (response.status === 0) return { kind: 'indeterminate' };
    return response.status === 503 && response.body.error === 'no capacity'
      ? { kind: 'no-capacity' }
      : { kind: 'rejected' };
  }

  /** Returns true only if the cloud has confirmed the deletion: the machines and everything on them no longer exist. */
  async deleteMachines(ids: string[]): Promise<boolean> {
    const response = await this.send('POST', cloudPaths.deletion, deletionBody(ids));
    return response.status === 200;
  }

  private send(method: 'GET' | 'POST', path: string, body: Body | null): Promise<HttpResponse> {
    return this.runtime.http.send(this.address, method, path, body, REQUEST_TIMEOUT_MS);
  }
}
