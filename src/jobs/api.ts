/** Answers users: submissions, questions about jobs, and cancellations. Any controller serves them. */
import type { Mutation } from '@millring/state-access';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import type { Log } from '../runtime.js';
import type { Body } from '../wire/cbor.js';
import type { JobSpec, MachineType } from '../wire/model.js';
import { isJobId, jobAnswer, readJob } from '../wire/users.js';
import type { Progress } from './job-table.js';
import type { JobCache, CachedJob } from './job-cache.js';
import { type LiveRecord, endedKey, liveKey, minimalCancelled, readEnded } from './records.js';

export interface Answer {
  status: number;
  body: Body;
  retryAfterS?: number;
}

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
  wallMs(): number;
  log: Log;
}

type Known =
  | ({ kind: 'live' } & CachedJob)
  | { kind: 'ended'; state: 'done' | 'cancelled'; tasks: number }
  | { kind: 'absent' }
  | { kind: 'unavailable' };

const ENDED_CACHE = 5000;
const EXCLUDED: Answer = {
  status: 503,
  body: { error: 'this node cannot read the stored state' },
  retryAfterS: 1,
};
const LATER: Answer = { status: 503, body: { error: 'state service not reached' }, retryAfterS: 1 };

/** Users' requests. Any node serves them: each answer rests on a read as fresh as the question, or a guarded write. */
export class JobsApi {
  /** Only ended jobs are kept in memory: they never change again. */
  private readonly ended = new Map<string, { state: 'done' | 'cancelled'; tasks: number }>();

  constructor(private readonly deps: JobsApiDependencies) {}

  /** Null, or why the job can never run. */
  private impossible(j: JobSpec, types: MachineType[]): string | null {
    const team = this.deps.settings.teams.find((t) => t.name === j.team);
    if (!team) return 'unknown team';
    const fitting = types.filter(
      (t) =>
        (j.types === null || j.types.includes(t.name)) &&
        (j.zone === null || t.zones.includes(j.zone)) &&
        t.cpus >= j.cpus &&
        t.gpus >= j.gpus &&
        t.memoryGb >= j.memoryGb,
    );
    if (fitting.length === 0) return 'a task fits no allowed machine type';
    // At most half of the tasks, rounded up, may be in one zone: of two or more, not all.
    const zones = new Set(fitting.flatMap((t) => t.zones));
    if (j.spread && j.tasks > 1 && (j.zone !== null || j.oneZone || zones.size < 2))
      return 'tasks must be apart, and there is one zone for them';
    const atOnce = j.kind === 'array' ? 1 : j.tasks;
    if (j.cpus * atOnce > team.cpusMax || j.gpus * atOnce > team.gpusMax)
      return "over the team's limit";
    return null;
  }

  private rememberEnded(id: string, e: { state: 'done' | 'cancelled'; tasks: number }): void {
    const oldest = this.ended.keys().next();
    if (this.ended.size >= ENDED_CACHE && !oldest.done) this.ended.delete(oldest.value);
    this.ended.set(id, e);
  }

  /**
   * The live record is read first. A job moves from live to ended in one transaction, so one that is missing
   * from both, read in this order, was never accepted; the other order could miss a job on its way.
   */
  private async look(id: string): Promise<Known> {
    const cached = this.ended.get(id);
    if (cached) return { kind: 'ended', ...cached };
    if (!(await this.deps.cache.refresh())) return { kind: 'unavailable' };
    const live = this.deps.cache.get(id);
    if (live) return { kind: 'live', ...live };
    const ended = await this.deps.store.get(endedKey(id));
    if (ended.kind === 'unavailable') return { kind: 'unavailable' };
    if (ended.kind === 'absent') return { kind: 'absent' };
    const record = readEnded(ended.entry.value);
    if (!record) return { kind: 'unavailable' };
    this.rememberEnded(id, record);
    return { kind: 'ended', ...record };
  }

  /** The answer that rests on what was read; the log tells on what. */
  private describe(id: string, known: Known): Answer {
    const answer = this.answerFor(id, known);
    const version = known.kind === 'live' ? known.version : undefined;
    this.deps.log.debug({ id, status: answer.status, read: known.kind, version }, 'answer');
    return answer;
  }

