/** Checks that enough jobs of each class and team are served, and that the largest jobs start in time. */
import type { ObservedJob } from './observed-job.js';

/** Maximum time in milliseconds from the submission to the first start, for the largest jobs of a class. */
const LARGEST_START_LIMIT_MS = 240_000;
/** The largest jobs of a class are 1/`JOBS_PER_LARGEST` of its jobs, rounded up. */
const JOBS_PER_LARGEST = 10;

function isServed(job: ObservedJob): boolean {
  return job.spec.kind === 'service' ? job.firstStartAt !== null : job.reportedDoneAt !== null;
}

function largestOf(jobs: ObservedJob[]): ObservedJob[] {
  const bySize = [...jobs].sort((one, other) => other.spec.tasks - one.spec.tasks);
  return bySize.slice(0, Math.ceil(jobs.length / JOBS_PER_LARGEST));
}

/** Groups accepted jobs that were not cancelled by class and by team. */
function groupsOf(jobs: ObservedJob[]): Map<string, ObservedJob[]> {
  const groups = new Map<string, ObservedJob[]>();
  const add = (key: string, job: ObservedJob): void => {
    groups.set(key, [...(groups.get(key) ?? []), job]);
  };
  for (const job of jobs) {
    add(`class ${job.spec.jobClass}`, job);
    add(`team ${job.spec.team}`, job);
  }
  return groups;
}

/**
 * Returns the violations of the service level: at least half of the jobs of each class, of each team and of the largest
 * jobs of each class must be served, and these largest jobs must start in time.
 */
export function unservedJobs(jobs: Iterable<ObservedJob>, nowMs: number): string[] {
  const unserved: string[] = [];
  const accepted = [...jobs].filter((job) => job.reportedAccepted && !job.cancelRequested);
  const groups = groupsOf(accepted);
  for (const [key, group] of [...groups]) {
    if (!key.startsWith('class')) continue;
    const largest = largestOf(group);
    groups.set(`largest of ${key}`, largest);
    for (const { spec, firstStartAt, submittedAt } of largest)
      if ((firstStartAt ?? nowMs) - submittedAt > LARGEST_START_LIMIT_MS)
        unserved.push(`${spec.id}, among the largest, starts late`);
  }
  for (const [key, group] of groups) {
    const served = group.filter(isServed);
    if (served.length * 2 < group.length)
      unserved.push(`${key}: ${served.length} of ${group.length}`);
  }
  return unserved;
}
