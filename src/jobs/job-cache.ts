/** A cache of the live job records, which one request refreshes for all waiting callers. */
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import { type Runtime, sleep } from '../runtime.js';
import type { Cancellations } from './cancellations.js';
import { LIVE_PREFIX, type LiveJobRecord, readLive } from './records.js';

/** The record of a live job at the last read. */
export interface CachedJob {
  /** Null if the record is stored but cannot be read. */
  record: LiveJobRecord | null;
  /** The stored value, including unknown fields (written by other versions). */
  value: unknown;
  /** Version of the record at the last read. */
  version: number;
}

/** Share of the state service's request limit, over all nodes, that is used to read jobs that users ask about. */
const REQUEST_LIMIT_SHARE = 0.35;
/** Half the time that a user waits for a response. */
const REQUEST_TIMEOUT_MS = 1200;

/** Creates a cache that keeps to its share of the state service's limit, and that records cancellations. */
export function createJobCache(
  runtime: Runtime,
  store: StateStore,
  settings: Pick<PlatformSettings, 'controllerCount' | 'stateRequestsPerS'>,
  cancellations: Cancellations,
): JobCache {
  const minIntervalMs =
    (1000 * settings.controllerCount) / (settings.stateRequestsPerS * REQUEST_LIMIT_SHARE);
  return new JobCache(
    runtime,
    store,
    minIntervalMs,
    (id) => {
      cancellations.record(id);
    },
    (readAt) => {
      cancellations.advanceWatermark(readAt);
    },
  );
}

/**
 * This node's copy of the live records, with linearizable reads. A separate request for each read would exceed the
 * capacity of the state service, so one request for all changes since the last one (a watch that doesn't wait) serves
 * all reads that began before it was sent.
 */
export class JobCache {
  private readonly jobs = new Map<string, CachedJob>();
  /** Revision up to which all changes are applied; null if nothing has been loaded. */
  private revision: number | null = null;
  private waiters: ((ok: boolean) => void)[] = [];
  private refreshing = false;
  private lastSentAt = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly store: StateStore,
    /** Minimum time between requests, since all nodes share the rate limit. */
    private readonly minIntervalMs: number,
    /** Called when a record read shows that its job is cancelled. */
    private readonly onCancelled: (id: string) => void = () => undefined,
    /** Called when all changes made before `sentAt` have been read. */
    private readonly onReadUpTo: (sentAt: number) => void = () => undefined,
  ) {}

  get(id: string): CachedJob | undefined {
    return this.jobs.get(id);
  }

  /** Resolves to true once all changes before the call are applied, or to false if the state service is unavailable. */
  refresh(): Promise<boolean> {
    return new Promise((done) => {
      this.waiters.push(done);
      if (!this.refreshing) void this.serveWaiters();
    });
  }

  private async serveWaiters(): Promise<void> {
    const { clock } = this.runtime;
    this.refreshing = true;
    while (this.waiters.length > 0) {
      const waitMs = this.lastSentAt + this.minIntervalMs - clock.now();
      if (waitMs > 0) await sleep(clock, waitMs);
      const served = this.waiters;
      this.waiters = [];
      this.lastSentAt = clock.now();
      const ok =
        this.revision === null ? await this.load() : await this.applyChanges(this.revision);
      if (ok) this.onReadUpTo(this.lastSentAt);
      for (const done of served) done(ok);
    }
    this.refreshing = false;
  }

  private async load(): Promise<boolean> {
    const all = await this.store.scan(LIVE_PREFIX);
    if (!all) return false;
    this.jobs.clear();
    for (const { key, value, version } of all.pairs) this.put(key, value, version);
    // Only the first page is as old as the revision; later pages may be newer. So all changes after the revision are
    // read again and applied.
    this.revision = all.revision;
    return this.applyChanges(all.revision);
  }

  private async applyChanges(after: number): Promise<boolean> {
    const changes = await this.store.watch(LIVE_PREFIX, after, 0, REQUEST_TIMEOUT_MS);
    if (changes.kind === 'compacted') {
      this.revision = null;
      return this.load();
    }
    if (changes.kind === 'unavailable') return false;
    for (const event of changes.events) {
      if (event.deleted) this.jobs.delete(event.key.slice(LIVE_PREFIX.length));
      else this.put(event.key, event.value, event.version);
    }
    this.revision = Math.max(after, changes.revision);
    return true;
  }

  private put(key: string, value: unknown, version: number): void {
    const id = key.slice(LIVE_PREFIX.length);
    const record = readLive(value);
    if (!record) this.runtime.log.error({ id }, 'unreadable job record');
    if (record?.cancelled) this.onCancelled(id);
    this.jobs.set(id, { record: record?.spec.id === id ? record : null, value, version });
  }
}
