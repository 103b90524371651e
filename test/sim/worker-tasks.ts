/** The tasks on a simulated worker's machine: started, saved, ended and removed as its commands say. */
import type { GangCoordinator } from './gang-coordinator.js';
import type { Invariants } from './invariants.js';
import type { ObservedJob } from './observed-job.js';
import type { SeededRandom } from './random.js';
import type { JobSubmission } from './wire/users.js';
import type {
  ReportedExitCause,
  ReportedTask,
  ReportedTaskState,
  TaskCommand,
} from './wire/workers.js';

interface Task {
  name: string;
  attempt: number;
  state: ReportedTaskState;
  cause?: ReportedExitCause;
  cancel: () => void;
}

/** The task is on its machine: it has its image and has not exited. */
const isPresent = ({ state }: Task): boolean =>
  state === 'waiting' || state === 'running' || state === 'saving';

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;

/** What tasks depend on of their machine. */
export interface TaskMachine {
  id: string;
  type: string;
  cpus: number;
  zone: string;
  spot: boolean;
  /** How much longer everything takes here. */
  slowness: number;
  /** Tasks fail soon after they begin. */
  faulty: boolean;
}

/** What the tasks need of their worker and of the simulation. */
export interface WorkerTasksDependencies {
  machine: TaskMachine;
  random: SeededRandom;
  invariants: Invariants;
  gangs: GangCoordinator;
  /** Runs the callback after so many milliseconds, later if the machine hangs, unless it is revoked or the machine gone. */
  after(ms: number, callback: () => void): () => void;
  isHanging(): boolean;
  /** Something has changed that is to be reported soon. */
  changed(): void;
}

/** Tasks by name and attempt; what has exited stays until it is removed by a command. */
export class WorkerTasks {
  private readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();

  constructor(private readonly deps: WorkerTasksDependencies) {}

  /** As in a heartbeat. */
  reported(): ReportedTask[] {
    return [...this.tasks.values()].map(({ name, attempt, state, cause }) => ({
      task: name,
      attempt: BigInt(attempt),
      state,
      cause,
    }));
  }

  /** Everything here ends with its machine, or with the machine's lease. */
  killAll(): void {
    for (const task of this.tasks.values()) {
      task.cancel();
      if (isPresent(task)) this.deps.invariants.taskLeft(task.name, this.deps.machine.id, false);
      const [job, taskNumber] = this.jobOf(task.name);
      if (job?.spec.kind === 'gang') this.deps.gangs.leave(job, task.attempt, taskNumber, null);
    }
    this.tasks.clear();
  }

  /** Is the task saving here, after it was told to stop? */
  isSaving(name: string): boolean {
    return [...this.tasks.values()].some((task) => task.name === name && task.state === 'saving');
  }

  /** Started here, and without their image yet. */
  fetching(): string[] {
    return [...this.tasks.values()]
      .filter(({ state }) => state === 'fetching')
      .map(({ name }) => name);
  }

  private usedCpus(): number {
    let sum = 0;
    for (const { name, state } of this.tasks.values())
      if (state !== 'exited') sum += this.jobOf(name)[0]?.spec.cpus ?? 0;
    return sum;
  }

  execute(commands: TaskCommand[]): void {
    for (const command of commands) {
      const key = keyOf(command.task, command.attempt);
      const task = this.tasks.get(key);
      if (command.kind === 'start' && !task) this.start(key, command.task, command.attempt);
      if (command.kind === 'stop' && task && task.state !== 'exited')
        this.stop(task, command.graceS);
      if (command.kind === 'remove' && task?.state === 'exited') {
        this.tasks.delete(key);
        this.deps.changed();
      }
    }
  }

  private jobOf(task: string): [ObservedJob | undefined, number] {
    const slash = task.lastIndexOf('/');
    return [this.deps.invariants.jobs.get(task.slice(0, slash)), Number(task.slice(slash + 1))];
  }

  private stop(task: Task, graceS: number): void {
    const [job, taskNumber] = this.jobOf(task.name);
    if (job?.spec.kind === 'gang' && task.state !== 'fetching')
      this.deps.gangs.stop(job, task.attempt, taskNumber, graceS);
    else if (job && this.canSave(task, job, graceS)) this.save(task, job.spec.checkpointS);
    else if (task.state !== 'saving' || graceS === 0) this.exit(task, 'stopped');
  }

