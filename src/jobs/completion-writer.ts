import type { World } from '../runtime.js';
import { Bucket } from '../state-store/budget.js';
import type { StateStore } from '../state-store/client.js';
import type { Change, Guard } from '../wire/state.js';
import type { Job, JobTable } from './job-table.js';
import { endedKey, finishedKey, liveKey, packFinished } from './records.js';

export interface CompletionWriterDeps {
  world: World;
  store: StateStore;
  jobs: JobTable;
  txnOps: number;
  writeRps: number;
  leads(): boolean;
  leaderGuard(): Guard;
  /** A cancelled job may end once nothing of it can be anywhere. */
  surelyEmpty(job: Job): boolean;
  ended(job: Job): void;
}

/**
 * Progress is written as seldom as is useful: a job's end does not need it, and what a new leader has not read
 * it learns from the machines, which keep results until told to forget, or by a start that ends at once. So it
 * takes a small part of the changes, which submissions, ends and machines need more.
 */
const PARTIAL_MS = 5000;
const PARTIAL_SHARE = 0.2;
/** A job's end removes one record and puts another. */
const LEAST_CHANGES = 2;

/** Makes the leader's knowledge of finished tasks durable: compact, in batches, the ends of jobs first. */
export class CompletionWriter {
  private busy = false;
  private readonly written = new Map<number, Set<number>>();
  private readonly notBefore = new Map<number, number>();
  private readonly partial: Bucket;
  private readonly leftOvers = new Set<string>();
  /** Changes in one transaction: fewer once one was refused for its size. */
  private most: number;

  constructor(private readonly deps: CompletionWriterDeps) {
    this.most = deps.txnOps;
    const perS = Math.max(0.5, deps.writeRps * PARTIAL_SHARE);
    this.partial = new Bucket(perS, Math.max(2, perS), () => deps.world.clock.now());
  }

  noteWritten(job: Job, chunk: number): void {
    let s = this.written.get(job.index);
    if (!s) this.written.set(job.index, (s = new Set()));
    s.add(chunk);
  }

  /** A record of finished tasks whose job has ended. */
  leftOver(key: string): void {
    this.leftOvers.add(key);
  }

  /** What of a large job doesn't go into one transaction is removed afterwards: with the job ended nobody reads it. */
  private endChanges(job: Job): Change[] {
    const chunks = [...(this.written.get(job.index) ?? [])].slice(0, Math.max(0, this.most - 2));
    const value = { state: job.cancelled ? 'cancelled' : 'done', tasks: job.spec.tasks };
    return [
      { remove: liveKey(job.spec.id) },
      { put: endedKey(job.spec.id), value },
      ...chunks.map((c): Change => ({ remove: finishedKey(job.spec.id, c) })),
    ];
  }

  tick(): void {
    if (this.busy || !this.deps.leads()) return;
    const now = this.deps.world.clock.now();
    const jobs: Job[] = [];
    const guards: Guard[] = [this.deps.leaderGuard()];
    const changes: Change[] = [];
    const ends: Job[] = [];
    const flushed: { job: Job; chunk: number; count: number }[] = [];
    const room = (n: number): boolean =>
      changes.length + n <= this.most && guards.length < this.deps.txnOps * 4 - 1;
    for (const job of this.deps.jobs.all()) {
      const over = job.cancelled ? this.deps.surelyEmpty(job) : job.complete();
      if (!over || job.ended !== 'no' || (this.notBefore.get(job.index) ?? 0) > now) continue;
      const end = this.endChanges(job);
      if (!room(end.length)) break;
      changes.push(...end);
      guards.push({ key: liveKey(job.spec.id), version: job.version });
      ends.push(job);
      jobs.push(job);
    }
    for (const job of this.deps.jobs.all()) {
      if (job.cancelled || job.complete() || (this.notBefore.get(job.index) ?? 0) > now) continue;
      for (const [chunk, since] of job.dirty) {
        if (now - since < PARTIAL_MS || !room(1) || !this.partial.take()) continue;
        changes.push({ put: finishedKey(job.spec.id, chunk), value: packFinished(job.finished, chunk) });
        if (!jobs.includes(job)) {
          guards.push({ key: liveKey(job.spec.id), version: job.version });
          jobs.push(job);
        }
        flushed.push({ job, chunk, count: job.finishedCount });
      }
    }
    const removed: string[] = [];
    for (const key of this.leftOvers) {
      if (!room(1)) break;
      changes.push({ remove: key });
      removed.push(key);
    }
    if (changes.length === 0) return;
    this.busy = true;
    for (const j of ends) j.ended = 'writing';
    // Marked before the answer: a record written without an answer must be removed with the job, too.
    for (const f of flushed) this.noteWritten(f.job, f.chunk);
    void this.deps.store.txn(guards, changes).then((r) => {
      this.busy = false;
      const t = this.deps.world.clock.now();
      const ok = r.kind === 'applied';
      for (const j of ends) j.ended = ok ? 'yes' : 'no';
      if (ok) {
        // Until here the numbers stay dirty, so that nothing is forgotten by a machine before it is durable.
        for (const f of flushed) {
          if (f.job.finishedCount === f.count) f.job.dirty.delete(f.chunk);
          else f.job.dirty.set(f.chunk, t);
        }
        for (const key of removed) this.leftOvers.delete(key);
        for (const j of ends) {
          for (const c of this.written.get(j.index) ?? []) {
            const key = finishedKey(j.spec.id, c);
            if (!changes.some((x) => 'remove' in x && x.remove === key)) this.leftOvers.add(key);
          }
          this.written.delete(j.index);
          this.notBefore.delete(j.index);
          this.deps.ended(j);
        }
        return;
      }
      // Too large, though within the limits that we know: smaller ones from now on. What is as small as can be waits long.
      const invalid = r.kind === 'invalid';
      if (invalid && changes.length > LEAST_CHANGES) this.most = Math.max(LEAST_CHANGES, changes.length >> 1);
      else if (invalid) for (const key of removed) this.leftOvers.delete(key);
      // A conflict or a lost answer: the watch tells what became of these jobs; no hurry meanwhile.
      const failed = r.kind === 'conflict' ? new Set(r.failed) : null;
      for (const j of jobs)
        if (!failed || failed.has(liveKey(j.spec.id)))
          this.notBefore.set(j.index, t + (r.kind === 'refused' ? 200 : invalid ? 5000 : 700));
    });
  }
}
