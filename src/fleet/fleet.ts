import type { OperatorSettings } from '../settings/operator.js';
import type { World } from '../runtime.js';
import type { MachineType } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
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
  /** Until when leases may be kept in a zone that is cut off, by the controllers in it; null if it has none. */
  keptUntil(zone: string): number | null;
  /** Zones that have controllers. */
  homeZones: Set<string>;
  leaseS: number;
  /** We are behind ourselves: what seems silent may just wait unread. */
  behind(): boolean;
  /** Answered 200: the machine and everything on it are gone. */
  gone(m: Machine): void;
}

const REFUSED_MS = 12_000;
const PLAN_MS = 1000;
const BOOT_FACTOR = 2.3;
const TAKEOVER_MS = 2000;
const UNNEEDED_MS = 30_000;
const FIRST_LOOK_MS = 2500;
/** Of the demand. */
const NEXT_TO_NOTHING = 0.4;
/**
 * Reports are a quarter late at most. One that is later is asked for; unasked and unanswered for the longer time,
 * the machine counts as silent.
 */
const OVERDUE_REPORTS = 1.27;
const OVERDUE_MS = 200;
const MUTE_REPORTS = 1.6;
/** A zone with fewer machines than this is not judged as a whole. */
const LOST_LEAST = 4;
/** Of so many machines some report every moment: when none does, it is we who are cut off, and silence proves nothing. */
const MANY = 30;
const NOBODY_MS = 1500;
const SHUN_MS = 45_000;
const LOST_LEASE = 0.8;
/** Nobody waits for a zone for longer than this. */
const LOST_FOR_GOOD_MS = 120_000;

/** Rents before need, returns what stands idle, deletes what is silent. Only the leader has one. */
export class Fleet {
  private readonly pools = new Map<string, Pool>();
  private smoothed: { ordinary: number; any: number } | null = null;
  private lastPlan = -Infinity;
  private lastList = -Infinity;
  private listing = false;
  private readonly tookOverAt: number;
  private readonly renting = new Set<Pool>();
  private deletions: number[] = [];
  private readonly goneIds = new Set<string>();
  /** Zones that are cut off, as judged last. */
  private lost = new Set<string>();
  /** Zones that were lost a while ago: machines rented there would not reach us either. */
  private readonly shunned = new Map<string, number>();

  constructor(private readonly deps: FleetDeps) {
    this.tookOverAt = deps.world.clock.now();
    for (const type of deps.types)
      for (const zone of type.zones)
        for (const spot of [false, true])
          this.pools.set(this.key(type.name, zone, spot), {
            type,
            zone,
            spot,
            home: deps.homeZones.has(zone),
            count: 0,
            refusedUntil: 0,
          });
  }

  private key(type: string, zone: string, spot: boolean): string {
    return `${type}|${zone}|${spot}`;
  }

