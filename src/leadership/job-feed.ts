/** Loads the stored jobs into the leader's tables and follows changes to them. */
import type { KeyValue, WatchEvent } from '@millring/state-access';
import { type Runtime, sleep } from '../runtime.js';
import { readFinishedRecord } from '../jobs/finished-records.js';
import { FINISHED_PREFIX, LIVE_PREFIX } from '../jobs/records.js';
import type { Job } from '../jobs/job.js';
import type { JobTable } from '../jobs/job-table.js';
import type { StateStore } from '../state-store/client.js';

const WATCH_MS = 10_000;
const RETRY_MS = 200;

/** The sources from which the feed reads jobs, and its callbacks for changes. */
export interface JobFeedDependencies {
  runtime: Runtime;
  store: StateStore;
  jobs: JobTable;
  /** Whether the term is serving; `follow` returns when it no longer is. */
  isServing(): boolean;
  /** Called for each live record that is new or has changed. */
  liveRecordStored(id: string, value: unknown, version: number): void;
  /** Called when the live record of a job was deleted. */
  liveRecordRemoved(job: Job): void;
  /** Called once after each batch of changes. */
  jobsChanged(): void;
}

/** Callbacks for stored records of finished tasks. */
export interface FinishedRecordListener {
  /** Called for each record whose job is live. */
  finishedRecordFound(job: Job, recordNumber: number): void;
  /** Called for each record whose job is in a terminal state. */
  orphanFound(key: string): void;
}

/** Reads the live job records for the leader and reports each change to them. */
export class JobFeed {
  constructor(private readonly deps: JobFeedDependencies) {}

  /** Loads the live jobs and their finished tasks, as read by a new leader. */
  load(
    live: readonly KeyValue[],
    finished: readonly KeyValue[],
    listener: FinishedRecordListener,
  ): void {
    for (const entry of live) this.applyStored(entry);
    const liveKeys = new Set(live.map((entry) => entry.key));
    for (const entry of finished) {
      const [id, recordNumber] = entry.key.slice(FINISHED_PREFIX.length).split('/');
      const job = this.deps.jobs.get(id);
      if (job) {
        listener.finishedRecordFound(job, Number(recordNumber));
        this.loadFinished(job, Number(recordNumber), entry.value);
      } else if (!liveKeys.has(LIVE_PREFIX + id)) {
        listener.orphanFound(entry.key);
      }
    }
  }

  private loadFinished(job: Job, recordNumber: number, value: unknown): void {
    const record = readFinishedRecord(recordNumber, value);
    if (record.kind === 'readable') {
      job.loadFinished(record.firstTask, record.bits);
      return;
    }
    const fields = { id: job.spec.id, recordNumber, reason: record.reason };
    this.deps.runtime.log.error(fields, 'unreadable record of finished tasks');
  }

  /** Applies all changes after the given revision, until the term ends. */
  async follow(sinceRevision: number): Promise<void> {
    const { store, runtime } = this.deps;
    let revision = sinceRevision;
    while (this.deps.isServing()) {
      const result = await store.watch(LIVE_PREFIX, revision, WATCH_MS);
      if (!this.deps.isServing()) return;
      if (result.kind === 'events') {
        revision = Math.max(revision, result.revision);
        for (const event of result.events) this.applyEvent(event);
        if (result.events.length > 0) this.deps.jobsChanged();
      } else if (result.kind === 'unavailable') {
        await sleep(runtime.clock, RETRY_MS);
      } else {
        revision = (await this.reload()) ?? revision;
      }
    }
  }

  private applyStored({ key, value, version }: KeyValue): void {
    this.deps.liveRecordStored(key.slice(LIVE_PREFIX.length), value, version);
  }

  private applyEvent(event: WatchEvent): void {
    if (!event.deleted) {
      this.applyStored(event);
      return;
    }
    const job = this.deps.jobs.get(event.key.slice(LIVE_PREFIX.length));
    if (job && job.version < event.version) this.deps.liveRecordRemoved(job);
  }

  /**
   * Reads all jobs again, after the state service has compacted the changes that follow the current revision. Returns
   * the revision of the read, or null if the jobs could not be read.
   */
  private async reload(): Promise<number | null> {
    const all = await this.deps.store.scan(LIVE_PREFIX);
    if (!all) return null;
    const liveKeys = new Set(all.pairs.map((pair) => pair.key));
    for (const job of [...this.deps.jobs.all()])
      if (!liveKeys.has(LIVE_PREFIX + job.spec.id) && job.version <= all.revision)
        this.deps.liveRecordRemoved(job);
    for (const entry of all.pairs) this.applyStored(entry);
    this.deps.jobsChanged();
    return all.revision;
  }
}
