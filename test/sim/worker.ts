import type { Reply } from '../../src/runtime.js';
import { type Body, narrow } from '../../src/wire/cbor.js';
import type { SeededRandom } from './random.js';
import type { Network } from './network.js';
import type { GangCoordinator } from './gang-coordinator.js';
import type { JobFacts, Rules } from './rules.js';

interface Task {
  sack: string;
  try: number;
  condition: 'fetching' | 'waiting' | 'running' | 'flushing' | 'ended';
  cause?: string;
  cancel: () => void;
}

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

/** Stand-in for a worker, after PROTOCOL. */
export class Worker {
  private session = 1;
  private seq = 0;
  private token = 0;
  private sessionBegan: number;
  private lastAnsweredSent = -Infinity;
  private tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  private node: number;
  private reporting = false;
  private changed = false;
  private lastReport = -Infinity;
  private lastTokenChange = -Infinity;
  private dead = false;
  noticeUntil: number | null = null;

  constructor(
    private readonly net: Network,
    private readonly random: SeededRandom,
    private readonly rules: Rules,
    private readonly gangs: GangCoordinator,
    readonly config: WorkerConfig,
  ) {
    this.sessionBegan = this.now();
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
    const ends = Math.max(this.sessionBegan, this.lastAnsweredSent) + this.config.leaseMs;
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
    for (const t of this.tasks.values()) {
      t.cancel();
      if (t.condition === 'waiting' || t.condition === 'running' || t.condition === 'flushing')
        this.rules.leave(t.sack, this.config.id, false);
      const [job, taskNumber] = this.jobOf(t.sack);
      if (job?.spec.grind === 'group') this.gangs.leave(job, t.try, taskNumber, null);
    }
    this.tasks.clear();
  }

