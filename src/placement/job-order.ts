/** The order in which waiting jobs are served. Pure functions. */
import type { Job } from '../jobs/job.js';
import type { Objective } from '../settings/platform.js';

/**
 * A goal counts as missed only if even a task that takes just this share of the expected run time would miss it, since
 * the tasks of one job differ.
 */
const SHORTEST_TASK_SHARE = 0.6;

/**
 * An array of which nothing has started this long after its acceptance gets a first share of its tasks before all other
 * jobs of its rank (see `servingOrder`).
 */
const ARRAY_STARVATION_THRESHOLD_MS = 60_000;

/** By job class, the times in seconds after acceptance within which jobs should finish, shortest first. */
export type FinishGoals = Map<string, number[]>;

/** The goals that the platform's objectives state for finishing jobs. */
export function finishGoals(objectives: Objective[]): FinishGoals {
  const goals: FinishGoals = new Map();
  for (const { kind, jobClass, withinS } of objectives) {
    if (kind !== 'finished' || jobClass === null || withinS === null) continue;
    const ofClass = [...(goals.get(jobClass) ?? []), withinS];
    goals.set(
      jobClass,
      ofClass.sort((a, b) => a - b),
    );
  }
  return goals;
}

/** How urgent a job is among those of its rank (see `servingOrder`); lower values are served first. */
export interface Urgency {
  /** Index of the first goal that can still be met; the number of goals if none; -1 if it goes before all others. */
  goal: number;
  /** CPU milliseconds that its waiting tasks are expected to take. */
  work: number;
}

/** The urgency of a job that goes before all others of its rank. */
export const MOST_URGENT: Urgency = { goal: -1, work: 0 };

/**
 * Prefers few late jobs to many slightly late ones: a job that will miss its goal in any case waits behind those that
 * can still meet theirs, and among jobs that can meet the same goal, the one with the least work left goes first.
 */
export function urgency(job: Job, goals: FinishGoals, expectedMs: number, wallMs: number): Urgency {
  const { deadlineS, cls: jobClass, cpus } = job.spec;
  const goalsS = deadlineS !== null ? [deadlineS] : (goals.get(jobClass) ?? []);
  const earliestEnd = wallMs + SHORTEST_TASK_SHARE * expectedMs;
  const goal = goalsS.findIndex((withinS) => job.acceptedAt + withinS * 1000 >= earliestEnd);
  return { goal: goal < 0 ? goalsS.length : goal, work: job.pending() * cpus * expectedMs };
}

/**
 * Whether an array, of which no task has started, has waited too long since its acceptance: streams of smaller jobs
 * must not block a large one forever. For gangs, see `GangScheduler.isStarvedGang`.
 */
export function isStarvedArray(job: Job, wallMs: number): boolean {
  if (job.spec.kind !== 'array' || job.attempts.size > 0 || job.finishedCount > 0) return false;
  return wallMs - job.acceptedAt > ARRAY_STARVATION_THRESHOLD_MS;
}

/**
 * Sorts jobs by rank, and jobs of equal rank by urgency. Production jobs have the first rank, then come jobs within
 * their team's guarantee, then the others, ranked by priority. Jobs of equal rank and urgency are sorted by age.
 */
export function servingOrder(
  jobs: Job[],
  guaranteed: { has(job: Job): boolean },
  urgencyOf: (job: Job) => Urgency,
): Job[] {
  const rank = (job: Job): number =>
    job.spec.priority === 0 ? 0 : guaranteed.has(job) ? 1 : 1 + job.spec.priority;
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
