/** Stand-in for a worker: sends heartbeats to the controllers, keeps its lease, and takes commands. */
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

/** How often a worker usually looks whether a heartbeat is due. */
export const POLL_MS = 50;

/** The machine, and how its worker talks to the controllers. Times are in milliseconds. */
export interface WorkerConfig extends TaskMachine {
  address: string;
  reportMs: number;
  leaseMs: number;
  /** How often it looks whether a heartbeat is due. */
  pollMs: number;
  nodes: { name: string; address: string }[];
}

/** Stand-in for a worker, after PROTOCOL. */
export class Worker {
  private incarnation = 1;
  private sequence = 0;
  private token = 0;
  private incarnationBegan: number;
  private lastAnsweredSent = -Infinity;
  readonly tasks: WorkerTasks;
  private node: number;
  private isAwaitingReply = false;
  private hasChanged = false;
  private lastHeartbeatAt = -Infinity;
  private lastTokenChange = -Infinity;
  private dead = false;
  preemptionDeadline: number | null = null;

  constructor(
    private readonly network: Network,
    private readonly random: SeededRandom,
    invariants: Invariants,
    gangs: GangCoordinator,
    readonly config: WorkerConfig,
  ) {
    this.incarnationBegan = this.now();
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
    this.node = random.int(0, config.nodes.length - 1);
    network.hosts.set(config.address, {
      handler: (_method, path, body) => this.handle(path, body),
      hangsUntil: 0,
    });
    this.loop();
    this.leaseLoop();
  }

  /** The lease ends also on a machine that hangs: it may continue only within it. */
  private leaseLoop(): void {
    if (this.dead) return;
    this.checkLease();
    // Looked at when it may end, since many workers look.
    const ends = Math.max(this.incarnationBegan, this.lastAnsweredSent) + this.config.leaseMs;
    this.network.clock.after(Math.max(20, ends + 1 - this.now()), () => {
      this.leaseLoop();
    });
  }

  private now(): number {
    return this.network.clock.time;
  }

  private after(ms: number, callback: () => void): () => void {
    let off = false;
    const run = (): void => {
      if (this.dead || off) return;
      const hang = this.network.hosts.get(this.config.address)!.hangsUntil;
      if (hang > this.now()) {
        this.network.clock.after(hang - this.now(), run);
        return;
      }
      callback();
    };
    this.network.clock.after(ms, run);
    return () => {
      off = true;
    };
  }

  /** The machine is gone, and everything on it. */
  kill(): void {
    this.tasks.killAll();
    this.dead = true;
    this.network.hosts.get(this.config.address)!.handler = null;
  }

  private checkLease(): void {
    if (this.now() - Math.max(this.incarnationBegan, this.lastAnsweredSent) <= this.config.leaseMs)
      return;
    this.tasks.killAll();
    this.incarnation++;
    this.incarnationBegan = this.now();
    this.noteChange();
  }

  private loop(): void {
    this.checkLease();
    const every = this.config.reportMs * this.random.between(0.75, 1.25);
    if (
      !this.isAwaitingReply &&
      (this.now() - this.lastHeartbeatAt >= every ||
        (this.hasChanged && this.now() - this.lastHeartbeatAt >= 500))
    )
      this.sendHeartbeat();
    this.after(this.config.pollMs, () => {
      this.loop();
    });
  }

  private noteChange(): void {
    this.hasChanged = true;
  }

  private observeToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    if (this.now() - this.lastTokenChange < this.config.leaseMs / 2) return;
    this.lastTokenChange = this.now();
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
    this.isAwaitingReply = true;
    this.hasChanged = false;
    const sent = (this.lastHeartbeatAt = this.now());
    const { incarnation } = this;
    const node = this.config.nodes[this.node % this.config.nodes.length];
    void this.network
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
    this.after(1000, () => (this.isAwaitingReply = false));
  }

  /** Sends its heartbeats to the node that it was referred to. */
  private follow(target: string | undefined, from: string): void {
    const index = this.config.nodes.findIndex(({ name }) => name === target);
    if (index < 0 || target === from) {
      this.tryNextNode();
      return;
    }
    this.node = index;
    this.after(this.random.between(0, 500), () => {
      this.lastHeartbeatAt = -Infinity;
      this.isAwaitingReply = false;
    });
  }

  /** The answer to a heartbeat that was sent in the given incarnation. */
  private accept(body: Body, sent: number, incarnation: number): void {
    this.isAwaitingReply = false;
    this.checkLease();
    const { token, commands } = decodeHeartbeatResponse(body);
    if (incarnation !== this.incarnation || token === undefined || token < this.token) return;
    this.lastAnsweredSent = sent;
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
