/** In which order waiting jobs are served: pure. */
import type { Job } from '../jobs/job-table.js';
import type { Objective } from '../settings/platform.js';
import type { TeamUsage } from './team-usage.js';

/** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
export function withinGuarantee(jobs: Iterable<Job>, quota: TeamUsage): Set<Job> {
  const used = new Map<string, number>();
  const out = new Set<Job>();
  const byAge = [...jobs]
    .filter((j) => !j.jobCancelled)
    .sort((a, b) => a.acceptedAt - b.acceptedAt || a.index - b.index);
  for (const j of byAge) {
    const team = quota.team(j.spec.team);
    if (!team) continue;
    const total = (used.get(team.name) ?? 0) + j.spec.cpus * (j.spec.tasks - j.finishedCount);
    used.set(team.name, total);
    if (team.cpus > 0 && total <= team.cpus + 1e-6) out.add(j);
  }
  return out;
}

/** Tasks of one job differ: a goal is given up only when even a task this much shorter would miss it. */
const HOPE = 0.6;

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

export interface Urgency {
  /** Which of the job's goals can still be met; the number of goals if none. */
  goal: number;
  /** CPU milliseconds that its waiting tasks will take. */
  work: number;
}

/**
 * Few jobs late, and not all a little: a job that will miss its goal whatever is done waits behind those that
 * need not miss theirs, and among these the one with the least work left goes first. Jobs that starve go before.
 */
export function urgency(
  j: Job,
  goals: FinishGoals,
  expectedMs: number,
  wallMs: number,
  starved = false,
): Urgency {
  const times = j.spec.deadlineS !== null ? [j.spec.deadlineS] : (goals.get(j.spec.cls) ?? []);
  const end = wallMs + HOPE * expectedMs;
  const goal = times.findIndex((t) => j.acceptedAt + t * 1000 >= end);
  if (starved) return { goal: -1, work: 0 };
  return { goal: goal < 0 ? times.length : goal, work: j.pending() * j.spec.cpus * expectedMs };
}

/** Production first, then what teams are guaranteed, then by priority and urgency. */
export function servingOrder(
  jobs: Job[],
  guaranteed: Set<Job>,
  urgencyOf: (j: Job) => Urgency,
): Job[] {
  const rank = (j: Job): number =>
    j.spec.priority === 0 ? 0 : guaranteed.has(j) ? 1 : 1 + j.spec.priority;
  const byAge = (a: Job, b: Job): number => a.acceptedAt - b.acceptedAt || a.index - b.index;
  return jobs
    .map((job) => ({ job, rank: rank(job), urgency: urgencyOf(job) }))
    .sort(
      (a, b) =>
        a.rank - b.rank ||
        a.urgency.goal - b.urgency.goal ||
        a.urgency.work - b.urgency.work ||
        byAge(a.job, b.job),
    )
    .map(({ job }) => job);
}
