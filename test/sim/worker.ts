import type { Reply } from '../../src/runtime.js';
import type { Body } from '../../src/wire/cbor.js';
import type { SeededRandom } from './random.js';
import type { Network } from './network.js';
import type { GangCoordinator } from './gang-coordinator.js';
import type { JobFacts, Rules } from './rules.js';
import type { JobSubmission } from './wire/users.js';
import {
  COMMANDS_PATH,
  HEARTBEAT_PATH,
  type ReportedExitCause,
  type ReportedTaskState,
  type TaskCommand,
  decodeCommandRequest,
  decodeHeartbeatReply,
  encodeHeartbeat,
  redirectTarget,
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

/** How often a worker usually looks whether a report is due. */
export const POLL_MS = 50;

export interface WorkerConfig {
  id: string;
  address: string;
  type: string;
  cpus: number;
  zone: string;
  spot: boolean;
  reportMs: number;
  leaseMs: number;
  /** How often it looks whether a report is due. */
  pollMs: number;
  nodes: { name: string; address: string }[];
  /** How much longer everything takes here. */
  slow: number;
  faulty: boolean;
}

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;

/** Stand-in for a worker, after PROTOCOL. */
export class Worker {
  private incarnation = 1;
  private sequence = 0;
  private token = 0;
  private incarnationBegan: number;
  private lastAnsweredSent = -Infinity;
  private tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  private node: number;
  private reporting = false;
  private changed = false;
  private lastReport = -Infinity;
  private lastTokenChange = -Infinity;
  private dead = false;
  preemptionDeadline: number | null = null;

  constructor(
    private readonly net: Network,
    private readonly random: SeededRandom,
    private readonly rules: Rules,
    private readonly gangs: GangCoordinator,
    readonly config: WorkerConfig,
  ) {
    this.incarnationBegan = this.now();
    this.node = random.int(0, config.nodes.length - 1);
    net.hosts.set(config.address, { handler: (_m, p, b) => this.handle(p, b), hangsUntil: 0 });
    this.loop();
    this.leaseLoop();
  }

  /** The lease ends also on a machine that hangs: it may continue only within it. */
  private leaseLoop(): void {
    if (this.dead) return;
    this.checkLease();
    // Looked at when it may end, since many workers look.
    const ends = Math.max(this.incarnationBegan, this.lastAnsweredSent) + this.config.leaseMs;
    this.net.clock.after(Math.max(20, ends + 1 - this.now()), () => {
      this.leaseLoop();
    });
  }

  private now(): number {
    return this.net.clock.time;
  }

  private after(ms: number, fn: () => void): () => void {
    let off = false;
    const run = (): void => {
      if (this.dead || off) return;
      const hang = this.net.hosts.get(this.config.address)!.hangsUntil;
      if (hang > this.now()) {
        this.net.clock.after(hang - this.now(), run);
        return;
      }
      fn();
    };
    this.net.clock.after(ms, run);
    return () => {
      off = true;
    };
  }

  /** The machine is gone, and everything on it. */
  kill(): void {
    this.killTasks();
    this.dead = true;
    this.net.hosts.get(this.config.address)!.handler = null;
  }

  private killTasks(): void {
    for (const task of this.tasks.values()) {
      task.cancel();
      if (isPresent(task)) this.rules.leave(task.name, this.config.id, false);
      const [job, taskNumber] = this.jobOf(task.name);
      if (job?.spec.kind === 'gang') this.gangs.leave(job, task.attempt, taskNumber, null);
    }
    this.tasks.clear();
  }

  private checkLease(): void {
    if (this.now() - Math.max(this.incarnationBegan, this.lastAnsweredSent) <= this.config.leaseMs)
      return;
    this.killTasks();
    this.incarnation++;
    this.incarnationBegan = this.now();
    this.change();
  }

  private loop(): void {
    this.checkLease();
    const every = this.config.reportMs * this.random.between(0.75, 1.25);
    if (
      !this.reporting &&
      (this.now() - this.lastReport >= every ||
        (this.changed && this.now() - this.lastReport >= 500))
    )
      this.report();
    this.after(this.config.pollMs, () => {
      this.loop();
    });
  }

  private change(): void {
    this.changed = true;
  }

  private see(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    if (this.now() - this.lastTokenChange < this.config.leaseMs / 2) return;
    this.lastTokenChange = this.now();
    this.change();
  }

  private heartbeat(): Body {
    const { id, address, type, zone, spot } = this.config;
    const { preemptionDeadline } = this;
    return encodeHeartbeat({
      machine: id,
      endpoint: address,
      machineType: type,
      zone,
      spot,
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      token: BigInt(this.token),
      preemptionNoticeS:
        preemptionDeadline === null ? null : (preemptionDeadline - this.now()) / 1000,
      tasks: [...this.tasks.values()].map(({ name, attempt, state, cause }) => ({
        task: name,
        attempt: BigInt(attempt),
        state,
        cause,
      })),
    });
  }

  private report(): void {
    this.reporting = true;
    this.changed = false;
    const sent = (this.lastReport = this.now());
    const { incarnation } = this;
    const node = this.config.nodes[this.node % this.config.nodes.length];
    void this.net
      .send(this.config.address, node.address, 'POST', HEARTBEAT_PATH, this.heartbeat(), 4000)
      .then((reply) => {
        if (this.dead) return;
        if (reply.status === 421) this.follow(redirectTarget(reply), node.name);
        else if (reply.status === 200) this.accept(reply.body, sent, incarnation);
        else this.tryNextNode();
      });
  }

  private tryNextNode(): void {
    this.node++;
    this.after(1000, () => (this.reporting = false));
  }

  /** Reports to the node that it was referred to. */
  private follow(target: string | undefined, from: string): void {
    const index = this.config.nodes.findIndex(({ name }) => name === target);
    if (index < 0 || target === from) {
      this.tryNextNode();
      return;
    }
    this.node = index;
    this.after(this.random.between(0, 500), () => {
      this.lastReport = -Infinity;
      this.reporting = false;
    });
  }

  /** The answer to a report that was sent in the given incarnation. */
  private accept(body: Body, sent: number, incarnation: number): void {
    this.reporting = false;
    this.checkLease();
    const { token, commands } = decodeHeartbeatReply(body);
    if (incarnation !== this.incarnation || token === undefined || token < this.token) return;
    this.lastAnsweredSent = sent;
    this.see(token);
    this.execute(commands);
  }

  private handle(path: string, body: Body): Reply {
    this.checkLease();
    if (path === COMMANDS_PATH) {
      const { token, incarnation, commands } = decodeCommandRequest(body);
      if (token === undefined || incarnation === undefined) return { status: 400, body: {} };
      if (token < this.token || incarnation !== this.incarnation)
        return { status: 409, body: this.heartbeat() };
      this.see(token);
      this.execute(commands);
    }
    return { status: 200, body: this.heartbeat() };
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

  private execute(commands: TaskCommand[]): void {
    for (const command of commands) {
      const key = keyOf(command.task, command.attempt);
      const task = this.tasks.get(key);
      if (command.kind === 'start' && !task) this.start(key, command.task, command.attempt);
      if (command.kind === 'stop' && task && task.state !== 'exited')
        this.stop(task, command.graceS);
      if (command.kind === 'remove' && task?.state === 'exited') {
        this.tasks.delete(key);
        this.change();
      }
    }
  }

  private jobOf(task: string): [JobFacts | undefined, number] {
    const slash = task.lastIndexOf('/');
    return [this.rules.jobs.get(task.slice(0, slash)), Number(task.slice(slash + 1))];
  }

  private stop(task: Task, graceS: number): void {
    const [job, taskNumber] = this.jobOf(task.name);
    if (job?.spec.kind === 'gang' && task.state !== 'fetching')
      this.gangs.stop(job, task.attempt, taskNumber, graceS);
    else if (job && this.saves(task, job, graceS)) this.save(task, job.spec.checkpointS);
    else if (task.state !== 'saving' || graceS === 0) this.exit(task, 'stopped');
  }

  private saves(task: Task, job: JobFacts, graceS: number): boolean {
    const { checkpointEveryS, checkpointS } = job.spec;
    return task.state === 'running' && checkpointEveryS > 0 && graceS > 0 && graceS >= checkpointS;
  }

  /** It stays on its machine while it saves. */
  private save(task: Task, checkpointS: number): void {
    task.cancel();
    task.state = 'saving';
    this.change();
    task.cancel = this.after(checkpointS * 1000, () => {
      this.exit(task, 'stopped');
    });
  }

  /** It has its image, and finds the others of its attempt. */
  private join(task: Task, job: JobFacts, taskNumber: number): void {
    task.state = 'waiting';
    this.change();
    const alive = (act: () => void): void => {
      this.after(0, () => {
        if (this.tasks.get(keyOf(task.name, task.attempt)) === task && task.state !== 'exited')
          act();
      });
    };
    this.gangs.arrive(job, task.attempt, taskNumber, {
      run: () => {
        alive(() => {
          task.state = 'running';
          this.change();
        });
      },
      exit: (cause) => {
        alive(() => {
          this.exit(task, cause);
        });
      },
      hangs: () => this.net.hosts.get(this.config.address)!.hangsUntil > this.now(),
      slow: this.config.slow,
    });
  }

  private exit(task: Task, cause: ReportedExitCause): void {
    task.cancel();
    if (isPresent(task)) this.rules.leave(task.name, this.config.id, cause === 'done');
    task.state = 'exited';
    task.cause = cause;
    this.change();
  }

  private start(key: string, name: string, attempt: number): void {
    const task: Task = { name, attempt, state: 'fetching', cancel: () => undefined };
    const [job, taskNumber] = this.jobOf(name);
    const refusal = this.refusalOf(name, job);
    this.tasks.set(key, task);
    this.change();
    if (!job || refusal) {
      task.state = 'exited';
      task.cause = refusal ?? 'unknown_task';
      return;
    }
    task.cancel = this.after(this.fetchMs(job.spec), () => {
      this.begin(task, job, taskNumber);
    });
  }

  private refusalOf(name: string, job: JobFacts | undefined): ReportedExitCause | null {
    if (!job?.submitted) return 'unknown_task';
    if ([...this.tasks.values()].some((task) => task.name === name)) return 'already_present';
    const isFull = this.usedCpus() + job.spec.cpus > this.config.cpus + 1e-6;
    return isFull ? 'insufficient_resources' : null;
  }

  private fetchMs({ image, imageGb }: JobSubmission): number {
    return this.images.has(image) ? 1 : this.random.between(500, 4000) * imageGb;
  }

  /** The task has its image. */
  private begin(task: Task, job: JobFacts, taskNumber: number): void {
    const { id, type, zone, spot, faulty } = this.config;
    const { kind, image } = job.spec;
    this.images.add(image);
    if (kind !== 'gang') task.state = 'running';
    this.rules.start(task.name, { machine: id, type, zone, spot });
    if (kind === 'gang') {
      this.join(task, job, taskNumber);
      return;
    }
    this.change();
    if (faulty) this.exitAfter(300, task, 'error');
    else if (kind === 'array') this.exitAfter(this.runMs(job, taskNumber), task, 'done');
  }

  private exitAfter(ms: number, task: Task, cause: ReportedExitCause): void {
    task.cancel = this.after(ms, () => {
      this.exit(task, cause);
    });
  }

  /** The result of a task that was done before is kept. */
  private runMs(job: JobFacts, taskNumber: number): number {
    if (job.finished.has(taskNumber)) return 1;
    return job.spec.durationS * 1000 * this.random.between(0.7, 1.3) * this.config.slow;
  }
}
