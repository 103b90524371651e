/** The order in which a job's tasks are started. */

/** Tells which tasks may be started. */
export interface StartableTasks {
  /** The task is neither finished nor possibly on a machine. */
  isStartable(taskNumber: number): boolean;
}

/** Tasks by number; those that were started before and have to be started again come first, the latest of them first. */
export class TaskQueue {
  private readonly requeued: number[] = [];
  private readonly isRequeued = new Set<number>();
  /** No task from here on was started, unless it was found on a machine. */
  private nextUnstarted = 0;

  constructor(
    private readonly taskCount: number,
    private readonly tasks: StartableTasks,
  ) {}

  /** A task has become startable again. */
  requeue(taskNumber: number): void {
    if (taskNumber >= this.nextUnstarted || this.isRequeued.has(taskNumber)) return;
    this.isRequeued.add(taskNumber);
    this.requeued.push(taskNumber);
  }

  /** The task to start next; null: there is none. It stays in the queue until it is no longer startable. */
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
