/**
 * Client of the state service, with typed results, a timeout for each request, and a request budget within the
 * service's limits.
 */
import type {
  CompareAndSwapResult,
  KeyValue,
  LeaseRenewal,
  Mutation,
  Precondition,
  ReadResult,
  Snapshot,
  StateAccess,
  WatchResult,
} from '@millring/state-access';
import type { HttpResponse, Runtime } from '../runtime.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { Body } from '../wire/cbor.js';
import { HTTP_STATUS, isNoResponse } from '../wire/http-status.js';
import {
  compareAndSwapBody,
  leaseBody,
  readFailedKeys,
  readKeyValue,
  readLeaseId,
  readRevision,
  readScanPage,
  readWatchEvents,
  statePaths,
} from '../wire/state.js';
import { TokenBucket } from './token-bucket.js';

/** Address of the state service, and its rate limits for all controllers together. */
export interface StateStoreOptions {
  address: string;
  /** Number of controllers that share the limits. */
  nodes: number;
  /** Requests per second. */
  rps: number;
  /** Mutations per second. */
  writeRps: number;
}

const TIMEOUT_MS = 2000;
/** Time by which the timeout of a watch request exceeds the time for which the service may block the watch. */
const WATCH_TIMEOUT_MARGIN_MS = 3000;

/**
 * Minimum share of the limit for one controller. Load is uneven (the leader writes, users concentrate on one
 * controller), so an even share would leave most of the limit unused.
 */
const MIN_SHARE_OF_LIMIT = 0.5;
/** Share of the limit that is divided evenly among the controllers. */
const EVENLY_DIVIDED_SHARE = 0.95;
/** Share of the limit that one controller may use in a burst. */
const BURST_SHARE = 0.9;

/** Creates a client with the limits from the platform settings. */
export function createStateStore(runtime: Runtime, settings: PlatformSettings): StateStore {
  return new StateStore(runtime, {
    address: settings.stateAddress,
    nodes: settings.controllerCount,
    rps: settings.stateRequestsPerS,
    writeRps: settings.stateWritesPerS,
  });
}

function sharedBucket(limitPerS: number, controllerCount: number, now: () => number): TokenBucket {
  const ratePerS = Math.max(
    limitPerS * MIN_SHARE_OF_LIMIT,
    (limitPerS * EVENLY_DIVIDED_SHARE) / controllerCount,
  );
  return new TokenBucket(ratePerS, limitPerS * BURST_SHARE, now);
}

/**
 * Accesses the state service by its protocol. All controllers share the service's limits without coordination: each
 * keeps to its own budget. `get` and `compareAndSwap` fail at once, without a request, if the budget is used up. Scans,
 * watches, all lease requests and urgent compare-and-swaps are sent in any case and charged to the budget, so that
 * lease renewals have precedence.
 */
