import type { Reply } from '../../src/runtime.js';
import { type Body, narrow } from '../../src/wire/cbor.js';
import type { VirtualClock } from './clock.js';
import type { SeededRandom } from './random.js';
import type { Worker } from './worker.js';

export interface CloudMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  rentedAt: number;
  bootMs: number;
  worker: Worker | null;
  condition: 'starting' | 'running' | 'failed';
}

/** A machine type as the catalog tells of it, apart from its zones. */
export interface CloudType {
  name: string;
  vcpus: number;
  gpus: number;
  ram_gb: number;
  fetch_gb_per_s: number;
  price: number;
  spot_price: number;
  boot_s: number;
}

/** How many machines of a type there are in a zone, of each kind: ordinary and spot. */
export interface CloudPool {
  type: string;
  zone: string;
  count: number;
}

export const TYPES: CloudType[] = [
  {
    name: 't16',
    vcpus: 16,
    gpus: 0,
    ram_gb: 64,
    fetch_gb_per_s: 0.5,
    price: 1,
    spot_price: 0.3,
    boot_s: 5,
  },
];

/** A page of the list holds at most so many machines. */
const PAGE = 500;

/** Stand-in for the cloud, after PROTOCOL: lists lag and come in pages, some machines never come up. */
export class CloudService {
  readonly machines = new Map<string, CloudMachine>();
  private readonly answers = new Map<string, string[]>();
  private readonly snapshots: { at: number; list: Body[] }[] = [];
  private next = 1;
  downUntil = 0;
  /** Calls that came, and those beyond the rate, which get 429. */
  readonly asked = { calls: 0, tooMany: 0 };
  private level: number;
  private levelAt = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly pools: CloudPool[],
    private readonly boot: (m: CloudMachine) => Worker,
    private readonly endpointOf: (id: string) => string = (id) => `w-${id}:9000`,
    private readonly rps = Infinity,
    private readonly types = TYPES,
  ) {
    this.level = 2 * rps;
    this.snapshotLoop();
  }

  /** Bursts of two seconds' worth are allowed. */
  private tooMany(): boolean {
    this.asked.calls++;
    if (this.rps === Infinity) return false;
    this.level = Math.min(
      2 * this.rps,
      this.level + ((this.clock.time - this.levelAt) / 1000) * this.rps,
    );
    this.levelAt = this.clock.time;
    if (this.level < 1) {
      this.asked.tooMany++;
      return true;
    }
    this.level--;
    return false;
  }

  /** Names are never used twice: those of machines that tests only tell of are passed over. */
  namesFrom(number: number): void {
    this.next = number;
  }

  private page(path: string): Reply {
    const query = new URLSearchParams(path.slice(path.indexOf('?')));
    const limit = Math.min(PAGE, Number(query.get('limit') ?? PAGE));
    const since = query.get('since') ?? '';
    const at = this.clock.time - this.random.between(1000, 4000);
    const list = [...this.snapshots].reverse().find((x) => x.at <= at)?.list ?? [];
    const rest = list.filter((m) => (m.id as string) > since);
    return { status: 200, body: { stones: rest.slice(0, limit), truncated: rest.length > limit } };
  }

  private snapshotLoop(): void {
    const list = [...this.machines.values()].map((m) => ({
      id: m.id,
      endpoint: this.endpointOf(m.id),
      stone_kind: m.type,
      yard: m.zone,
      loaned_stones: m.spot,
      condition: m.condition,
      age_s: (this.clock.time - m.rentedAt) / 1000,
    }));
    this.snapshots.push({ at: this.clock.time, list });
    if (this.snapshots.length > 20) this.snapshots.shift();
    this.clock.after(500, () => {
      this.snapshotLoop();
    });
  }

  add(type: string, zone: string, spot: boolean, up: boolean): CloudMachine {
    const id = `i-${String(this.next++).padStart(6, '0')}`;
    const bootMs = up ? 0 : this.random.chance(0.03) ? Infinity : this.random.between(2500, 9000);
    const m: CloudMachine = {
      id,
      type,
      zone,
      spot,
      rentedAt: this.clock.time,
      bootMs,
      worker: null,
      condition: 'starting',
    };
    this.machines.set(id, m);
    if (bootMs < Infinity)
      this.clock.after(bootMs, () => {
        if (this.machines.get(id) !== m) return;
        m.condition = 'running';
        m.worker = this.boot(m);
      });
    return m;
  }

  take(m: CloudMachine): void {
    m.worker?.kill();
    this.machines.delete(m.id);
  }

  handle(path: string, body: Body): Reply {
    if (this.tooMany()) return { status: 429, body: {} };
    if (this.clock.time < this.downUntil) return { status: 503, body: { error: 'trouble' } };
    if (path === '/catalog') {
      const yardsOf = (type: CloudType): string[] =>
        this.pools.filter((pool) => pool.type === type.name).map((pool) => pool.zone);
      return {
        status: 200,
        body: { stone_kinds: this.types.map((t) => ({ ...t, yards: yardsOf(t) })) },
      };
    }
    if (path === '/machines/delete') {
      for (const id of body.stones as string[]) {
        const m = this.machines.get(id);
        if (m) this.take(m);
      }
      return { status: 200, body: {} };
    }
    if (path.startsWith('/machines?')) return this.page(path);
    const hire = body.hire as string;
    const old = this.answers.get(hire);
    if (old) return { status: 200, body: { stones: old } };
    const spot = body.loaned_stones === true;
    const pool = this.pools.find((p) => p.type === body.stone_kind && p.zone === body.yard);
    const used = [...this.machines.values()].filter(
      (m) => m.type === body.stone_kind && m.zone === body.yard && m.spot === spot,
    ).length;
    const n = Math.min(narrow(body.number)!, (pool?.count ?? 0) - used);
    if (n <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids = Array.from(
      { length: n },
      () => this.add(body.stone_kind as string, body.yard as string, spot, false).id,
    );
    this.answers.set(hire, ids);
    return { status: 200, body: { stones: ids } };
  }
}