  private checkLease(): void {
    if (this.now() - Math.max(this.sessionBegan, this.lastAnsweredSent) <= this.config.leaseMs)
      return;
    this.killTasks();
    this.session++;
    this.sessionBegan = this.now();
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

  private body(): Body {
    const c = this.config;
    return {
      stone: c.id,
      endpoint: c.address,
      stone_kind: c.type,
      yard: c.zone,
      loaned_stones: c.spot,
      turning: this.session,
      tally: ++this.seq,
      warrant: BigInt(this.token),
      recall_s: this.noticeUntil === null ? null : (this.noticeUntil - this.now()) / 1000,
      sacks: [...this.tasks.values()].map((t) => ({
        sack: t.sack,
        try: BigInt(t.try),
        condition: t.condition,
        ...(t.cause ? { cause: t.cause } : {}),
      })),
    };
  }

  private report(): void {
    this.reporting = true;
    this.changed = false;
    const sent = (this.lastReport = this.now());
    const session = this.session;
    const node = this.config.nodes[this.node % this.config.nodes.length];
    const next = (): void => {
      this.node++;
      this.after(1000, () => (this.reporting = false));
    };
    void this.net
      .send(this.config.address, node.address, 'POST', '/agent/beat', this.body(), 4000)
      .then((r) => {
        if (this.dead) return;
        if (r.status === 421) {
          const i = this.config.nodes.findIndex((n) => n.name === r.body.overseer);
          if (i < 0 || this.config.nodes[i] === node) next();
          else {
            this.node = i;
            this.after(this.random.between(0, 500), () => {
              this.lastReport = -Infinity;
              this.reporting = false;
            });
          }
          return;
        }
        if (r.status !== 200) {
          next();
          return;
        }
        this.reporting = false;
        this.checkLease();
        const token = narrow(r.body.warrant);
        if (session !== this.session || token === undefined || token < this.token) return;
        this.lastAnsweredSent = sent;
        this.see(token);
        this.execute((r.body.orders ?? []) as Body[]);
      });
  }

  private handle(path: string, body: Body): Reply {
    this.checkLease();
    if (path === '/commands') {
      const token = narrow(body.warrant);
      if (token === undefined || body.turning === undefined) return { status: 400, body: {} };
      if (token < this.token || narrow(body.turning) !== this.session)
        return { status: 409, body: this.body() };
      this.see(token);
      this.execute((body.orders ?? []) as Body[]);
    }
    return { status: 200, body: this.body() };
  }

  /** Is the task saving here, after it was told to stop? */
  isSaving(sack: string): boolean {
    return [...this.tasks.values()].some((t) => t.sack === sack && t.condition === 'flushing');
  }

  /** Ordered here, and without their image yet. */
  fetching(): string[] {
    return [...this.tasks.values()].filter((t) => t.condition === 'fetching').map((t) => t.sack);
  }

  private usedCpus(): number {
    let sum = 0;
    for (const t of this.tasks.values())
      if (t.condition !== 'ended') sum += this.specOf(t.sack).vcpus as number;
    return sum;
  }

  private specOf(sack: string): Body {
    return this.rules.jobs.get(sack.slice(0, sack.lastIndexOf('/')))?.spec ?? { vcpus: 0 };
  }

  private execute(orders: Body[]): void {
    for (const o of orders) {
      const key = `${o.sack as string}#${narrow(o.try)!}`;
      const t = this.tasks.get(key);
      if (o.order === 'run' && !t) this.run(key, o.sack as string, narrow(o.try)!);
      if (o.order === 'stop' && t && t.condition !== 'ended') this.stop(t, o.wind_down_s as number);
      if (o.order === 'reap' && t?.condition === 'ended') {
        this.tasks.delete(key);
        this.change();
      }
    }
  }

  private jobOf(sack: string): [JobFacts | undefined, number] {
    const slash = sack.lastIndexOf('/');
    return [this.rules.jobs.get(sack.slice(0, slash)), Number(sack.slice(slash + 1))];
  }

  private stop(t: Task, graceS: number): void {
    const [job, taskNumber] = this.jobOf(t.sack);
    if (job?.spec.grind === 'group' && t.condition !== 'fetching')
      this.gangs.stop(job, t.try, taskNumber, graceS);
    else if (job && this.saves(t, job, graceS)) this.save(t, job.spec.bin_s as number);
    else if (t.condition !== 'flushing' || graceS === 0) this.end(t, 'stopped');
  }

  private saves(t: Task, job: JobFacts, graceS: number): boolean {
    const { bin_every_s: every, bin_s: saveS } = job.spec;
    return (
      t.condition === 'running' &&
      (every as number) > 0 &&
      graceS > 0 &&
      graceS >= (saveS as number)
    );
  }

  /** It stays on its machine while it saves. */
  private save(t: Task, saveS: number): void {
    t.cancel();
    t.condition = 'flushing';
    this.change();
    t.cancel = this.after(saveS * 1000, () => {
      this.end(t, 'stopped');
    });
  }

  /** It has its image, and finds the others of its attempt. */
  private join(t: Task, job: JobFacts, taskNumber: number): void {
    t.condition = 'waiting';
    this.change();
    const alive = (fn: () => void): void => {
      this.after(0, () => {
        if (this.tasks.get(`${t.sack}#${t.try}`) === t && t.condition !== 'ended') fn();
      });
    };
    this.gangs.arrive(job, t.try, taskNumber, {
      run: () => {
        alive(() => {
          t.condition = 'running';
          this.change();
        });
      },
      exit: (cause) => {
        alive(() => {
          this.end(t, cause);
        });
      },
      hangs: () => this.net.hosts.get(this.config.address)!.hangsUntil > this.now(),
      slow: this.config.slow,
    });
  }

  private end(t: Task, cause: string): void {
    t.cancel();
    if (t.condition === 'waiting' || t.condition === 'running' || t.condition === 'flushing')
      this.rules.leave(t.sack, this.config.id, cause === 'done');
    t.condition = 'ended';
    t.cause = cause;
    this.change();
  }

  private run(key: string, sack: string, attempt: number): void {
    const t: Task = { sack, try: attempt, condition: 'fetching', cancel: () => undefined };
    const job = this.rules.jobs.get(sack.slice(0, sack.lastIndexOf('/')));
    const other = [...this.tasks.values()].some((x) => x.sack === sack);
    const refused = !job?.submitted ? 'no_such' : other ? 'busy' : null;
    const full =
      !refused && this.usedCpus() + (job!.spec.vcpus as number) > this.config.cpus + 1e-6;
    this.tasks.set(key, t);
    this.change();
    if (refused || full) {
      t.condition = 'ended';
      t.cause = refused ?? 'no_room';
      return;
    }
    const s = job!.spec;
    const fetch = this.images.has(s.seed as string)
      ? 1
      : this.random.between(500, 4000) * (s.image_gb as number);
    const begin = (): void => {
      this.images.add(s.seed as string);
      if (s.grind !== 'group') t.condition = 'running';
      this.rules.start(sack, {
        machine: this.config.id,
        type: this.config.type,
        zone: this.config.zone,
        spot: this.config.spot,
      });
      if (s.grind === 'group') {
        this.join(t, job!, Number(sack.slice(sack.lastIndexOf('/') + 1)));
        return;
      }
      this.change();
      if (this.config.faulty || s.broken === true)
        t.cancel = this.after(300, () => {
          this.end(t, 'error');
        });
      else if (s.grind !== 'daemon') {
        const kept = job!.finished.has(Number(sack.slice(sack.lastIndexOf('/') + 1)));
        const ms = kept
          ? 1
          : (s.grind_s as number) * 1000 * this.random.between(0.7, 1.3) * this.config.slow;
        t.cancel = this.after(ms, () => {
          this.end(t, 'done');
        });
      }
    };
    t.cancel = this.after(fetch, begin);
  }
}
