/**
 * What a controller knows of cancelled jobs, and how fresh that knowledge is: it decides whether worker
 * leases may be renewed.
 */
import { MAX_CLOCK_DRIFT } from '../runtime.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from '../wire/model.js';

/** For longer than any task of a cancelled job can still be somewhere. */
const RETENTION_MS = 600_000;
/** Workers look at their leases now and then, and answers take their time. */
const LEASE_MARGIN_MS = 1000;

/**
 * What this node knows of cancellations, and as of when it knows them all. Whoever answers a worker's heartbeat
 * renews its lease, and thereby everything on it for another `lease_s`. So the one invariant of all roles is:
 * a heartbeat is answered only with knowledge so fresh that a task whose cancellation we can't know of is gone
 * with its lease within `cancel_s` of the confirmation. Tasks whose cancellation we know are stopped in the answer.
 *
 * A process that has just started knows nothing, as of no time at all.
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

  /** The job is cancelled for good: seen in its record, or confirmed to a user by us or another node. */
  record(id: string): void {
    if (this.known.has(id)) return;
    const now = this.now();
    // In order of time: the oldest come first.
    for (const [old, recordedAt] of this.known) {
      if (now - recordedAt < RETENTION_MS) break;
      this.known.delete(old);
    }
    this.known.set(id, now);
    for (const listener of this.listeners) listener(id);
  }

  /** Whatever was confirmed to anyone before `at` is known here. */
  advanceWatermark(at: number): void {
    this.watermarkAt = Math.max(this.watermarkAt, at);
  }

  watermark(): number {
    return this.watermarkAt;
  }

  /** For how long something may have been cancelled without our knowing. */
  ageMs(): number {
    return this.now() - this.watermarkAt;
  }

  isFreshEnoughToRenew(): boolean {
    return this.ageMs() <= this.maxAgeToRenewMs;
  }

  /** Adds stops for what is reported and known to be cancelled to the commands that go out anyway. */
  withStops(heartbeat: Heartbeat, commands: WorkerCommand[]): WorkerCommand[] {
    const withStops = [...commands];
    for (const task of heartbeat.tasks) {
      if (task.state === 'exited' || !this.known.has(task.job)) continue;
      if (commands.some((command) => isStopOf(command, task))) continue;
      const { job, taskNumber, attempt } = task;
      withStops.push({ op: 'stop', job, taskNumber, attempt, graceS: 0 });
    }
    return withStops;
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