  /** Its zone is cut off, as far as was seen. */
  isLost(m: Machine): boolean {
    return this.lost.has(m.zone);
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
    // A new leader does not know yet which zones are cut off: what it rented there would be missing elsewhere.
    const known = now - this.tookOverAt > FIRST_LOOK_MS || ![...this.deps.table.all()].some((m) => m.suspect);
    if (known) this.plan(now);
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
        // Up for long, but not among the stored ones: a former leader saw its lease run out. It may come back.
        m.expired = l.state === 'running' && l.ageS > BOOT_FACTOR * type.bootS;
      }
      m.listedAt = t;
      if (!m.endpoint) m.endpoint = l.endpoint;
      if (l.state === 'failed') failed.push(m);
    }
    for (const m of table.all())
      m.unlisted = m.listedAt !== t && t - (m.rentedAt ?? this.tookOverAt) > this.listAgeMs();
    if (failed.length > 0) void this.remove(failed, 'failed');
  }

  /** No list is older than this. */
  private listAgeMs(): number {
    return 2 * this.deps.listLagS * 1000 + 1000;
  }

  private bound(now: number): number {
    const perRound = Math.max(
      this.deps.operator.deletions_per_round,
      Math.ceil(this.deps.table.size() * 0.12),
    );
    this.deletions = this.deletions.filter((t) => now - t < this.deps.operator.round_s * 1000);
    return perRound - this.deletions.length;
  }

  private patienceMs(): number {
    return this.deps.operator.silent_reports * this.deps.reportS * 1000 + 500;
  }

  /** Its report is overdue: it is asked, since that tells sooner than the next reports that do not come. */
  isOverdue(m: Machine, now: number): boolean {
    return (
      (m.reported || m.stored) && now - m.heardAt > OVERDUE_REPORTS * this.deps.reportS * 1000 + OVERDUE_MS
    );
  }

  /** It says nothing, or it hears nothing: neither can be given work, and only its deletion proves anything. */
  isSilent(m: Machine, now: number): boolean {
    if (m.expired) return true;
    if (!m.reported && !m.stored) return false;
    const quiet = now - m.heardAt;
    const unanswered =
      m.commandFailures >= 2 && this.isOverdue(m, now) && quiet > MUTE_REPORTS * this.deps.reportS * 1000;
    return unanswered || quiet > this.patienceMs() || m.deaf(this.patienceMs(), now);
  }

  /**
   * After a takeover all old jobs wait for the last machine to speak. Where nearly all have answered our probes,
   * one that has not is likely dead or deaf: it is not given the time that a silent machine has otherwise, and
   * whether we were behind does not matter, since the answers of the others have been read. A lost zone whose
   * machines nobody can keep alive is not waited for either: all other zones' old jobs would stand still.
   */
  private holdsUpTakeover(m: Machine, lost: Set<string>, nearlyAll: boolean, now: number): boolean {
    if (!m.suspect || m.certain() || m.commandFailures < 2 || !nearlyAll) return false;
    return now - this.tookOverAt > (lost.has(m.zone) ? 2 * TAKEOVER_MS : TAKEOVER_MS);
  }

  /**
   * A zone that is cut off comes back, and then its machines are worth more than new ones: they are up, hold the
   * images, and may be the only place for replicas that have to be spread. So they are left alone, and the end of
   * their leases is the proof. Only shortly before these end is a deletion quicker, for replicas that can then run
   * elsewhere at once; and in a takeover that waits for nothing else, unless somebody may keep them.
   */
  private givesUpLost(m: Machine, holdsUp: boolean, quiet: number, now: number): boolean {
    // What it held runs elsewhere by now: while it is paid for, it is only worth keeping for what it holds.
    if (quiet > LOST_FOR_GOOD_MS || (this.deps.saveMoney && m.expired)) return true;
    const most = this.deps.leaseS * 1000 * LOST_LEASE;
    const kept = this.deps.keptUntil(m.zone);
    if (kept === null) return holdsUp || (m.services > 0 && quiet > most);
    // Spread replicas need two zones beside the lost one, or they would find no place elsewhere.
    const zones = new Set([...this.pools.values()].map((p) => p.zone));
    return (m.services > 0 || m.suspect) && zones.size - this.lost.size >= 2 && now > kept + most;
  }

  /** Machines that say nothing, or never came up: deletion is the quick proof that nothing runs there. */
  private dropDead(now: number): void {
    const behind = this.deps.behind();
    const up = [...this.deps.table.all()].filter((m) => m.reported || m.stored || m.expired);
    const lost = this.lostZones(up, now);
    // A zone that is back is not heard all at once: those that have not spoken yet get the time for a report.
    for (const m of up)
      if (this.lost.has(m.zone) && !lost.has(m.zone) && !m.expired) m.heardAt = Math.max(m.heardAt, now);
    this.lost = lost;
    for (const zone of lost) this.shunned.set(zone, now + SHUN_MS);
    // Many silent ordinary machines at once, in several zones, are a sign that it is we who are cut off.
    const elsewhere = up.filter((m) => !lost.has(m.zone));
    const ordinary = elsewhere.filter((m) => !m.spot);
    const lastHeard = up.reduce((t, m) => Math.max(t, m.heardAt), -Infinity);
    const cutOff =
      (up.length >= MANY && now - lastHeard > NOBODY_MS) ||
      ordinary.filter((m) => this.isSilent(m, now)).length > Math.max(2, ordinary.length * 0.3);
    const nearlyAll = elsewhere.filter((m) => m.certain()).length > 0.85 * elsewhere.length;
    const cutZones = this.deps.cutZones();
    const dead: Machine[] = [];
    let room = this.bound(now);
    for (const m of up) {
      if (m.deleting) continue;
      const noticed = m.noticeUntil !== null && now > m.noticeUntil;
      const holdsUp = this.holdsUpTakeover(m, lost, nearlyAll, now);
      const quiet = now - m.heardAt;
      const patience = this.patienceMs() * (behind ? 2 : 1);
      // Taken by the cloud, most likely. Its deletion proves it, and can't hit a machine that lives.
      if (m.unlisted && this.isOverdue(m, now)) {
        dead.push(m);
        continue;
      }
      const silent = this.isSilent(m, now) && (!(behind || m.expired) || quiet > patience);
      if (!silent && !holdsUp) continue;
      if (lost.has(m.zone) && !noticed) {
        if (this.givesUpLost(m, holdsUp, quiet, now)) dead.push(m);
        continue;
      }
      if (!noticed && (cutOff || cutZones.has(m.zone) || room-- <= 0)) continue;
      if (!noticed) this.deletions.push(now);
      dead.push(m);
    }
    for (const m of this.deps.table.all()) {
      if (m.reported || m.stored || m.expired || m.deleting) continue;
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

  /** Sooner than silent: a zone must be judged as a whole before the first of its machines is given up by itself. */
  private isUnheard(m: Machine, now: number): boolean {
    return m.expired || this.isOverdue(m, now) || (m.suspect && !m.certain() && m.commandFailures > 0);
  }

  /** Zones where nearly every machine is unheard while the other zones are heard: the zone is cut off, not we. */
  private lostZones(up: Machine[], now: number): Set<string> {
    const zones = new Map<string, { all: number; silent: number }>();
    for (const m of up) {
      const z = zones.get(m.zone) ?? { all: 0, silent: 0 };
      z.all++;
      if (this.isUnheard(m, now)) z.silent++;
      zones.set(m.zone, z);
    }
    const mostly = [...zones].filter(([, z]) => z.all >= LOST_LEAST && z.silent > 0.7 * z.all);
    const others = [...zones].filter(([name]) => !mostly.some(([n]) => n === name));
    const [heard, all] = others.reduce(([h, a], [, z]) => [h + z.all - z.silent, a + z.all], [0, 0]);
    return new Set(heard > 0.7 * all && heard >= LOST_LEAST ? mostly.map(([name]) => name) : []);
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

  /**
   * A rise is followed slowly, since it may pass before machines are up; but not when there is next to nothing. What
   * a new leader finds waiting is such a rise: followed at once, it rented machines that came up for nothing.
   */
  private smooth(d: Demand, have: number): Demand {
    // No job at all: what is left of a mean would keep renting for nobody.
    if (d.ordinary + d.any === 0) {
      this.smoothed = null;
      return d;
    }
    const little = have < NEXT_TO_NOTHING * (d.ordinary + d.any);
    const s = this.smoothed ?? {
      ordinary: d.ordinary,
      any: little ? d.any : Math.max(0, Math.min(d.any, have - d.ordinary)),
    };
    const up = little ? 1 : 0.12;
    const down = 0.04;
    const mix = (old: number, now: number): number => old + (now - old) * (now > old ? up : down);
    this.smoothed = { ordinary: Math.max(d.ordinary, mix(s.ordinary, d.ordinary)), any: mix(s.any, d.any) };
    return { ...d, ...this.smoothed };
  }

  private plan(now: number): void {
    const { deps } = this;
    for (const p of this.pools.values()) p.count = 0;
    for (const m of deps.table.all()) {
      const pool = this.pools.get(this.key(m.type.name, m.zone, m.spot));
      if (
        pool &&
        (!m.draining || m.draining === 'surplus') &&
        m.noticeUntil === null &&
        !m.deleting &&
        !this.isSilent(m, now) &&
        (m.reported || !this.lost.has(m.zone))
      )
        pool.count++;
    }
    const pools = [...this.pools.values()];
    for (const p of pools)
      if (now < (this.shunned.get(p.zone) ?? 0)) p.refusedUntil = Math.max(p.refusedUntil, now + PLAN_MS);
    const up = (spot: boolean): number =>
      pools.filter((p) => p.spot === spot).reduce((n, p) => n + p.count * p.type.cpus, 0);
    const demand = this.smooth(deps.demand(), up(false) + up(true));
    deps.world.log.debug(
      { ordinary: demand.ordinary, any: demand.any, haveOrdinary: up(false), haveSpot: up(true) },
      'fleet',
    );
    const input = { pools, demand, saveMoney: deps.saveMoney, spareShare: deps.operator.spare_share, now };
    for (const [pool, count] of planRentals(input)) if (!this.renting.has(pool)) void this.rent(pool, count);
    if (deps.saveMoney) this.shrink(now, demand);
    else if (demand.ordinary + demand.any === 0) this.returnUnneeded(now);
  }

  /** Spare machines are insurance only while there is work: with none at all, what stood empty for long goes back. */
  private returnUnneeded(now: number): void {
    const empty = [...this.deps.table.all()].filter(
      (m) => m.reported && !m.deleting && m.usedCpus < 1e-6 && now - m.emptySince > UNNEEDED_MS,
    );
    if (empty.length > 0) void this.remove(empty, 'no work at all');
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
      for (const e of m.attempts.values()) if (e.onMachine() && e.job?.spec.kind === 'service') return true;
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
