/**
 * The straggler round of DESIGN: the paper (section 5.5, Listing 2) leaves detection open. Workers report no
 * CPU use, so a machine is flagged when tasks of several jobs run longer on it than the same jobs elsewhere.
 */
import type { Job } from '../jobs/book.js';
import type { Entry, Machine } from '../workers/table.js';

interface Sample {
  machine: number;
  ms: number;
}

const KEPT = 64;

function median(values: number[]): number {
  const v = [...values].sort((a, b) => a - b);
  return v[v.length >> 1]!;
}

/** Run times of finished tasks, by job and machine. */
export class Timings {
  private readonly byJob = new Map<number, Sample[]>();

  record(job: number, machine: number, ms: number): void {
    let list = this.byJob.get(job);
    if (!list) this.byJob.set(job, (list = []));
    list.push({ machine, ms });
    if (list.length > KEPT) list.shift();
  }

  /** A job's usual run time; null until three of its tasks are done. */
  usual(job: number): number | null {
    const list = this.byJob.get(job);
    return list && list.length >= 3 ? median(list.map((s) => s.ms)) : null;
  }

  /** How many jobs ran longer on the machine, by the ratio, than the same jobs elsewhere; and how many did not. */
  compare(machine: number, ratio: number): { slower: number; normal: number } {
    let [slower, normal] = [0, 0];
    for (const list of this.byJob.values()) {
      const here = list.filter((s) => s.machine === machine).map((s) => s.ms);
      const elsewhere = list.filter((s) => s.machine !== machine).map((s) => s.ms);
      if (here.length === 0 || elsewhere.length < 3) continue;
      if (median(here) >= ratio * median(elsewhere)) slower++;
      else normal++;
    }
    return { slower, normal };
  }

  forget(job: number): void {
    this.byJob.delete(job);
  }

  jobs(): number {
    return this.byJob.size;
  }
}

/** Timings of ended jobs are still worth something; the oldest go first. */
export function trimTimings(t: Timings, isLive: (job: number) => boolean, ended: number[]): void {
  while (t.jobs() > 200 && ended.length > 0) {
    const job = ended.shift()!;
    if (!isLive(job)) t.forget(job);
  }
}

export function isSlow(t: Timings, machine: number, ratio: number, jobs: number): boolean {
  const { slower, normal } = t.compare(machine, ratio);
  return slower >= jobs && slower > normal;
}

/** A gang moves whole or not at all. */
function wholeGangYoung(job: Job, usual: number, now: number): boolean {
  for (const list of job.held.values())
    for (const e of list) if (e.state !== 'running' || now - e.runningSince >= usual / 2) return false;
  return true;
}

/** One task of a slow machine that is worth moving: young, and not moved before. */
export function selectMove(m: Machine, t: Timings, now: number): Entry | null {
  let best: Entry | null = null;
  for (const e of m.entries.values()) {
    const job: Job | null = e.job;
    if (!job || job.spec.kind === 'service' || e.state !== 'running' || e.stop || job.moved.has(e.num))
      continue;
    const usual = t.usual(job.idx);
    if (usual === null || now - e.runningSince >= usual / 2) continue;
    if (job.spec.kind === 'gang' && !wholeGangYoung(job, usual, now)) continue;
    if (!best || e.runningSince > best.runningSince) best = e;
  }
  return best;
}
