/**
 * Groups the tasks that wait for a machine by what they require of it, so that the autoscaler can provide machines for
 * those that no machine has room for.
 */
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/model.js';
import { tasksPerZone } from './machine-constraints.js';
import { NO_RESOURCES, type Resources, addResources, scaleResources } from './resources.js';
import type { TeamUsage } from './team-usage.js';

/** Waiting tasks with the same requirements, which their teams' limits allow to start. */
export interface WaitingTasks {
  /** The specification of one of their jobs; those of the others differ in nothing that matters to placement. */
  readonly spec: JobSpec;
  /** Number of tasks; at least 1. */
  readonly tasks: number;
  /** Number of tasks of the same job that may be on machines, by zone. Empty if the job may mix zones freely. */
  readonly tasksPerZone: ReadonlyMap<string, number>;
  /**
   * When a task of the group's jobs was last started or, if none was, when the first of the waiting jobs became known;
   * in milliseconds of the monotonic clock.
   */
  readonly waitingSince: number;
}

/** Inputs of the grouping besides the jobs. */
export interface WaitingTasksContext {
  usage: TeamUsage;
  /** Whether jobs of former leaders may be acted on yet. */
  recoveryComplete: boolean;
  /** CPUs under its team's limit that the job leaves to other jobs. */
  headroomCpus(job: Job): number;
  /** Time in milliseconds of the monotonic clock. */
  now: number;
}

const ANY_ZONE: ReadonlyMap<string, number> = new Map();

interface Group {
  readonly spec: JobSpec;
  readonly tasksPerZone: ReadonlyMap<string, number>;
  tasks: number;
  oldestWaitingSince: number;
  lastStartAt: number;
}

/** Whether the zones of the job's tasks depend on each other, or its tasks start together: such a job is a group. */
function isGroupOfItsOwn({ spec }: Job): boolean {
  return spec.kind === 'gang' || (spec.tasks > 1 && (spec.spread || spec.oneZone));
}

/** Whether the scheduler would start tasks of the job if there were room: it is not delayed after failures. */
function mayBeStarted(job: Job, { recoveryComplete, now }: WaitingTasksContext): boolean {
  if (job.pending() === 0 || !(job.createdInThisTerm || recoveryComplete)) return false;
  if (job.failures > 0 && job.nextStartAt > now) return false;
  // The missing tasks of a gang that has begun to start are replaced at once, or the whole gang is stopped.
  return job.spec.kind !== 'gang' || job.attempts.size === 0;
}

/** Groups the tasks that are waiting now. Groups of which no task may start under its team's limit are left out. */
export function groupWaitingTasks(
  jobs: Iterable<Job>,
  context: WaitingTasksContext,
): WaitingTasks[] {
  const groups = new Map<string, Group>();
  const plannedByTeam = new Map<string, Resources>();
  for (const job of jobs) {
    if (job.jobCancelled) continue;
    const key = isGroupOfItsOwn(job) ? `${job.shapeKey}|${job.index}` : job.shapeKey;
    const group = groups.get(key) ?? emptyGroup(job);
    groups.set(key, group);
    if (job.attempts.size > 0 || job.finishedCount > 0)
      group.lastStartAt = Math.max(group.lastStartAt, job.lastStartAt);
    if (!mayBeStarted(job, context)) continue;
    const tasks = startableTasks(job, plannedByTeam, context);
    if (tasks === 0) continue;
    group.tasks += tasks;
    group.oldestWaitingSince = Math.min(group.oldestWaitingSince, job.lastStartAt);
  }
  return [...groups.values()]
    .filter((group) => group.tasks > 0)
    .map((group) => ({
      spec: group.spec,
      tasks: group.tasks,
      tasksPerZone: group.tasksPerZone,
      waitingSince: Math.max(group.oldestWaitingSince, group.lastStartAt),
    }));
}

function emptyGroup(job: Job): Group {
  return {
    spec: job.spec,
    tasksPerZone: isGroupOfItsOwn(job) ? tasksPerZone(job) : ANY_ZONE,
    tasks: 0,
    oldestWaitingSince: Infinity,
    lastStartAt: -Infinity,
  };
}

/** Number of the job's waiting tasks that fit under its team's limit, beside those that were counted before. */
function startableTasks(
  job: Job,
  plannedByTeam: Map<string, Resources>,
  context: WaitingTasksContext,
): number {
  const { spec } = job;
  const planned = plannedByTeam.get(spec.team) ?? NO_RESOURCES;
  const request = { spec, tasks: job.pending(), headroomCpus: context.headroomCpus(job) };
  const fitting = context.usage.startableTasks(request, planned);
  const tasks = spec.kind === 'gang' && fitting < request.tasks ? 0 : fitting;
  plannedByTeam.set(spec.team, addResources(planned, scaleResources(spec, tasks)));
  return tasks;
}
