/** How much of what users asked for has to be served, as the bench counts it. */
import type { ObservedJob } from './observed-job.js';

/** The largest jobs of a class begin within this time. */
const LARGEST_START_LIMIT_MS = 240_000;
/** One job in so many of a class counts among its largest. */
const LARGEST_SHARE = 10;

function isServed(job: ObservedJob): boolean {
  return job.spec.kind === 'service' ? job.firstStartAt !== null : job.reportedDoneAt !== null;
}

function largestOf(jobs: ObservedJob[]): ObservedJob[] {
  const bySize = [...jobs].sort((one, other) => other.spec.tasks - one.spec.tasks);
  return bySize.slice(0, Math.ceil(jobs.length / LARGEST_SHARE));
}

/** Accepted jobs that nobody cancelled, by what counts together: classes, and teams. */
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

/** Of each class, each team and the largest jobs of each class at least half are served, and these begin in time. */
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
        unserved.push(`${spec.id}, among the largest, begins late`);
  }
  for (const [key, group] of groups) {
    const served = group.filter(isServed);
    if (served.length * 2 < group.length)
      unserved.push(`${key}: ${served.length} of ${group.length}`);
  }
  return unserved;
}
