/** Brings the stored jobs into the leader's tables, and follows their changes. */
import type { KeyValue, WatchEvent } from '@millring/state-access';
import { type Runtime, sleep } from '../runtime.js';
import { readFinishedRecord } from '../jobs/finished-records.js';
import { FINISHED, LIVE } from '../jobs/records.js';
import type { Job, JobTable } from '../jobs/job-table.js';
import type { StateStore } from '../state-store/client.js';

const WATCH_MS = 10_000;
const RETRY_MS = 200;

export interface JobFeedDependencies {
  runtime: Runtime;
  store: StateStore;
  jobs: JobTable;
  /** Does the leader's claim still stand? */
  isActive(): boolean;
  /** A live record, new or changed. */
  recordStored(id: string, value: unknown, version: number): void;
  /** The live record is gone. */
  recordRemoved(job: Job): void;
  /** Something has changed. */
  jobsChanged(): void;
}

export class JobFeed {
  constructor(private readonly deps: JobFeedDependencies) {}

  private take(pair: KeyValue): void {
    this.deps.recordStored(pair.key.slice(LIVE.length), pair.value, pair.version);
  }

  /** The live jobs and their finished tasks, as read on taking over; records whose job has ended are told. */
  load(
    live: KeyValue[],
    finished: KeyValue[],
    written: (job: Job, recordNumber: number) => void,
    leftOver: (key: string) => void,
  ): void {
    for (const pair of live) this.take(pair);
    const liveKeys = new Set(live.map((pair) => pair.key));
    for (const pair of finished) {
      const [id, number] = pair.key.slice(FINISHED.length).split('/');
      const job = this.deps.jobs.get(id);
      if (!job && !liveKeys.has(LIVE + id)) leftOver(pair.key);
      if (!job) continue;
      written(job, Number(number));
      this.takeFinished(job, Number(number), pair.value);
    }
  }

  private takeFinished(job: Job, recordNumber: number, value: unknown): void {
    const record = readFinishedRecord(recordNumber, value);
    if (record.kind === 'readable') {
      job.loadFinished(record.firstTask, record.bits);
      return;
    }
    const fields = { id: job.spec.id, recordNumber, reason: record.reason };
    this.deps.runtime.log.error(fields, 'unreadable record of finished tasks');
  }

  async follow(since: number): Promise<void> {
    const { store, runtime } = this.deps;
    while (this.deps.isActive()) {
      const answer = await store.watch(LIVE, since, WATCH_MS);
      if (!this.deps.isActive()) return;
      if (answer.kind === 'events') {
        since = Math.max(since, answer.revision);
        for (const event of answer.events) this.apply(event);
        if (answer.events.length > 0) this.deps.jobsChanged();
      } else if (answer.kind === 'unavailable') {
        await sleep(runtime.clock, RETRY_MS);
      } else {
        since = (await this.reload()) ?? since;
      }
    }
  }

  private apply(event: WatchEvent): void {
    const id = event.key.slice(LIVE.length);
    if (!event.deleted) {
      this.deps.recordStored(id, event.value, event.version);
      return;
    }
    const job = this.deps.jobs.get(id);
    if (job && job.version < event.version) this.deps.recordRemoved(job);
  }

  /** The changes since are not kept any more: everything is read again. */
  private async reload(): Promise<number | null> {
    const all = await this.deps.store.scan(LIVE);
    if (!all) return null;
    const live = new Set(all.pairs.map((pair) => pair.key));
    for (const job of [...this.deps.jobs.all()])
      if (!live.has(LIVE + job.spec.id) && job.version <= all.revision)
        this.deps.recordRemoved(job);
    for (const pair of all.pairs) this.take(pair);
    this.deps.jobsChanged();
    return all.revision;
  }
}
