/** Simulated worker: sends heartbeats to the controllers, enforces its lease, and executes commands. */
import type { HttpResponse } from '../../src/runtime.js';
import type { Body } from '../../src/wire/cbor.js';
import type { SeededRandom } from './random.js';
import type { Network } from './network.js';
import type { GangCoordinator } from './gang-coordinator.js';
import type { Invariants } from './invariants.js';
import {
  COMMANDS_PATH,
  HEARTBEAT_PATH,
  decodeCommandRequest,
  decodeHeartbeatResponse,
  encodeHeartbeat,
  redirectTarget,
} from './wire/workers.js';
import { type TaskMachine, WorkerTasks } from './worker-tasks.js';

/** Default interval, in milliseconds, at which a worker checks whether a heartbeat is due. */
export const POLL_MS = 50;

/** The machine, and how its worker communicates with the controllers. Times are in milliseconds. */
export interface WorkerConfig extends TaskMachine {
  address: string;
  /** Average interval of heartbeats. */
  reportMs: number;
  /** Duration of the lease, from the sending of the last heartbeat that got a response. */
  leaseMs: number;
  /** Interval at which the worker checks whether a heartbeat is due. */
  pollMs: number;
  nodes: { name: string; address: string }[];
}

/** Simulated worker, as PROTOCOL specifies. */
export class Worker {
  private incarnation = 1;
  private sequence = 0;
  /** The highest fencing token seen. */
  private token = 0;
  private incarnationBeganAt: number;
  /** Virtual time at which the last heartbeat that got a valid response was sent. */
  private lastAcknowledgedSentAt = -Infinity;
  readonly tasks: WorkerTasks;
  /** Index of the controller that gets the heartbeats; wraps around. */
  private nodeIndex: number;
  private isAwaitingResponse = false;
  /** Whether there are changes to report, which make the next heartbeat due sooner. */
  private hasChanged = false;
  private lastHeartbeatAt = -Infinity;
  private lastTokenChangeAt = -Infinity;
  private isDead = false;
  /** Virtual time at which the cloud will preempt the machine; null without a preemption notice. */
  preemptionDeadline: number | null = null;

  constructor(
    private readonly network: Network,
    private readonly random: SeededRandom,
    invariants: Invariants,
    gangs: GangCoordinator,
    readonly config: WorkerConfig,
  ) {
    this.incarnationBeganAt = this.now();
    this.tasks = new WorkerTasks({
      machine: config,
      random,
      invariants,
      gangs,
      after: (ms, callback) => this.after(ms, callback),
      isHanging: () => network.hosts.get(config.address)!.hangsUntil > this.now(),
      changed: () => {
        this.noteChange();
      },
    });
    this.nodeIndex = random.int(0, config.nodes.length - 1);
    network.hosts.set(config.address, {
      handler: (_method, path, body) => this.handle(path, body),
      hangsUntil: 0,
    });
    this.heartbeatLoop();
    this.leaseLoop();
  }

  /** Enforces the lease also while the machine hangs, so that it may resume its tasks only before the lease expires. */
  private leaseLoop(): void {
    if (this.isDead) return;
    this.checkLease();
    // Checked only when it may expire, since there may be many workers.
    const expiresAt =
      Math.max(this.incarnationBeganAt, this.lastAcknowledgedSentAt) + this.config.leaseMs;
    this.network.clock.after(Math.max(20, expiresAt + 1 - this.now()), () => {
      this.leaseLoop();
    });
  }

  private now(): number {
    return this.network.clock.time;
  }

  /** Runs the callback after this time, or once the machine no longer hangs; returns a function that cancels it. */
  private after(ms: number, callback: () => void): () => void {
    let isCancelled = false;
    const run = (): void => {
      if (this.isDead || isCancelled) return;
      const hangsUntil = this.network.hosts.get(this.config.address)!.hangsUntil;
      if (hangsUntil > this.now()) {
        this.network.clock.after(hangsUntil - this.now(), run);
        return;
      }
      callback();
    };
    this.network.clock.after(ms, run);
    return () => {
      isCancelled = true;
    };
  }

