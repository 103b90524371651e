/** A copy of the live job records, brought up to date by one request for all questions that wait. */
import type { StateStore } from '../state-store/client.js';
import { type Runtime, sleep } from '../runtime.js';
import { LIVE, type LiveRecord, readLive } from './records.js';

export interface CachedJob {
  /** Null: it stands there, but can't be read. */
  record: LiveRecord | null;
  /** As it stands there, with what only another version knows. */
  value: unknown;
  version: number;
}

/** One request may take as long as this; a user waits twice as long. */
const TIMEOUT_MS = 1200;

/**
 * Live records as this node knows them. An answer must be at least as fresh as its question, but a read for
 * each question would cost more than the state service has to give: so one request for all changes since the
 * last one (a watch that doesn't wait) serves all questions that came before it was sent.
 */
export class JobCache {
  private readonly jobs = new Map<string, CachedJob>();
  private since = -1;
  private waiters: ((ok: boolean) => void)[] = [];
  private serving = false;
  private lastSent = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly store: StateStore,
    /** Requests are at least so far apart, since all nodes share the rate. */
    private readonly minIntervalMs: number,
    /** The job is called off, by its record. */
    private readonly cancelled: (id: string) => void = () => undefined,
    /** All that was changed before then has been read. */
    private readonly readUpTo: (sent: number) => void = () => undefined,
  ) {}

  get(id: string): CachedJob | undefined {
    return this.jobs.get(id);
  }

  /** True once all that was changed before the call is here; false if the state service can't tell. */
  refresh(): Promise<boolean> {
    return new Promise((done) => {
      this.waiters.push(done);
      if (!this.serving) void this.serveWaiters();
    });
  }

  private async serveWaiters(): Promise<void> {
    const { clock } = this.runtime;
    this.serving = true;
    while (this.waiters.length > 0) {
      const early = this.lastSent + this.minIntervalMs - clock.now();
      if (early > 0) await sleep(clock, early);
      const served = this.waiters;
      this.waiters = [];
      this.lastSent = clock.now();
      const ok = this.since < 0 ? await this.load() : await this.follow();
      if (ok) this.readUpTo(this.lastSent);
      for (const done of served) done(ok);
    }
    this.serving = false;
  }

  private async load(): Promise<boolean> {
    const all = await this.store.scan(LIVE);
    if (!all) return false;
    this.jobs.clear();
    for (const p of all.pairs) this.put(p.key, p.value, p.version);
    // Only the first page is as old as the revision: what changed since is read over, and may be newer.
    this.since = all.revision;
    return this.follow();
  }

  private async follow(): Promise<boolean> {
    const w = await this.store.watch(LIVE, this.since, 0, TIMEOUT_MS);
    if (w.kind === 'compacted') {
      this.since = -1;
      return this.load();
    }
    if (w.kind === 'unavailable') return false;
    for (const n of w.events) {
      if (n.deleted) this.jobs.delete(n.key.slice(LIVE.length));
      else this.put(n.key, n.value, n.version);
    }
    this.since = Math.max(this.since, w.revision);
    return true;
  }

  private put(key: string, value: unknown, version: number): void {
    const id = key.slice(LIVE.length);
    const record = readLive(value);
    if (!record) this.runtime.log.error({ id }, 'unreadable job record');
    if (record?.cancelled) this.cancelled(id);
    this.jobs.set(id, { record: record?.spec.id === id ? record : null, value, version });
  }
}
