/**
 * Logs which stops were requested, with what time to save and why, and which earlier stop each replaces. Tasks of a job
 * that are stopped alike share a line, and the number of lines is bounded, since whole machines and large jobs stop at
 * once.
 */
import type { Log } from '../runtime.js';
import type { StopRequest } from '../workers/stop-request.js';
import type { TaskAttempt } from '../workers/task-attempt.js';

const MAX_LINES_PER_FLUSH = 20;
/** Bounds the size of one log line. */
const MAX_TASKS_IN_LINE = 5;

/** The part of a stop request that is logged. */
interface LoggedStop {
  readonly reason: StopRequest['reason'];
  readonly graceS: number;
}

/** Tasks of one job that were stopped alike. */
interface StopGroup extends LoggedStop {
  readonly job: string;
  /** The stop that was pending before, if there was one. */
  readonly earlier?: LoggedStop;
  tasks: number;
  /** Some of the tasks, as `number@machine`. */
  readonly some: string[];
}

function loggedStop({ reason, graceS }: StopRequest): LoggedStop {
  return { reason, graceS };
}

/** Collects the stops between two calls of `flush`. */
export class StopLog {
  private readonly groups = new Map<string, StopGroup>();

  constructor(private readonly log: Log) {}

  /** Records a request; `earlier` is the one that it replaces, or null. */
  record(attempt: TaskAttempt, request: StopRequest, earlier: StopRequest | null): void {
    const group = this.groupOf(attempt.jobId, request, earlier);
    group.tasks++;
    if (group.some.length < MAX_TASKS_IN_LINE)
      group.some.push(`${attempt.taskNumber}@${attempt.machine.id}`);
  }

  private groupOf(job: string, request: StopRequest, earlier: StopRequest | null): StopGroup {
    const key = [job, request.reason, request.graceS, earlier?.reason, earlier?.graceS].join('|');
    let group = this.groups.get(key);
    if (!group) {
      const replaced = earlier ? { earlier: loggedStop(earlier) } : {};
      group = { job, ...loggedStop(request), ...replaced, tasks: 0, some: [] };
      this.groups.set(key, group);
    }
    return group;
  }

  /** Writes a line for each group; those that replace an earlier stop come first. */
  flush(): void {
    if (this.groups.size === 0) return;
    const groups = [...this.groups.values()];
    groups.sort((a, b) => Number(b.earlier !== undefined) - Number(a.earlier !== undefined));
    for (const group of groups.slice(0, MAX_LINES_PER_FLUSH))
      this.log.info(group, group.earlier ? 'stop made stricter' : 'stop requested');
    const omitted = groups.length - MAX_LINES_PER_FLUSH;
    if (omitted > 0) this.log.info({ jobs: omitted }, 'further stops requested');
    this.groups.clear();
  }
}
