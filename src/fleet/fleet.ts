import type { OperatorSettings } from '../settings/operator.js';
import type { World } from '../runtime.js';
import type { MachineType } from '../wire/model.js';
import type { Machine, MachineTable } from '../workers/table.js';
import type { Cloud } from './cloud.js';
import { type Demand, type Pool, planRentals, targets } from './plan.js';

export interface FleetDeps {
  world: World;
  cloud: Cloud;
  table: MachineTable;
  operator: OperatorSettings;
  types: MachineType[];
  saveMoney: boolean;
  reportS: number;
  listLagS: number;
  /** Unique for ever: no request name is used twice, by any node. */
  requestName(): string;
  leads(): boolean;
  demand(): Demand;
  /** Zones that seem cut off from us: silence there proves nothing. */
  cutZones(): Set<string>;
  /** Answered 200: the machine and everything on it are gone. */
  gone(m: Machine): void;
}

const REFUSED_MS = 12_000;
const PLAN_MS = 1000;
const BOOT_FACTOR = 2.3;
const TAKEOVER_MS = 2000;

/** Rents before need, returns what stands idle, deletes what is silent. Only the leader has one. */
export class Fleet {
  private readonly pools = new Map<string, Pool>();
  private smoothed: { ordinary: number; any: number } | null = null;
  private lastPlan = -Infinity;
  private lastList = -Infinity;
  private listing = false;
  private readonly renting = new Set<Pool>();
  private deletions: number[] = [];
  private readonly goneIds = new Set<string>();

  constructor(private readonly deps: FleetDeps) {
    for (const type of deps.types)
      for (const zone of type.zones)
        for (const spot of [false, true])
          this.pools.set(this.key(type.name, zone, spot), { type, zone, spot, count: 0, refusedUntil: 0 });
  }

  private key(type: string, zone: string, spot: boolean): string {
    return `${type}|${zone}|${spot}`;
  }

  isGone(id: string): boolean {
    return this.goneIds.has(id);
  }

  tick(): void {
    const now = this.deps.world.clock.now();
    if (now - this.lastList > Math.max(3000, this.deps.listLagS * 500) && !this.listing)
      void this.readList(now);
    if (now - this.lastPlan < PLAN_MS) return;
    this.lastPlan = now;
    this.dropDead(now);
    this.plan(now);
  }

  private async readList(now: number): Promise<void> {
    const { cloud, table, types } = this.deps;
    if (!cloud.room()) return;
    this.listing = true;
    this.lastList = now;
    const list = await cloud.list();
    this.listing = false;
    if (!list || !this.deps.leads()) return;
    const t = this.deps.world.clock.now();
    const failed: Machine[] = [];
    for (const l of list) {
      if (this.goneIds.has(l.id)) continue;
      let m = table.get(l.id);
      if (!m) {
        const type = types.find((x) => x.name === l.type);
        if (!type) continue;
        m = table.add(l.id, l.endpoint, type, l.zone, l.spot, t);
        m.rentedAt = t - l.ageS * 1000;
      }
      m.listedAt = t;
      if (!m.endpoint) m.endpoint = l.endpoint;
      if (l.state === 'failed') failed.push(m);
    }
    if (failed.length > 0) void this.remove(failed, 'failed');
  }

  private bound(now: number): number {
    const perRound = Math.max(
      this.deps.operator.deletions_per_round,
      Math.ceil(this.deps.table.size() * 0.12),
    );
    this.deletions = this.deletions.filter((t) => now - t < this.deps.operator.round_s * 1000);
    return perRound - this.deletions.length;
  }

  /** It says nothing, or it hears nothing: neither can be given work, and only its deletion proves anything. */
  isSilent(m: Machine, now: number): boolean {
    const patience = this.deps.operator.silent_reports * this.deps.reportS * 1000 + 500;
    return (m.reported || m.stored) && (now - m.heardAt > patience || m.deaf(patience, now));
  }

  /**
   * After a takeover all old jobs wait for the last machine to speak. Where most have answered our probes at
   * once, one that has not is likely dead: it is not given the time that a silent machine has otherwise.
   */
  private holdsUpTakeover(m: Machine, up: Machine[], now: number): boolean {
    if (!m.suspect || m.reported || now - m.heardAt < TAKEOVER_MS) return false;
    return up.filter((x) => x.certain()).length > 0.6 * up.length;
  }

  /** Machines that say nothing, or never came up: deletion is the quick proof that nothing runs there. */
  private dropDead(now: number): void {
    const up = [...this.deps.table.all()].filter((m) => m.reported || m.stored);
    const silent = up.filter(
      (m) => (this.isSilent(m, now) || this.holdsUpTakeover(m, up, now)) && !m.deleting,
    );
    const dead: Machine[] = [];
    // Many silent ordinary machines at once are a sign that it is we who are cut off.
    const ordinary = up.filter((m) => !m.spot);
    const silentOrdinary = silent.filter((m) => !m.spot);
    const cutOff = silentOrdinary.length > Math.max(2, ordinary.length * 0.3);
    const cutZones = this.deps.cutZones();
    let room = this.bound(now);
    for (const m of silent) {
      const noticed = m.noticeUntil !== null && now > m.noticeUntil;
      if (!noticed && (cutOff || cutZones.has(m.zone) || room-- <= 0)) continue;
      if (!noticed) this.deletions.push(now);
      dead.push(m);
    }
    for (const m of this.deps.table.all()) {
      if (m.reported || m.stored || m.deleting) continue;
      const waited = now - (m.rentedAt ?? now);
      if (waited > BOOT_FACTOR * m.type.bootS * 1000 + 5000) dead.push(m);
    }
    for (const m of up)
      if (m.draining === 'faulty' && !m.deleting && this.bound(now) > 0) {
        this.deletions.push(now);
        dead.push(m);
      }
    if (dead.length > 0) void this.remove(dead, 'silent or never up');
  }