  private canSave(task: Task, job: ObservedJob, graceS: number): boolean {
    const { checkpointEveryS, checkpointS } = job.spec;
    return task.state === 'running' && checkpointEveryS > 0 && graceS > 0 && graceS >= checkpointS;
  }

  /** It stays on its machine while it saves. */
  private save(task: Task, checkpointS: number): void {
    task.cancel();
    task.state = 'saving';
    this.deps.changed();
    task.cancel = this.deps.after(checkpointS * 1000, () => {
      this.exit(task, 'stopped');
    });
  }

  /** It has its image, and finds the others of its attempt. */
  private join(task: Task, job: ObservedJob, taskNumber: number): void {
    task.state = 'waiting';
    this.deps.changed();
    const unlessExited = (action: () => void): void => {
      this.deps.after(0, () => {
        if (this.tasks.get(keyOf(task.name, task.attempt)) === task && task.state !== 'exited')
          action();
      });
    };
    this.deps.gangs.arrive(job, task.attempt, taskNumber, {
      run: () => {
        unlessExited(() => {
          task.state = 'running';
          this.deps.changed();
        });
      },
      exit: (cause) => {
        unlessExited(() => {
          this.exit(task, cause);
        });
      },
      isHanging: () => this.deps.isHanging(),
      slowness: this.deps.machine.slowness,
    });
  }

  private exit(task: Task, cause: ReportedExitCause): void {
    task.cancel();
    if (isPresent(task))
      this.deps.invariants.taskLeft(task.name, this.deps.machine.id, cause === 'done');
    task.state = 'exited';
    task.cause = cause;
    this.deps.changed();
  }

  private start(key: string, name: string, attempt: number): void {
    const task: Task = { name, attempt, state: 'fetching', cancel: () => undefined };
    const [job, taskNumber] = this.jobOf(name);
    const refusal = this.refusalOf(name, job);
    this.tasks.set(key, task);
    this.deps.changed();
    if (!job || refusal) {
      task.state = 'exited';
      task.cause = refusal ?? 'unknown_task';
      return;
    }
    task.cancel = this.deps.after(this.fetchMs(job.spec), () => {
      this.begin(task, job, taskNumber);
    });
  }

  private refusalOf(name: string, job: ObservedJob | undefined): ReportedExitCause | null {
    if (!job?.submitted) return 'unknown_task';
    if ([...this.tasks.values()].some((task) => task.name === name)) return 'already_present';
    const isFull = this.usedCpus() + job.spec.cpus > this.deps.machine.cpus + 1e-6;
    return isFull ? 'insufficient_resources' : null;
  }

  private fetchMs({ image, imageGb }: JobSubmission): number {
    return this.images.has(image) ? 1 : this.deps.random.between(500, 4000) * imageGb;
  }

  /** The task has its image. */
  private begin(task: Task, job: ObservedJob, taskNumber: number): void {
    const { id, type, zone, spot, faulty } = this.deps.machine;
    const { kind, image } = job.spec;
    this.images.add(image);
    if (kind !== 'gang') task.state = 'running';
    this.deps.invariants.taskStarted(task.name, { machine: id, type, zone, spot });
    if (kind === 'gang') {
      this.join(task, job, taskNumber);
      return;
    }
    this.deps.changed();
    if (faulty) this.exitAfter(300, task, 'error');
    else if (kind === 'array') this.exitAfter(this.runMs(job, taskNumber), task, 'done');
  }

  private exitAfter(ms: number, task: Task, cause: ReportedExitCause): void {
    task.cancel = this.deps.after(ms, () => {
      this.exit(task, cause);
    });
  }

  /** The result of a task that was done before is kept. */
  private runMs(job: ObservedJob, taskNumber: number): number {
    if (job.finishedTasks.has(taskNumber)) return 1;
    return (
      job.spec.durationS * 1000 * this.deps.random.between(0.7, 1.3) * this.deps.machine.slowness
    );
  }
}
