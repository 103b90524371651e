/** In which order waiting jobs are served: pure. */
import type { Job } from '../jobs/book.js';
import type { Objective } from '../settings/platform.js';
import type { QuotaBook } from './quota.js';

/** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
export function withinGuarantee(jobs: Iterable<Job>, quota: QuotaBook): Set<Job> {
  const used = new Map<string, number>();
  const out = new Set<Job>();
  const byAge = [...jobs].filter((j) => !j.cancelled).sort((a, b) => a.at - b.at || a.idx - b.idx);
  for (const j of byAge) {
    const team = quota.team(j.spec.team);
    if (!team) continue;
    const total = (used.get(team.name) ?? 0) + j.spec.cpus * (j.spec.tasks - j.finishedCount);
    used.set(team.name, total);
    if (team.cpus > 0 && total <= team.cpus + 1e-6) out.add(j);
  }
  return out;
}

/** When a class of jobs should be finished, in seconds after submission, soonest first. */
export type FinishGoals = Map<string, number[]>;

export function finishGoals(objectives: Objective[]): FinishGoals {
  const out: FinishGoals = new Map();
  for (const o of objectives)
    if (o.kind === 'finished' && o.cls !== null && o.withinS !== null)
      out.set(
        o.cls,
        [...(out.get(o.cls) ?? []), o.withinS].sort((a, b) => a - b),
      );
  return out;
}

/**
 * When the job's last task must have started for the job to be in time, or Infinity: a job that will be late
 * whatever is done waits behind those that need not be, so that a burst makes few jobs very late and not all.
 */
export function latestStart(j: Job, goals: FinishGoals, expectedMs: number, wallMs: number): number {
  const times = j.spec.deadlineS !== null ? [j.spec.deadlineS] : (goals.get(j.spec.cls) ?? []);
  for (const t of times) {
    const start = j.at + t * 1000 - expectedMs;
    if (start >= wallMs) return start;
  }
  return Infinity;
}

/** Production first, then what teams are guaranteed, then by priority; among these the earliest latest start. */
export function servingOrder(jobs: Job[], guaranteed: Set<Job>, due: (j: Job) => number): Job[] {
  const rank = (j: Job): number => (j.spec.priority === 0 ? 0 : guaranteed.has(j) ? 1 : 1 + j.spec.priority);
  const dues = new Map(jobs.map((j) => [j, due(j)]));
  const byDue = (a: Job, b: Job): number => {
    const [x, y] = [dues.get(a)!, dues.get(b)!];
    return x === y ? 0 : x - y;
  };
  return [...jobs].sort((a, b) => rank(a) - rank(b) || byDue(a, b) || a.at - b.at || a.idx - b.idx);
}