  async remove(machines: Machine[], why: string): Promise<void> {
    const batch = machines.filter((m) => !m.deleting).slice(0, 100);
    if (batch.length === 0 || !this.deps.cloud.room() || !this.deps.leads()) return;
    for (const m of batch) m.deleting = true;
    this.deps.world.log.info({ ids: batch.map((m) => m.id), why }, 'deleting machines');
    const ok = await this.deps.cloud.delete(batch.map((m) => m.id));
    for (const m of batch) {
      m.deleting = false;
      if (!ok) continue;
      this.goneIds.add(m.id);
      this.deps.gone(m);
    }
  }

  private smooth(d: Demand): Demand {
    const s = this.smoothed ?? { ordinary: d.ordinary, any: d.any };
    const up = 0.12;
    const down = 0.04;
    const mix = (old: number, now: number): number => old + (now - old) * (now > old ? up : down);
    this.smoothed = { ordinary: Math.max(d.ordinary, mix(s.ordinary, d.ordinary)), any: mix(s.any, d.any) };
    return { ...d, ...this.smoothed };
  }

  private plan(now: number): void {
    const { deps } = this;
    const demand = this.smooth(deps.demand());
    for (const p of this.pools.values()) p.count = 0;
    for (const m of deps.table.all()) {
      const pool = this.pools.get(this.key(m.type.name, m.zone, m.spot));
      if (
        pool &&
        (!m.draining || m.draining === 'surplus') &&
        m.noticeUntil === null &&
        !m.deleting &&
        !this.isSilent(m, now)
      )
        pool.count++;
    }
    const pools = [...this.pools.values()];
    const up = (spot: boolean): number =>
      pools.filter((p) => p.spot === spot).reduce((n, p) => n + p.count * p.type.cpus, 0);
    deps.world.log.debug(
      { ordinary: demand.ordinary, any: demand.any, haveOrdinary: up(false), haveSpot: up(true) },
      'fleet',
    );
    const input = { pools, demand, saveMoney: deps.saveMoney, spareShare: deps.operator.spare_share, now };
    for (const [pool, count] of planRentals(input)) if (!this.renting.has(pool)) void this.rent(pool, count);
    if (deps.saveMoney) this.shrink(now, demand);
  }

  private async rent(pool: Pool, count: number): Promise<void> {
    const { deps } = this;
    if (!deps.cloud.room() || !deps.leads()) return;
    this.renting.add(pool);
    const r = await deps.cloud.rent(deps.requestName(), pool.type.name, pool.zone, pool.spot, count);
    this.renting.delete(pool);
    const now = deps.world.clock.now();
    deps.world.log.info(
      {
        type: pool.type.name,
        zone: pool.zone,
        spot: pool.spot,
        count,
        got: r.kind === 'rented' ? r.ids.length : r.kind,
      },
      'rent',
    );
    if (r.kind === 'rented') {
      for (const id of r.ids) {
        if (deps.table.get(id) || this.goneIds.has(id)) continue;
        const m = deps.table.add(id, '', pool.type, pool.zone, pool.spot, now);
        m.rentedAt = now;
      }
    }
    if (r.kind !== 'rented' || r.ids.length < count)
      pool.refusedUntil = now + (r.kind === 'refused' ? 2000 : REFUSED_MS);
  }

  /**
   * Machines beyond the target take nothing new, and go once they are empty: their tasks are left to finish.
   * When the demand comes back first, they are taken into use again instead of renting others.
   */
  private shrink(now: number, demand: Demand): void {
    const t = targets(demand, true, this.deps.operator.spare_share);
    const up = [...this.deps.table.all()].filter((m) => m.reported && !m.deleting);
    const active = up.filter((m) => !m.draining);
    let ordinary = active.filter((m) => !m.spot).reduce((s, m) => s + m.type.cpus, 0);
    let total = active.reduce((s, m) => s + m.type.cpus, 0);
    for (const m of up) {
      if (m.draining !== 'surplus') continue;
      if (total + m.type.cpus / 2 < t.total || (!m.spot && ordinary < t.ordinary)) {
        m.draining = null;
        total += m.type.cpus;
        if (!m.spot) ordinary += m.type.cpus;
      }
    }
    const keepsService = (m: Machine): boolean => {
      for (const e of m.entries.values()) if (e.onMachine() && e.job?.spec.kind === 'service') return true;
      return false;
    };
    const busy = (m: Machine): number => m.usedCpus / m.type.cpus;
    active.sort((a, b) => Number(a.spot) - Number(b.spot) || busy(a) - busy(b));
    for (const m of active) {
      if (total - m.type.cpus < t.total || (!m.spot && ordinary - m.type.cpus < t.ordinary)) continue;
      if (keepsService(m) || now - (m.rentedAt ?? 0) < 60_000) continue;
      total -= m.type.cpus;
      if (!m.spot) ordinary -= m.type.cpus;
      m.draining = 'surplus';
    }
    const idleMs = this.deps.operator.idle_return_s * 1000;
    const empty = up.filter(
      (m) => m.draining === 'surplus' && m.usedCpus < 1e-6 && now - m.emptySince > idleMs,
    );
    if (empty.length > 0) void this.remove(empty, 'surplus');
  }
}
