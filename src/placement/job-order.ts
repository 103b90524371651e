/** The order in which waiting jobs are served. Pure functions. */
import type { Job } from '../jobs/job.js';
import type { Objective } from '../settings/platform.js';

/** Tasks of one job differ: a goal is given up only when even a task this much shorter would miss it. */
const SHORTEST_TASK_SHARE = 0.6;

/** A job of which nothing has begun after so long gets a first share of its tasks before all others. */
const STARVATION_THRESHOLD_MS = 60_000;

/** By job class, within how many seconds of their submission jobs should finish, soonest first. */
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

/** How urgent a job is among those of its rank; lower values are served first. */
export interface Urgency {
  /** Which of the job's goals can still be met; the number of goals if none; -1 if it goes before all others. */
  goal: number;
  /** CPU milliseconds that its waiting tasks will take. */
  work: number;
}

/** The urgency of a job that goes before all others of its rank. */
export const MOST_URGENT: Urgency = { goal: -1, work: 0 };

/**
 * Few jobs late, and not all a little: a job that will miss its goal whatever is done waits behind those that
 * need not miss theirs, and among these the one with the least work left goes first.
 */
export function urgency(job: Job, goals: FinishGoals, expectedMs: number, wallMs: number): Urgency {
  const { deadlineS, cls: jobClass, cpus } = job.spec;
  const goalsS = deadlineS !== null ? [deadlineS] : (goals.get(jobClass) ?? []);
  const earliestEnd = wallMs + SHORTEST_TASK_SHARE * expectedMs;
  const goal = goalsS.findIndex((withinS) => job.acceptedAt + withinS * 1000 >= earliestEnd);
  return { goal: goal < 0 ? goalsS.length : goal, work: job.pending() * cpus * expectedMs };
}

/** Nothing of the array has begun for long: streams of smaller jobs must not keep a large one out for ever. */
export function isStarved(job: Job, wallMs: number): boolean {
  if (job.spec.kind !== 'array' || job.attempts.size > 0 || job.finishedCount > 0) return false;
  return wallMs - job.acceptedAt > STARVATION_THRESHOLD_MS;
}

/** Production first, then what teams are guaranteed, then by priority and urgency. */
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
