/** The API for users, which submit jobs, read their state and cancel them. Every controller serves it. */
import type { Mutation } from '@millring/state-access';
import type { Log } from '../runtime.js';
import type { JobProgress } from '../progress/job-progress.js';
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
  acceptedResponse,
  terminalJobResponse,
  impossibleJobResponse,
  invalidFieldResponse,
  liveJobResponse,
} from './responses.js';
import type { CachedJob, JobCache } from './job-cache.js';
import { JobLookup, type StoredJob } from './job-lookup.js';
import { IMPOSSIBLE_TEXTS, impossibleReason } from './job-validation.js';
import { terminalKey, liveKey, minimalCancelledValue, newLiveValue } from './records.js';

/** Dependencies of the users' API. */
export interface JobsApiDependencies {
  settings: Pick<PlatformSettings, 'teams'>;
  store: StateStore;
  cache: JobCache;
  /** Whether this process can read the stored state. If not, any response might be wrong. */
  mayServe(): boolean;
  /** Returns the machine types, or null while the catalog is unknown. */
  types(): MachineType[] | null;
  progress: Pick<JobProgress, 'progressOf' | 'untilKnown'>;
  /** Called before a cancellation is confirmed to a user. */
  beforeConfirm(id: string): void;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  wallMs(): number;
  log: Log;
}

/** Number of conflicting writes after which a cancellation gives up. */
const MAX_CANCEL_ATTEMPTS = 4;

/** Handles users' requests. Each response is based on a read as recent as the request, or on a compare-and-swap. */
export class JobsApi {
  private readonly lookup: JobLookup;

  constructor(private readonly deps: JobsApiDependencies) {
    this.lookup = new JobLookup(deps.cache, deps.store);
  }

  /** Accepts a job, or returns the state of one that was accepted before under the same id. */
  async submit(body: Body): Promise<ApiResponse> {
    if (!this.deps.mayServe()) return STATE_UNREADABLE;
    const submission = readJob(body);
    if (submission.kind === 'invalid') return invalidFieldResponse(submission.field);
    const { job } = submission;
    const types = this.deps.types();
    if (!types) return TYPES_UNKNOWN;
    const reason = impossibleReason(job, types, this.deps.settings.teams);
    if (reason !== null) {
      // Machine types can change: a repeated submission of an accepted job gets its state, even if it were refused now.
      const stored = await this.find(job.id);
      if (stored.kind === 'absent') return impossibleJobResponse(IMPOSSIBLE_TEXTS[reason]);
      return this.respond(job.id, stored);
    }
    if (this.lookup.isKnownTerminal(job.id)) return this.respond(job.id, await this.find(job.id));
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
    if (result.kind === 'conflict') return this.respond(job.id, await this.find(job.id));
    if (result.kind !== 'committed') return STATE_UNAVAILABLE;
    this.logWritten(job.id, HTTP_STATUS.created, result.revision);
    return acceptedResponse(job.id);
  }

  /** Returns a job's state. */
  async poll(id: string): Promise<ApiResponse> {
    if (!this.deps.mayServe()) return STATE_UNREADABLE;
    if (!isJobId(id)) return NO_SUCH_JOB;
    return this.respond(id, await this.find(id));
  }

  /** Reads the stored job. If it is live, waits until its progress is known, and reads the job again: it may be over. */
  private async find(id: string): Promise<StoredJob> {
    const { progress } = this.deps;
    const stored = await this.lookup.find(id);
    const needsProgress = stored.kind === 'live' && stored.record?.cancelled !== true;
    if (!needsProgress || progress.progressOf(id) !== null) return stored;
    await progress.untilKnown(id);
    return this.lookup.find(id);
  }

  /** Cancels a job. The job's tasks stop within `cancel_s` of the confirmation. */
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
      // The record was stored when larger values were allowed; cancellation must not fail because of its size.
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

  /** Returns the response based on the stored job, and logs the kind and version that were read. */
  private respond(id: string, stored: StoredJob): ApiResponse {
    const response = this.responseFor(id, stored);
    const version = stored.kind === 'live' ? stored.version : undefined;
    this.deps.log.debug({ id, status: response.status, read: stored.kind, version }, 'response');
    return response;
  }

  private logWritten(id: string, status: number, written: number): void {
    this.deps.log.debug({ id, status, written }, 'response');
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
        return liveJobResponse(id, this.deps.progress.progressOf(id));
    }
  }

  private confirmCancelled(id: string): ApiResponse {
    this.deps.beforeConfirm(id);
    return terminalJobResponse(id, { state: 'cancelled', tasks: 0 });
  }
}

/** Drops unknown machine types: they have no use, and the record must stay within the size limit of a value. */
function withKnownTypes(job: JobSpec, types: MachineType[]): JobSpec {
  const known = job.types?.filter((name) => types.some((type) => type.name === name)) ?? null;
  return { ...job, types: known };
}

/**
 * Returns the mutations that cancel a job. A job whose record is unreadable was never acted on, so it becomes terminal
 * at once.
 */
function cancellation(id: string, { record, value }: CachedJob): Mutation[] {
  if (record) return [{ put: liveKey(id), value: { ...(value as object), cancelled: true } }];
  return [
    { remove: liveKey(id) },
    { put: terminalKey(id), value: { state: 'cancelled', tasks: 0 } },
  ];
}