export class StateStore implements StateAccess {
  private readonly reads: TokenBucket;
  private readonly writes: TokenBucket;
  /** Send times of the last request that got a response other than 503, and of the last one that got none or a 503. */
  private lastSuccessAt: number;
  private lastFailureAt = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: StateStoreOptions,
  ) {
    const now = () => runtime.clock.now();
    this.lastSuccessAt = now();
    this.reads = sharedBucket(options.rps, options.nodes, now);
    this.writes = sharedBucket(options.writeRps, options.nodes, now);
  }

  private async send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: Body | null,
    timeoutMs = TIMEOUT_MS,
  ): Promise<HttpResponse> {
    const { clock, http } = this.runtime;
    const sentAt = clock.now();
    const response = await http.send(this.options.address, method, path, body, timeoutMs);
    if (isNoResponse(response) || response.status === HTTP_STATUS.serviceUnavailable)
      this.lastFailureAt = sentAt;
    else this.lastSuccessAt = sentAt;
    return response;
  }

  /**
   * Returns for how long the service has been unavailable: the milliseconds since the last request that got a response
   * other than 503 was sent, or since this client was created if there was none; 0 if no later request has failed.
   */
  unavailableForMs(): number {
    return this.lastFailureAt > this.lastSuccessAt
      ? this.runtime.clock.now() - this.lastSuccessAt
      : 0;
  }

  async get(key: string): Promise<ReadResult> {
    if (!this.reads.tryAcquire()) return { kind: 'unavailable' };
    const { status, body } = await this.send('GET', statePaths.key(key), null);
    if (status === HTTP_STATUS.notFound) return { kind: 'absent', revision: readRevision(body) };
    const entry = status === HTTP_STATUS.ok ? readKeyValue(body) : null;
    return entry ? { kind: 'found', entry } : { kind: 'unavailable' };
  }

  async scan(prefix: string): Promise<Snapshot | null> {
    const pairs: KeyValue[] = [];
    let revision: number | null = null;
    for (let after = ''; ;) {
      this.reads.acquireUnconditionally();
      const { status, body } = await this.send('GET', statePaths.scan(prefix, after), null);
      const page = status === HTTP_STATUS.ok ? readScanPage(body) : null;
      if (!page) return null;
      revision ??= page.revision;
      pairs.push(...page.pairs);
      if (!page.more || page.pairs.length === 0) return { pairs, revision };
      after = page.pairs[page.pairs.length - 1].key;
    }
  }

  /** `urgent` is for requests on leadership, which are sent even if the budget is used up. */
  async compareAndSwap(
    preconditions: Precondition[],
    mutations: Mutation[],
    urgent = false,
  ): Promise<CompareAndSwapResult> {
    if (urgent) {
      this.reads.acquireUnconditionally();
      this.writes.acquireUnconditionally(mutations.length);
    } else if (!this.writes.tryAcquire(mutations.length) || !this.reads.tryAcquire()) {
      return { kind: 'rejected' };
    }
    const response = await this.send(
      'POST',
      statePaths.compareAndSwap,
      compareAndSwapBody(preconditions, mutations),
    );
    if (response.status === HTTP_STATUS.badRequest) {
      const fields = { body: response.body, preconditions, mutations };
      this.runtime.log.info(fields, 'state service rejected a compare-and-swap as invalid');
    }
    return compareAndSwapResult(response);
  }

  async grantLease(ttlMs: number): Promise<number | null> {
    this.reads.acquireUnconditionally();
    const { status, body } = await this.send('POST', statePaths.leases, leaseBody(ttlMs));
    return status === HTTP_STATUS.ok ? (readLeaseId(body) ?? null) : null;
  }

  async renewLease(lease: number, ttlMs: number, timeoutMs: number): Promise<LeaseRenewal> {
    this.reads.acquireUnconditionally();
    const path = statePaths.renewLease(lease);
    const { status } = await this.send('POST', path, leaseBody(ttlMs), timeoutMs);
    if (status === HTTP_STATUS.ok) return 'renewed';
    return status === HTTP_STATUS.notFound ? 'expired' : 'indeterminate';
  }

  async revokeLease(lease: number): Promise<boolean> {
    this.reads.acquireUnconditionally();
    const { status } = await this.send('DELETE', statePaths.lease(lease), null);
    return (
      status === HTTP_STATUS.ok ||
      status === HTTP_STATUS.noContent ||
      status === HTTP_STATUS.notFound
    );
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    timeoutMs = waitMs + WATCH_TIMEOUT_MARGIN_MS,
  ): Promise<WatchResult> {
    this.reads.acquireUnconditionally();
    const path = statePaths.watch(prefix, after, waitMs);
    const { status, body } = await this.send('GET', path, null, timeoutMs);
    if (status === HTTP_STATUS.gone) return { kind: 'compacted' };
    const read = status === HTTP_STATUS.ok ? readWatchEvents(body) : null;
    return read ? { kind: 'events', ...read } : { kind: 'unavailable' };
  }
}

function compareAndSwapResult(response: HttpResponse): CompareAndSwapResult {
  switch (response.status) {
    case HTTP_STATUS.ok:
      return { kind: 'committed', revision: readRevision(response.body) };
    case HTTP_STATUS.conflict:
      return { kind: 'conflict', failed: readFailedKeys(response.body) };
    case HTTP_STATUS.badRequest:
      return { kind: 'invalid' };
    default:
      return isNoResponse(response) ? { kind: 'indeterminate' } : { kind: 'rejected' };
  }
}
