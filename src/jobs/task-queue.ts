/** The order in which a job's tasks are started. */

/** Determines which tasks may be started. */
export interface StartableTasks {
  /** Whether the task is neither finished nor possibly on a machine. */
  isStartable(taskNumber: number): boolean;
}

/**
 * The startable tasks of a job. Requeued tasks come first, the last requeued before the others; the tasks that were
 * never started follow in the order of their numbers.
 */
export class TaskQueue {
  private readonly requeued: number[] = [];
  private readonly isRequeued = new Set<number>();
  /** No task with this or a higher number was started, except those discovered on a machine. */
  private nextUnstarted = 0;

  constructor(
    private readonly taskCount: number,
    private readonly tasks: StartableTasks,
  ) {}

  /** Adds a task that has become startable again. */
  requeue(taskNumber: number): void {
    if (taskNumber >= this.nextUnstarted || this.isRequeued.has(taskNumber)) return;
    this.isRequeued.add(taskNumber);
    this.requeued.push(taskNumber);
  }

  /** Returns the task to start next, or null. The task stays in the queue until it is no longer startable. */
  peek(): number | null {
    while (this.requeued.length > 0) {
      const taskNumber = this.requeued[this.requeued.length - 1];
      if (this.tasks.isStartable(taskNumber)) return taskNumber;
      this.requeued.pop();
      this.isRequeued.delete(taskNumber);
    }
    while (this.nextUnstarted < this.taskCount) {
      if (this.tasks.isStartable(this.nextUnstarted)) return this.nextUnstarted;
      this.nextUnstarted++;
    }
    return null;
  }
}