  private answerFor(id: string, k: Known): Answer {
    switch (k.kind) {
      case 'unavailable':
        return LATER;
      case 'absent':
        return { status: 404, body: { error: 'no such job' } };
      case 'ended':
        return {
          status: 200,
          body: jobAnswer(id, k.state, { done: k.state === 'done' ? k.tasks : 0, running: 0 }),
        };
      case 'live': {
        if (k.record?.cancelled) return this.cancelled(id);
        const p = this.deps.progress(id);
        const state = p && p.running > 0 ? 'running' : 'pending';
        return {
          status: 200,
          body: jobAnswer(id, state, { done: p?.done ?? 0, running: p?.running ?? 0 }),
        };
      }
    }
  }

  private cancelled(id: string): Answer {
    this.deps.beforeConfirm(id);
    return { status: 200, body: jobAnswer(id, 'cancelled', { done: 0, running: 0 }) };
  }

  async submit(body: Body): Promise<Answer> {
    if (!this.deps.mayServe()) return EXCLUDED;
    const submission = readJob(body);
    if (submission.kind === 'invalid')
      return { status: 400, body: { error: `missing or invalid: ${submission.field}` } };
    const { job } = submission;
    const types = this.deps.types();
    if (!types)
      return { status: 503, body: { error: 'machine types not known yet' }, retryAfterS: 1 };
    const reason = this.impossible(job, types);
    if (reason !== null) {
      // Types can change: a repeat of a job that was accepted gets its state, whatever we would say today.
      const known = await this.look(job.id);
      if (known.kind === 'absent') return { status: 422, body: { error: reason } };
      return this.describe(job.id, known);
    }
    if (this.ended.has(job.id)) return this.describe(job.id, await this.look(job.id));
    // Types that nobody knows are of no use, and a record must stay within what a value may hold.
    const known = job.types?.filter((t) => types.some((x) => x.name === t)) ?? null;
    const record: LiveRecord = {
      spec: { ...job, types: known },
      at: this.deps.wallMs(),
      cancelled: false,
    };
    const t = await this.deps.store.compareAndSwap(
      [
        { key: liveKey(job.id), version: 0 },
        { key: endedKey(job.id), version: 0 },
      ],
      [{ put: liveKey(job.id), value: record }],
    );
    if (t.kind === 'committed') {
      this.deps.log.debug({ id: job.id, status: 201, written: t.revision }, 'answer');
      return { status: 201, body: jobAnswer(job.id, 'pending') };
    }
    if (t.kind !== 'conflict') return LATER;
    return this.describe(job.id, await this.look(job.id));
  }

  async poll(id: string): Promise<Answer> {
    if (!this.deps.mayServe()) return EXCLUDED;
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    return this.describe(id, await this.look(id));
  }

  async cancel(id: string): Promise<Answer> {
    if (!this.deps.mayServe()) return EXCLUDED;
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    for (let tries = 0; tries < 4; tries++) {
      const k = await this.look(id);
      if (k.kind !== 'live') return this.describe(id, k);
      if (k.record?.cancelled) return this.cancelled(id);
      // A record that can't be read was never acted on, so that there is nothing to wait for.
      const changes: Mutation[] = k.record
        ? [{ put: liveKey(id), value: { ...(k.value as object), cancelled: true } }]
        : [{ remove: liveKey(id) }, { put: endedKey(id), value: { state: 'cancelled', tasks: 0 } }];
      const guards = [{ key: liveKey(id), version: k.version }];
      let t = await this.deps.store.compareAndSwap(guards, changes);
      // Stored when larger values were allowed: a confirmed cancellation must not depend on that.
      if (t.kind === 'invalid' && k.record)
        t = await this.deps.store.compareAndSwap(guards, [
          { put: liveKey(id), value: minimalCancelled(k.record) },
        ]);
      if (t.kind === 'committed') {
        this.deps.log.debug({ id, status: 200, written: t.revision }, 'answer');
        return this.cancelled(id);
      }
      if (t.kind !== 'conflict') return LATER;
    }
    return LATER;
  }
}
