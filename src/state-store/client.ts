/**
 * The client of the state service: typed results, a timeout for each request, and a budget within the
 * service's limits.
 */
import type {
  Mutation,
  Precondition,
  KeyValue,
  ReadResult,
  StateAccess,
  CompareAndSwapResult,
  WatchResult,
} from '@millring/state-access';
import type { Reply, Runtime } from '../runtime.js';
import type { PlatformSettings } from '../settings/platform.js';
import {
  leaseBody,
  readFailed,
  readLease,
  readWatchEvents,
  readPair,
  readPairs,
  readRevision,
  txnBody,
  statePaths,
} from '../wire/state.js';
import { TokenBucket } from './token-bucket.js';

export interface StoreLimits {
  address: string;
  nodes: number;
  rps: number;
  writeRps: number;
}

const TIMEOUT_MS = 2000;

/** A client within the limits that the platform has set. */
export function stateStoreOf(world: Runtime, settings: PlatformSettings): StateStore {
  return new StateStore(world, {
    address: settings.state,
    nodes: settings.nodes,
    rps: settings.stateRps,
    writeRps: settings.stateWriteRps,
  });
}

/**
 * The state service, met by its protocol. The service's limits are shared by all nodes without their talking
 * to each other: each holds to its share, and renewals are let through first.
 */
export class StateStore implements StateAccess {
  private readonly reads: TokenBucket;
  private readonly writes: TokenBucket;
  private lastSuccessAt: number;
  private lastFailureAt = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly limits: StoreLimits,
  ) {
    const now = () => runtime.clock.now();
    this.lastSuccessAt = now();
    // Load is uneven (the leader writes, users gather on one node): a fair third each would leave most unused.
    const share = (n: number) => Math.max(n * 0.5, (n * 0.95) / limits.nodes);
    this.reads = new TokenBucket(share(limits.rps), limits.rps * 0.9, now);
    this.writes = new TokenBucket(share(limits.writeRps), limits.writeRps * 0.9, now);
  }

  private async send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | null,
    timeoutMs = TIMEOUT_MS,
  ): Promise<Reply> {
    const { clock, http } = this.runtime;
    const sent = clock.now();
    const r = await http.send(
      this.limits.address,
      method,
      path,
      body as Reply['body'] | null,
      timeoutMs,
    );
    if (r.status === 0 || r.status === 503) this.lastFailureAt = sent;
    else this.lastSuccessAt = sent;
    return r;
  }

  /** For how long requests have not been served; 0 while the last one was. */
  unavailableForMs(): number {
    return this.lastFailureAt > this.lastSuccessAt
      ? this.runtime.clock.now() - this.lastSuccessAt
      : 0;
  }

  async get(key: string): Promise<ReadResult> {
    if (!this.reads.tryAcquire()) return { kind: 'unavailable' };
    const r = await this.send('GET', statePaths.key(key), null);
    if (r.status === 404) return { kind: 'absent', revision: readRevision(r.body) };
    const pair = r.status === 200 ? readPair(r.body) : null;
    return pair ? { kind: 'found', entry: pair } : { kind: 'unavailable' };
  }

  /** All pairs under the prefix, with the revision before the first page: a watch from there misses nothing. */
  async scan(prefix: string): Promise<{ pairs: KeyValue[]; revision: number } | null> {
    const all: KeyValue[] = [];
    let revision = -1;
    for (let after = ''; ;) {
      this.reads.acquireUnconditionally();
      const r = await this.send('GET', statePaths.scan(prefix, after), null);
      const page = r.status === 200 ? readPairs(r.body) : null;
      if (!page) return null;
      if (revision < 0) revision = page.revision;
      all.push(...page.pairs);
      if (!page.more || page.pairs.length === 0) return { pairs: all, revision };
      after = page.pairs[page.pairs.length - 1].key;
    }
  }

  /** `urgent` is for leadership: it does not wait for room in the budget. */
  async compareAndSwap(
    guards: Precondition[],
    changes: Mutation[],
    urgent = false,
  ): Promise<CompareAndSwapResult> {
    if (urgent) {
      this.reads.acquireUnconditionally();
      this.writes.acquireUnconditionally(changes.length);
    } else if (!this.writes.tryAcquire(changes.length) || !this.reads.tryAcquire()) {
      return { kind: 'rejected' };
    }
    const r = await this.send('POST', statePaths.txn, txnBody(guards, changes));
    if (r.status === 200) return { kind: 'committed', revision: readRevision(r.body) };
    if (r.status === 409) return { kind: 'conflict', failed: readFailed(r.body) };
    if (r.status === 400) {
      this.runtime.log.info({ body: r.body, guards, changes }, 'transaction refused as malformed');
      return { kind: 'invalid' };
    }
    return r.status === 0 ? { kind: 'indeterminate' } : { kind: 'rejected' };
  }

  async grantLease(ttlMs: number): Promise<number | null> {
    this.reads.acquireUnconditionally();
    const r = await this.send('POST', statePaths.leases, leaseBody(ttlMs));
    return r.status === 200 ? (readLease(r.body) ?? null) : null;
  }

  async renewLease(
    lease: number,
    ttlMs: number,
    timeoutMs: number,
  ): Promise<'renewed' | 'expired' | 'indeterminate'> {
    this.reads.acquireUnconditionally();
    const r = await this.send('POST', statePaths.renew(lease), leaseBody(ttlMs), timeoutMs);
    return r.status === 200 ? 'renewed' : r.status === 404 ? 'expired' : 'indeterminate';
  }

  async revokeLease(lease: number): Promise<boolean> {
    this.reads.acquireUnconditionally();
    const r = await this.send('DELETE', statePaths.lease(lease), null);
    return r.status === 200 || r.status === 204 || r.status === 404;
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    timeoutMs = waitMs + 3000,
  ): Promise<WatchResult> {
    this.reads.acquireUnconditionally();
    const r = await this.send('GET', statePaths.watch(prefix, after, waitMs), null, timeoutMs);
    if (r.status === 410) return { kind: 'compacted' };
    const n = r.status === 200 ? readWatchEvents(r.body) : null;
    return n ? { kind: 'events', ...n } : { kind: 'unavailable' };
  }
}
