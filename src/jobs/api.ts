/** Serves users: submissions, questions about jobs, and cancellations. Any controller does. */
import type { Mutation } from '@millring/state-access';
import type { Log } from '../runtime.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import type { Body } from '../wire/cbor.js';
import { HTTP_STATUS } from '../wire/http-status.js';
import type { JobSpec, MachineType } from '../wire/model.js';
import { isJobId, readJob } from '../wire/users.js';
import {
  type ApiResponse,
  NO_SUCH_JOB,
  STATE_UNAVAILABLE,
  STATE_UNREADABLE,
  TYPES_UNKNOWN,
  accepted,
  terminalJobResponse,
  impossible,
  invalidField,
  liveJobResponse,
} from './responses.js';
import type { CachedJob, JobCache } from './job-cache.js';
import { JobLookup, type StoredJob } from './job-lookup.js';
import type { Progress } from './job-table.js';
import { IMPOSSIBLE_TEXTS, impossibleReason } from './job-validation.js';
import { terminalKey, liveKey, minimalCancelledValue, newLiveValue } from './records.js';

/** What the users' API needs. */
export interface JobsApiDependencies {
  settings: Pick<PlatformSettings, 'teams'>;
  store: StateStore;
  cache: JobCache;
  /** Can this process read what is stored? If not, any answer might be wrong. */
  mayServe(): boolean;
  /** Null while the catalog is not known. */
  types(): MachineType[] | null;
  /** For display: what the leader last told of a job. */
  progress(id: string): Progress | undefined;
  /** A user is about to be told that the job is cancelled. */
  beforeConfirm(id: string): void;
  /** Time of day, in milliseconds. */
  wallMs(): number;
  log: Log;
}

/** A cancellation gives up after so many writes that met a record changed meanwhile. */
const MAX_CANCEL_ATTEMPTS = 4;

/** Users' requests. Each answer rests on a read as fresh as the question, or on a compare-and-swap. */
export class JobsApi {
  private readonly lookup: JobLookup;

  constructor(private readonly deps: JobsApiDependencies) {
    this.lookup = new JobLookup(deps.cache, deps.store);
  }

  /** Accepts a job, or tells the state of one that was accepted before under the same id. */
  async submit(body: Body): Promise<ApiResponse> {
    if (!this.deps.mayServe()) return STATE_UNREADABLE;
    const submission = readJob(body);
    if (submission.kind === 'invalid') return invalidField(submission.field);
    const { job } = submission;
    const types = this.deps.types();
    if (!types) return TYPES_UNKNOWN;
    const reason = impossibleReason(job, types, this.deps.settings.teams);
    if (reason !== null) {
      // Types can change: a repeat of a job that was accepted gets its state, whatever we would say today.
      const stored = await this.lookup.find(job.id);
      if (stored.kind === 'absent') return impossible(IMPOSSIBLE_TEXTS[reason]);
      return this.respond(job.id, stored);
    }
    if (this.lookup.isKnownTerminal(job.id))
      return this.respond(job.id, await this.lookup.find(job.id));
    const result = await this.deps.store.compareAndSwap(
      [
        { key: liveKey(job.id), version: 0 },
        { key: terminalKey(job.id), version: 0 },
      ],
      [
        {
          put: liveKey(job.id),
          value: newLiveValue(withKnownTypes(job, types), this.deps.wallMs()),
        },
      ],
    );
    if (result.kind === 'conflict') return this.respond(job.id, await this.lookup.find(job.id));
    if (result.kind !== 'committed') return STATE_UNAVAILABLE;
    this.logWritten(job.id, HTTP_STATUS.created, result.revision);
    return accepted(job.id);
  }

  /** Tells a job's state. */
  async poll(id: string): Promise<ApiResponse> {
    if (!this.deps.mayServe()) return STATE_UNREADABLE;
    if (!isJobId(id)) return NO_SUCH_JOB;
    return this.respond(id, await this.lookup.find(id));
  }

  /** Cancels a job. Once this is confirmed, the job's tasks stop within `cancel_s`. */
  async cancel(id: string): Promise<ApiResponse> {
    if (!this.deps.mayServe()) return STATE_UNREADABLE;
    if (!isJobId(id)) return NO_SUCH_JOB;
    const { store } = this.deps;
    for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt++) {
      const stored = await this.lookup.find(id);
      if (stored.kind !== 'live') return this.respond(id, stored);
      if (stored.record?.cancelled) return this.confirmCancelled(id);
      const preconditions = [{ key: liveKey(id), version: stored.version }];
      let result = await store.compareAndSwap(preconditions, cancellation(id, stored));
      // Stored when larger values were allowed: a confirmed cancellation must not depend on that.
      if (result.kind === 'invalid' && stored.record) {
        const value = minimalCancelledValue(stored.record);
        result = await store.compareAndSwap(preconditions, [{ put: liveKey(id), value }]);
      }
      if (result.kind === 'conflict') continue;
      if (result.kind !== 'committed') return STATE_UNAVAILABLE;
      this.logWritten(id, HTTP_STATUS.ok, result.revision);
      return this.confirmCancelled(id);
    }
    return STATE_UNAVAILABLE;
  }

  /** The answer that rests on what was read; the log tells on what. */
  private respond(id: string, stored: StoredJob): ApiResponse {
    const response = this.responseFor(id, stored);
    const version = stored.kind === 'live' ? stored.version : undefined;
    this.deps.log.debug({ id, status: response.status, read: stored.kind, version }, 'answer');
    return response;
  }

  private logWritten(id: string, status: number, written: number): void {
    this.deps.log.debug({ id, status, written }, 'answer');
  }

  private responseFor(id: string, stored: StoredJob): ApiResponse {
    switch (stored.kind) {
      case 'unavailable':
        return STATE_UNAVAILABLE;
      case 'absent':
        return NO_SUCH_JOB;
      case 'ended':
        return terminalJobResponse(id, stored);
      case 'live':
        if (stored.record?.cancelled) return this.confirmCancelled(id);
        return liveJobResponse(id, this.deps.progress(id));
    }
  }

  private confirmCancelled(id: string): ApiResponse {
    this.deps.beforeConfirm(id);
    return terminalJobResponse(id, { state: 'cancelled', tasks: 0 });
  }
}

/** Types that nobody knows are of no use, and a record must stay within what a value may hold. */
function withKnownTypes(job: JobSpec, types: MachineType[]): JobSpec {
  const known = job.types?.filter((name) => types.some((type) => type.name === name)) ?? null;
  return { ...job, types: known };
}

/** A record that can't be read was never acted on, so that its job ends at once. */
function cancellation(id: string, { record, value }: CachedJob): Mutation[] {
  if (record) return [{ put: liveKey(id), value: { ...(value as object), cancelled: true } }];
  return [
    { remove: liveKey(id) },
    { put: terminalKey(id), value: { state: 'cancelled', tasks: 0 } },
  ];
}
