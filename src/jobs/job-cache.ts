/** A read-through cache of the live job records, brought up to date by one request for all callers that wait. */
import type { StateStore } from '../state-store/client.js';
import { type Runtime, sleep } from '../runtime.js';
import { LIVE_PREFIX, type LiveJobRecord, readLive } from './records.js';

/** A live job's record as it was last read. */
export interface CachedJob {
  /** Null: it stands there, but can't be read. */
  record: LiveJobRecord | null;
  /** As it stands there, with what only another version knows. */
  value: unknown;
  version: number;
}

/** A user waits twice as long. */
const REQUEST_TIMEOUT_MS = 1200;

/**
 * Live records as this node knows them, with linearizable reads. A read for each of them would cost more than the
 * state service has to give: so one request for all changes since the last one (a watch that doesn't wait) serves all
 * reads that began before it was sent.
 */
export class JobCache {
  private readonly jobs = new Map<string, CachedJob>();
  /** Revision up to which all changes are here; null: nothing has been loaded. */
  private revision: number | null = null;
  private waiters: ((ok: boolean) => void)[] = [];
  private refreshing = false;
  private lastSentAt = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly store: StateStore,
    /** Requests are at least so far apart, since all nodes share the rate. */
    private readonly minIntervalMs: number,
    /** The job is cancelled, by its record. */
    private readonly onCancelled: (id: string) => void = () => undefined,
    /** All that was changed before then has been read. */
    private readonly onReadUpTo: (sentAt: number) => void = () => undefined,
  ) {}

  get(id: string): CachedJob | undefined {
    return this.jobs.get(id);
  }

  /** True once all that was changed before the call is here; false if the state service can't tell. */
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
    // Only the first page is as old as the revision: what changed since is read over, and may be newer.
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