  /**
   * Restarts the machine: all tasks are lost. The session goes on, since the lease has not expired, and the worker knows
   * the highest token that it has seen.
   */
  restart(): void {
    this.tasks.killAll();
    this.noteChange();
  }

  /** Ends the worker and all tasks on its machine. */
  kill(): void {
    this.tasks.killAll();
    this.isDead = true;
    this.network.hosts.get(this.config.address)!.handler = null;
  }

  private checkLease(): void {
    if (
      this.now() - Math.max(this.incarnationBeganAt, this.lastAcknowledgedSentAt) <=
      this.config.leaseMs
    )
      return;
    this.tasks.killAll();
    this.incarnation++;
    this.incarnationBeganAt = this.now();
    this.noteChange();
  }

  private heartbeatLoop(): void {
    this.checkLease();
    const intervalMs = this.config.reportMs * this.random.between(0.75, 1.25);
    if (
      !this.isAwaitingResponse &&
      (this.now() - this.lastHeartbeatAt >= intervalMs ||
        (this.hasChanged && this.now() - this.lastHeartbeatAt >= 500))
    )
      this.sendHeartbeat();
    this.after(this.config.pollMs, () => {
      this.heartbeatLoop();
    });
  }

  private noteChange(): void {
    this.hasChanged = true;
  }

  private observeToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    if (this.now() - this.lastTokenChangeAt < this.config.leaseMs / 2) return;
    this.lastTokenChangeAt = this.now();
    this.noteChange();
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
      tasks: this.tasks.reported(),
    });
  }

  private sendHeartbeat(): void {
    this.isAwaitingResponse = true;
    this.hasChanged = false;
    const sentAt = (this.lastHeartbeatAt = this.now());
    const { incarnation } = this;
    const node = this.config.nodes[this.nodeIndex % this.config.nodes.length];
    void this.network
      .send(this.config.address, node.address, 'POST', HEARTBEAT_PATH, this.heartbeat(), 4000)
      .then((response) => {
        if (this.isDead) return;
        if (response.status === 421) this.followRedirect(redirectTarget(response), node.name);
        else if (response.status === 200) this.acceptResponse(response.body, sentAt, incarnation);
        else this.tryNextNode();
      });
  }

  private tryNextNode(): void {
    this.nodeIndex++;
    this.after(1000, () => (this.isAwaitingResponse = false));
  }

  /** Sends further heartbeats to the node that a response redirected it to. */
  private followRedirect(target: string | undefined, from: string): void {
    const index = this.config.nodes.findIndex(({ name }) => name === target);
    if (index < 0 || target === from) {
      this.tryNextNode();
      return;
    }
    this.nodeIndex = index;
    this.after(this.random.between(0, 500), () => {
      this.lastHeartbeatAt = -Infinity;
      this.isAwaitingResponse = false;
    });
  }

  /** Processes the response to a heartbeat that was sent at `sentAt` in the given incarnation. */
  private acceptResponse(body: Body, sentAt: number, incarnation: number): void {
    this.isAwaitingResponse = false;
    this.checkLease();
    const { token, commands } = decodeHeartbeatResponse(body);
    if (incarnation !== this.incarnation || token === undefined || token < this.token) return;
    this.lastAcknowledgedSentAt = sentAt;
    this.observeToken(token);
    this.tasks.execute(commands);
  }

  private handle(path: string, body: Body): HttpResponse {
    this.checkLease();
    if (path === COMMANDS_PATH) {
      const { token, incarnation, commands } = decodeCommandRequest(body);
      if (token === undefined || incarnation === undefined) return { status: 400, body: {} };
      if (token < this.token || incarnation !== this.incarnation)
        return { status: 409, body: this.heartbeat() };
      this.observeToken(token);
      this.tasks.execute(commands);
    }
    return { status: 200, body: this.heartbeat() };
  }
}
