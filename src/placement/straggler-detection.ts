/**
 * The straggler round of DESIGN: the paper (section 5.5, Listing 2) leaves detection open. Workers report no
 * CPU use, so a machine is flagged when tasks of several jobs run longer on it than the same jobs elsewhere.
 */
import type { Job } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { TaskAttempt } from '../workers/task-attempt.js';

interface Sample {
  machine: number;
  ms: number;
}

/** Samples kept of each job, and jobs of which samples are kept. */
const KEPT = 64;
const MAX_JOBS = 200;

function median(values: number[]): number {
  const v = [...values].sort((a, b) => a - b);
  return v[v.length >> 1];
}

/** The sample at this place among those of other machines. */
function medianWithout(sorted: Sample[], machine: number, place: number): number {
  for (const s of sorted) if (s.machine !== machine && place-- === 0) return s.ms;
  return Infinity;
}

/** Run times of finished tasks, by job and machine. */
export class RunTimeSamples {
  private readonly byJob = new Map<number, Sample[]>();

  record(job: number, machine: number, ms: number): void {
    let list = this.byJob.get(job);
    if (!list) this.byJob.set(job, (list = []));
    list.push({ machine, ms });
    if (list.length > KEPT) list.shift();
  }

  /** A job's usual run time; null until three of its tasks are done. */
  medianMs(job: number): number | null {
    const list = this.byJob.get(job);
    return list && list.length >= 3 ? median(list.map((s) => s.ms)) : null;
  }

  /**
   * Per machine, how many jobs ran longer on it, by the ratio, than the same jobs elsewhere; and how many did
   * not. Each job's samples are sorted once, for all machines.
   */
  compareMachines(ratio: number): Map<number, { slower: number; normal: number }> {
    const out = new Map<number, { slower: number; normal: number }>();
    for (const list of this.byJob.values()) {
      const sorted = [...list].sort((a, b) => a.ms - b.ms);
      const here = new Map<number, number[]>();
      for (const s of sorted) here.set(s.machine, [...(here.get(s.machine) ?? []), s.ms]);
      for (const [machine, times] of here) {
        const others = sorted.length - times.length;
        if (others < 3) continue;
        const elsewhere = medianWithout(sorted, machine, others >> 1);
        const c = out.get(machine) ?? { slower: 0, normal: 0 };
        if (times[times.length >> 1] >= ratio * elsewhere) c.slower++;
        else c.normal++;
        out.set(machine, c);
      }
    }
    return out;
  }

  forget(job: number): void {
    this.byJob.delete(job);
  }

  jobCount(): number {
    return this.byJob.size;
  }
}

/** Timings of ended jobs are still worth something; the oldest go first. */
export function evictOldestSamples(
  t: RunTimeSamples,
  isLive: (job: number) => boolean,
  ended: number[],
): void {
  while (t.jobCount() > MAX_JOBS) {
    const job = ended.shift();
    if (job === undefined) return;
    if (!isLive(job)) t.forget(job);
  }
}

/** Machines on which several jobs run longer than elsewhere, and more jobs say so than deny it. */
export function detectStragglers(t: RunTimeSamples, ratio: number, jobs: number): Set<number> {
  const out = new Set<number>();
  for (const [machine, { slower, normal }] of t.compareMachines(ratio))
    if (slower >= jobs && slower > normal) out.add(machine);
  return out;
}

/** A gang moves whole or not at all. */
function wholeGangYoung(job: Job, usual: number, now: number): boolean {
  for (const list of job.attempts.values())
    for (const e of list)
      if (e.state !== 'running' || e.runningSince === 0 || now - e.runningSince >= usual / 2)
        return false;
  return true;
}

/** One task of a slow machine that is worth moving: young, and not moved before. */
export function selectTaskToMove(
  m: Machine,
  usualOf: (job: Job) => number | null,
  now: number,
): TaskAttempt | null {
  let best: TaskAttempt | null = null;
  for (const e of m.attempts.values()) {
    const job: Job | null = e.job;
    if (
      !job ||
      job.spec.kind === 'service' ||
      e.state !== 'running' ||
      e.runningSince === 0 ||
      e.stop ||
      job.moved.has(e.taskNumber)
    )
      continue;
    const usual = usualOf(job);
    if (usual === null || now - e.runningSince >= usual / 2) continue;
    if (job.spec.kind === 'gang' && !wholeGangYoung(job, usual, now)) continue;
    if (!best || e.runningSince > best.runningSince) best = e;
  }
  return best;
}
