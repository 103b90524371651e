/** Rents machines before they are needed, and returns what stands idle or is dead. */
import type { OperatorSettings } from '../settings/operator.js';
import type { Runtime } from '../runtime.js';
import type { MachineType } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { Cloud, RentResult } from './cloud.js';
import type { DeletionPurpose, MachineActions } from './machine-actions.js';
import { type Demand, type Pool, planRentals, targets } from './scaling-plan.js';
import { SilenceDetector } from './silent-machines.js';
import { markSurplus } from './idle-machines.js';

export interface AutoscalerDependencies {
  runtime: Runtime;
  /** For its lists. */
  cloud: Cloud;
  actions: MachineActions;
  table: MachineTable;
  operator: OperatorSettings;
  types: MachineType[];
  saveMoney: boolean;
  reportS: number;
  listLagS: number;
  isLeader(): boolean;
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
  gone(machine: Machine): void;
}

const REFUSED_MS = 12_000;
const PLAN_MS = 1000;
const LEAST_LIST_INTERVAL_MS = 3000;
/** A machine that takes longer than this many usual boot times, and the slack, never comes up. */
const BOOT_FACTOR = 2.3;
const BOOT_SLACK_MS = 5000;
const UNNEEDED_MS = 30_000;
const FIRST_LOOK_MS = 2500;
/** Of the demand. */
const NEXT_TO_NOTHING = 0.4;

/** Rents before need, returns what stands idle, deletes what is silent. Only the leader has one. */
export class Autoscaler {
  private readonly pools = new Map<string, Pool>();
  private smoothed: { ordinary: number; any: number } | null = null;
  private lastPlan = -Infinity;
  private lastList = -Infinity;
  private listing = false;
  private readonly tookOverAt: number;
  private readonly renting = new Set<Pool>();
  private readonly goneIds = new Set<string>();
  private readonly silence: SilenceDetector;

