/** In which order waiting jobs are served: pure. */
import type { Job } from '../jobs/book.js';
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

/** Production first, then what teams are guaranteed, then by priority; among these the earliest deadline. */
export function servingOrder(jobs: Job[], guaranteed: Set<Job>): Job[] {
  const due = (j: Job): number => (j.spec.deadlineS === null ? j.at + 1e9 : j.at + j.spec.deadlineS * 1000);
  const rank = (j: Job): number => (j.spec.priority === 0 ? 0 : guaranteed.has(j) ? 1 : 1 + j.spec.priority);
  return [...jobs].sort((a, b) => rank(a) - rank(b) || due(a) - due(b) || a.at - b.at || a.idx - b.idx);
}
