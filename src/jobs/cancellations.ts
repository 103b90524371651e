/**
 * The cancelled jobs that a controller knows, and how recent this knowledge is, which decides whether worker leases may
 * be renewed.
 */
import { MAX_CLOCK_DRIFT } from '../runtime.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from '../wire/model.js';

/** Longer than any task of a cancelled job can still be on a machine. */
const RETENTION_MS = 600_000;
/** Covers the interval at which workers check their leases, and the delay of responses. */
const LEASE_MARGIN_MS = 1000;

/**
 * The cancellations that this node knows, and the time up to which it knows all of them. A response to a worker's
 * heartbeat renews its lease, and lets all tasks on it run for another `lease_s`. So all roles keep one invariant: a
 * node responds to a heartbeat only if its knowledge is recent enough that a task whose cancellation it cannot know of
 * stops with its worker's lease within `cancel_s` of the confirmation. The response itself stops the tasks whose
 * cancellation is known.
 *
 * A process that has just started knows no cancellations, and has no such time (the watermark is -Infinity).
 */
export class Cancellations {
  private readonly known = new Map<string, number>();
  private watermarkAt = -Infinity;
  private readonly maxAgeToRenewMs: number;
  private readonly listeners: ((id: string) => void)[] = [];

  constructor(
    cancelS: number,
    leaseS: number,
    private readonly now: () => number,
  ) {
    this.maxAgeToRenewMs = ((cancelS - leaseS) * 1000 - LEASE_MARGIN_MS) / MAX_CLOCK_DRIFT;
  }

  onNew(listener: (id: string) => void): void {
    this.listeners.push(listener);
  }

  has(id: string): boolean {
    return this.known.has(id);
  }

  /** Records a final cancellation: it was read in the job's record, or confirmed to a user by this or another node. */
  record(id: string): void {
    if (this.known.has(id)) return;
    const now = this.now();
    // The entries are ordered by time, oldest first.
    for (const [old, recordedAt] of this.known) {
      if (now - recordedAt < RETENTION_MS) break;
      this.known.delete(old);
    }
    this.known.set(id, now);
    for (const listener of this.listeners) listener(id);
  }

  /** Records that every cancellation confirmed to any user before `at` is known here. */
  advanceWatermark(at: number): void {
    this.watermarkAt = Math.max(this.watermarkAt, at);
  }

  watermark(): number {
    return this.watermarkAt;
  }

  /** Age of the watermark: time in which a job may have been cancelled without this node knowing. */
  ageMs(): number {
    return this.now() - this.watermarkAt;
  }

  isFreshEnoughToRenew(): boolean {
    return this.ageMs() <= this.maxAgeToRenewMs;
  }

  /**
   * Returns the given commands with stops added for the reported tasks that are known to be cancelled. Given stops of
   * such tasks leave them no time to save.
   */
  withStops(heartbeat: Heartbeat, commands: WorkerCommand[]): WorkerCommand[] {
    const withStops = commands.map((command) => this.withoutGrace(command));
    for (const task of heartbeat.tasks) {
      if (task.state === 'exited' || !this.known.has(task.job)) continue;
      if (commands.some((command) => isStopOf(command, task))) continue;
      const { job, taskNumber, attempt } = task;
      withStops.push({ op: 'stop', job, taskNumber, attempt, graceS: 0 });
    }
    return withStops;
  }

  private withoutGrace(command: WorkerCommand): WorkerCommand {
    const isCancelled = command.op === 'stop' && this.known.has(command.job);
    return isCancelled ? { ...command, graceS: 0 } : command;
  }
}

function isStopOf(command: WorkerCommand, task: TaskStatus): boolean {
  return (
    command.op === 'stop' &&
    command.job === task.job &&
    command.taskNumber === task.taskNumber &&
    command.attempt === task.attempt
  );
}