  constructor(private readonly deps: AutoscalerDependencies) {
    this.tookOverAt = deps.runtime.clock.now();
    this.silence = new SilenceDetector(
      { ...deps, zones: new Set(deps.types.flatMap((t) => t.zones)) },
      this.tookOverAt,
    );
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
  isLost(machine: Machine): boolean {
    return this.silence.isLost(machine.zone);
  }

  isOverdue(machine: Machine, now: number): boolean {
    return this.silence.isOverdue(machine, now);
  }

  isSilent(machine: Machine, now: number): boolean {
    return this.silence.isSilent(machine, now);
  }

  isGone(id: string): boolean {
    return this.goneIds.has(id);
  }

  tick(): void {
    const now = this.deps.runtime.clock.now();
    if (now - this.lastList > this.listIntervalMs() && !this.listing) void this.readList(now);
    if (now - this.lastPlan < PLAN_MS) return;
    this.lastPlan = now;
    const dead = [...this.silence.deadMachines(now), ...this.neverUp(now)];
    if (dead.length > 0) void this.remove(dead, 'reclaim', 'silent or never up');
    // A new leader does not know yet which zones are cut off: what it rented there would be missing elsewhere.
    const known =
      now - this.tookOverAt > FIRST_LOOK_MS ||
      ![...this.deps.table.all()].some((machine) => machine.awaitingReconciliation);
    if (known) this.plan(now);
  }

  /** Rented long ago, and not heard or listed as running since. */
  private neverUp(now: number): Machine[] {
    return [...this.deps.table.all()].filter((machine) => {
      if (machine.reported || machine.stored || machine.leaseExpired || machine.deleting)
        return false;
      return (
        now - (machine.rentedAt ?? now) > BOOT_FACTOR * machine.type.bootS * 1000 + BOOT_SLACK_MS
      );
    });
  }

  private listIntervalMs(): number {
    const fresh = Math.max(LEAST_LIST_INTERVAL_MS, this.deps.listLagS * 500);
    return Math.max(fresh, this.deps.cloud.shortestListIntervalMs());
  }

  private async readList(now: number): Promise<void> {
    const { cloud, table, types } = this.deps;
    this.listing = true;
    this.lastList = now;
    const list = await cloud.list(() => this.deps.isLeader());
    this.listing = false;
    if (!list || !this.deps.isLeader()) return;
    const t = this.deps.runtime.clock.now();
    const failed: Machine[] = [];
    for (const listed of list) {
      if (this.goneIds.has(listed.id)) continue;
      let machine = table.get(listed.id);
      if (!machine) {
        const type = types.find((candidate) => candidate.name === listed.type);
        if (!type) continue;
        machine = table.add(listed.id, listed.endpoint, type, listed.zone, listed.spot, t);
        machine.rentedAt = t - listed.ageS * 1000;
        // Up for long, but not among the stored ones: a former leader saw its lease run out. It may come back.
        machine.leaseExpired = listed.state === 'running' && listed.ageS > BOOT_FACTOR * type.bootS;
      }
      machine.listedAt = t;
      if (!machine.endpoint) machine.endpoint = listed.endpoint;
      if (listed.state === 'failed') failed.push(machine);
    }
    // A long list takes seconds to read: its first page may tell of the time before that.
    for (const machine of table.all())
      machine.unlisted =
        machine.listedAt !== t && now - (machine.rentedAt ?? this.tookOverAt) > this.listAgeMs();
    if (failed.length > 0) void this.remove(failed, 'reclaim', 'failed');
  }

  /** No list is older than this. */
  private listAgeMs(): number {
    return 2 * this.deps.listLagS * 1000 + 1000;
  }

  async remove(machines: Machine[], purpose: DeletionPurpose, why: string): Promise<void> {
    const { actions, runtime } = this.deps;
    const left = machines.filter((machine) => !machine.deleting);
    const batch = left.slice(0, actions.mostDeleted(left.map((machine) => machine.id)));
    if (batch.length === 0 || !actions.mayBegin() || !this.deps.isLeader()) return;
    const ids = batch.map((machine) => machine.id);
    runtime.log.info({ ids, why }, 'deleting machines');
    for (const machine of batch) machine.deleting = true;
    await this.settleDeletion(batch, actions.delete(ids, purpose));
  }

  private async settleDeletion(machines: Machine[], done: Promise<boolean>): Promise<void> {
    const ok = await done;
    for (const machine of machines) {
      machine.deleting = false;
      if (!ok) continue;
      this.goneIds.add(machine.id);
      this.deps.gone(machine);
    }
  }

  /** A deletion that a former leader began: from now on its machines take no work, from anyone. */
  takeOverDeletion(ids: readonly string[], done: Promise<boolean>): void {
    const known: Machine[] = [];
    for (const id of ids) {
      const machine = this.deps.table.get(id);
      if (machine) known.push(machine);
      else this.goneIds.add(id);
    }
    for (const machine of known) machine.deleting = true;
    void this.settleDeletion(known, done);
  }

  /** A rental that a former leader began: its pool is not rented from until it is known what came of it. */
  takeOverRental(
    type: string,
    zone: string,
    spot: boolean,
    count: number,
    result: Promise<RentResult>,
  ): void {
    const pool = this.pools.get(this.key(type, zone, spot));
    if (pool) void this.settleRental(pool, count, result);
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
    this.smoothed = {
      ordinary: Math.max(d.ordinary, mix(s.ordinary, d.ordinary)),
      any: mix(s.any, d.any),
    };
    return { ...d, ...this.smoothed };
  }

  /** It is up or on its way, and will stay. */
  private countsAsCapacity(machine: Machine, now: number): boolean {
    if (
      machine.deleting ||
      machine.preemptionDeadline !== null ||
      (machine.drainReason && machine.drainReason !== 'surplus')
    )
      return false;
    return !this.isSilent(machine, now) && (machine.reported || !this.silence.isLost(machine.zone));
  }

  private plan(now: number): void {
    const { deps } = this;
    for (const pool of this.pools.values()) pool.count = 0;
    for (const machine of deps.table.all()) {
      const pool = this.pools.get(this.key(machine.type.name, machine.zone, machine.spot));
      if (pool && this.countsAsCapacity(machine, now)) pool.count++;
    }
    const pools = [...this.pools.values()];
    for (const pool of pools)
      if (this.silence.isShunned(pool.zone, now))
        pool.refusedUntil = Math.max(pool.refusedUntil, now + PLAN_MS);
    const up = (spot: boolean): number =>
      pools
        .filter((pool) => pool.spot === spot)
        .reduce((n, pool) => n + pool.count * pool.type.cpus, 0);
    const demand = this.smooth(deps.demand(), up(false) + up(true));
    deps.runtime.log.debug(
      { ordinary: demand.ordinary, any: demand.any, haveOrdinary: up(false), haveSpot: up(true) },
      'fleet',
    );
    const input = {
      pools,
      demand,
      saveMoney: deps.saveMoney,
      spareShare: deps.operator.spare_share,
      now,
    };
    for (const [pool, count] of planRentals(input))
      if (!this.renting.has(pool)) void this.rent(pool, count);
    if (deps.saveMoney) this.returnSurplus(now, demand);
    else if (demand.ordinary + demand.any === 0) this.returnUnneeded(now);
  }

  /** Spare machines are insurance only while there is work: with none at all, what stood empty for long goes back. */
  private returnUnneeded(now: number): void {
    const empty = [...this.deps.table.all()].filter(
      (machine) =>
        machine.reported &&
        !machine.deleting &&
        machine.usedCpus < 1e-6 &&
        now - machine.emptySince > UNNEEDED_MS,
    );
    if (empty.length > 0) void this.remove(empty, 'return', 'no work at all');
  }

  private async rent(pool: Pool, count: number): Promise<void> {
    const { actions } = this.deps;
    if (!actions.mayBegin() || !this.deps.isLeader()) return;
    await this.settleRental(pool, count, actions.rent(pool, count));
  }

  private async settleRental(
    pool: Pool,
    count: number,
    result: Promise<RentResult>,
  ): Promise<void> {
    const { deps } = this;
    this.renting.add(pool);
    const r = await result;
    this.renting.delete(pool);
    const now = deps.runtime.clock.now();
    deps.runtime.log.info(
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
        const machine = deps.table.add(id, '', pool.type, pool.zone, pool.spot, now);
        machine.rentedAt = now;
      }
    }
    if (r.kind !== 'rented' || r.ids.length < count)
      pool.refusedUntil = now + (r.kind === 'refused' ? 2000 : REFUSED_MS);
  }

  private returnSurplus(now: number, demand: Demand): void {
    const { table, operator } = this.deps;
    const up = [...table.all()].filter((machine) => machine.reported && !machine.deleting);
    markSurplus(up, targets(demand, true, operator.spare_share), now);
    const idleMs = operator.idle_return_s * 1000;
    const empty = up.filter(
      (machine) =>
        machine.drainReason === 'surplus' &&
        machine.usedCpus < 1e-6 &&
        now - machine.emptySince > idleMs,
    );
    if (empty.length > 0) void this.remove(empty, 'return', 'surplus');
  }
}
