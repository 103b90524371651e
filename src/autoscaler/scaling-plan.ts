/** How many machines to rent and which to return: pure. */
import type { MachineType } from '../wire/model.js';

/** Machines that can stand for each other: like machines are decided as a class. */
export interface Pool {
  type: MachineType;
  zone: string;
  spot: boolean;
  /** In a zone that has controllers, which keep its machines' leases while it is cut off. */
  home: boolean;
  /** Up or on their way. */
  count: number;
  /** The cloud had none left; not asked again before then. */
  refusedUntil: number;
}

export interface Demand {
  /** CPUs of work that needs ordinary machines, waiting or there. */
  ordinary: number;
  /** CPUs of work that may use spot machines. */
  any: number;
  /** CPUs a second that services have asked for lately, and how long a machine takes until it is up. */
  arriving: number;
  bootS: number;
  /** CPUs of the biggest machine type. */
  biggestCpus: number;
  /** Shapes that some waiting job needs, so that no type is rented which nobody can use. */
  usable(type: MachineType): boolean;
}

export interface PlanInput {
  pools: Pool[];
  demand: Demand;
  saveMoney: boolean;
  spareShare: number;
  now: number;
}

export interface Targets {
  ordinary: number;
  total: number;
}

/** Of what services use, at most. */
const MOST_SPARE = 0.2;

export function targets(d: Demand, saveMoney: boolean, spareShare: number): Targets {
  if (!saveMoney) {
    // Nobody counts the money: room for twice the work, so that waves and bursts find machines that are up.
    const ordinary = d.ordinary > 0 || d.any > 0 ? 2 * (d.ordinary + d.any) + 100 : 0;
    return { ordinary, total: ordinary };
  }
  // A service that comes now must find room while another machine boots: half a machine more than is used, and a
  // share, or what comes in that time when services arrive in numbers.
  const spare = Math.max(
    spareShare * d.ordinary,
    Math.min(MOST_SPARE * d.ordinary, d.arriving * d.bootS),
  );
  const ordinary = d.ordinary > 0 ? d.ordinary + spare + d.biggestCpus / 2 : 0;
  return { ordinary, total: ordinary + d.any * (1 + spareShare) };
}

function capacity(pools: Pool[], spot: boolean): number {
  return pools.filter((p) => p.spot === spot).reduce((sum, p) => sum + p.count * p.type.cpus, 0);
}

/** The most that one request may ask for. */
const MOST_AT_ONCE = 50;

/**
 * Where money counts, the cheapest pools first. Then zones with controllers, but none beyond half of all, since
 * replicas are spread; then the pools with the fewest machines.
 */
function fill(
  pools: Pool[],
  cpus: number,
  target: number,
  now: number,
  saveMoney: boolean,
): Map<Pool, number> {
  const out = new Map<Pool, number>();
  const open = pools.filter((p) => p.refusedUntil <= now);
  const zones = new Map<string, number>();
  for (const p of pools) zones.set(p.zone, (zones.get(p.zone) ?? 0) + p.count * p.type.cpus);
  const price = (p: Pool): number =>
    saveMoney ? (p.spot ? p.type.spotPrice : p.type.price) / p.type.cpus : 0;
  const inZone = (p: Pool): number => zones.get(p.zone) ?? 0;
  const away = (p: Pool): number => Number(p.spot || !p.home || inZone(p) >= target / 2);
  for (let missing = cpus; missing > 0 && open.length > 0;) {
    open.sort(
      (a, b) =>
        price(a) - price(b) ||
        away(a) - away(b) ||
        a.count + (out.get(a) ?? 0) - (b.count + (out.get(b) ?? 0)) ||
        b.type.cpus - a.type.cpus,
    );
    const p = open[0];
    const n = (out.get(p) ?? 0) + 1;
    out.set(p, n);
    zones.set(p.zone, inZone(p) + p.type.cpus);
    if (n >= MOST_AT_ONCE) open.shift();
    missing -= p.type.cpus;
  }
  return out;
}

export function planRentals(input: PlanInput): Map<Pool, number> {
  const { demand, now, saveMoney } = input;
  const pools = input.pools.filter((p) => demand.usable(p.type));
  const t = targets(demand, saveMoney, input.spareShare);
  const haveOrdinary = capacity(pools, false);
  const haveSpot = capacity(pools, true);
  const ordinary = pools.filter((p) => !p.spot);
  const spot = pools.filter((p) => p.spot);
  const out = fill(ordinary, t.ordinary - haveOrdinary, t.ordinary, now, saveMoney);
  const planned = [...out].reduce((sum, [p, n]) => sum + n * p.type.cpus, 0);
  const missing = t.total - haveOrdinary - haveSpot - planned;
  const spotPlan = fill(spot, missing, t.total, now, saveMoney);
  let left = missing;
  for (const [p, n] of spotPlan) {
    out.set(p, n);
    left -= n * p.type.cpus;
  }
  // What spot machines can't give is rented as ordinary ones; where money counts only once much is missing.
  const patience = saveMoney ? 0.2 * demand.any : 0;
  if (left > patience && spot.every((p) => p.refusedUntil > now))
    for (const [p, n] of fill(ordinary, left - patience, t.total, now, saveMoney))
      out.set(p, Math.max(out.get(p) ?? 0, n));
  return out;
}
