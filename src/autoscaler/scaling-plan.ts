/** Pure functions that compute how many machines the cluster should have and how many to request from each pool. */
import { MAX_MACHINES_PER_REQUEST } from '@millring/duties';
import type { MachineType } from '../wire/model.js';

/** Interchangeable machines of one type and zone, either all spot or all ordinary. */
export interface Pool {
  type: MachineType;
  zone: string;
  spot: boolean;
  /** Whether the zone has controllers; these extend the leases of its machines during a partition. */
  hasControllers: boolean;
  /** Number of machines that are up or booting and not about to be removed. */
  machineCount: number;
  /** No machines are requested from this pool before this time (monotonic clock, in milliseconds). */
  unavailableUntil: number;
}

/** Resources that the jobs need for their waiting and running tasks. */
export interface Demand {
  /** CPUs of tasks that need ordinary machines. */
  ordinaryCpus: number;
  /** CPUs of tasks that may run on spot machines. */
  spotEligibleCpus: number;
  /** Recent rate of CPUs requested by services, in CPUs per second. */
  arrivingCpusPerS: number;
  /** Time in seconds within which machines of all types are expected to boot, with a margin. */
  bootS: number;
  /** CPUs of the largest machine type. */
  largestMachineCpus: number;
  /** Whether any task waits or runs, also if all such tasks need no CPUs. */
  hasWork: boolean;
  /** Whether a task of some job may be in the zone on a machine of the type. No others are requested or kept. */
  isUsable(type: MachineType, zone: string): boolean;
}

/** Input of `planScaleOut`. */
export interface ScaleOutInput {
  pools: Pool[];
  demand: Demand;
  minimizeCost: boolean;
  /** Capacity to keep free, as a share of the demand. Applies only with `minimizeCost`. */
  spareShare: number;
  /** Current time by the monotonic clock, in milliseconds. */
  now: number;
}

/** CPUs that the cluster should have; `totalCpus` includes `ordinaryCpus`. */
export interface ScalingTargets {
  ordinaryCpus: number;
  totalCpus: number;
}

/** Maximum spare capacity for arriving services, as a share of the ordinary demand. */
const MAX_SPARE_SHARE_FOR_ARRIVALS = 0.2;
/** Without `minimizeCost`, the target is twice the demand plus `FREE_CAPACITY_EXTRA_CPUS`. */
const FREE_CAPACITY_FACTOR = 2;
const FREE_CAPACITY_EXTRA_CPUS = 100;
/** Share of the spot-eligible demand that may wait for spot machines with `minimizeCost`. */
const SPOT_WAIT_SHARE = 0.2;

/**
 * Returns the target capacity. Without `minimizeCost` it is ample, so that machines are already up when a burst
 * arrives.
 */
export function scalingTargets(
  demand: Demand,
  minimizeCost: boolean,
  spareShare: number,
): ScalingTargets {
  const { ordinaryCpus, spotEligibleCpus } = demand;
  if (!minimizeCost) {
    const cpus = demand.hasWork
      ? FREE_CAPACITY_FACTOR * (ordinaryCpus + spotEligibleCpus) + FREE_CAPACITY_EXTRA_CPUS
      : 0;
    return { ordinaryCpus: cpus, totalCpus: cpus };
  }
  // A service that arrives now must find free capacity while another machine boots. The spare capacity is a share of
  // the ordinary demand, or the CPUs that arrive during the boot time (up to a maximum) if these are more. Half of the
  // largest machine is added to it.
  const spareCpus = Math.max(
    spareShare * ordinaryCpus,
    Math.min(MAX_SPARE_SHARE_FOR_ARRIVALS * ordinaryCpus, demand.arrivingCpusPerS * demand.bootS),
  );
  const targetCpus =
    ordinaryCpus > 0 ? ordinaryCpus + spareCpus + demand.largestMachineCpus / 2 : 0;
  return { ordinaryCpus: targetCpus, totalCpus: targetCpus + spotEligibleCpus * (1 + spareShare) };
}

function capacityCpus(pools: readonly Pool[]): number {
  return pools.reduce((sum, pool) => sum + pool.machineCount * pool.type.cpus, 0);
}

/** Number of machines to request from each pool. */
type MachineCounts = Map<Pool, number>;

function plannedCpus(counts: MachineCounts): number {
  return [...counts].reduce((sum, [pool, count]) => sum + count * pool.type.cpus, 0);
}

/** What the choice between pools depends on. */
export interface PoolPreference {
  /** Price of what is needed if the pool provides it, in the same unit for all pools; 0 if cost does not matter. */
  price(pool: Pool): number;
  /** Whether pools of the same price for which this is false come first. */
  isLessPreferred(pool: Pool): boolean;
  /** Number of machines that the pool has or is about to have. */
  machineCount(pool: Pool): number;
}

/** Orders pools by preference: the cheapest first, then those with the fewest machines, then the largest machines. */
export function comparePools(preference: PoolPreference, left: Pool, right: Pool): number {
  return (
    preference.price(left) - preference.price(right) ||
    Number(preference.isLessPreferred(left)) - Number(preference.isLessPreferred(right)) ||
    preference.machineCount(left) - preference.machineCount(right) ||
    right.type.cpus - left.type.cpus
  );
}

/** Price of one of the pool's machines per hour. */
export function machinePrice({ spot, type }: Pool): number {
  return spot ? type.spotPrice : type.price;
}

/**
 * Spreads `missingCpus` over the pools. With `minimizeCost`, the cheapest pools come first. Next come zones with
 * controllers, each up to half of `targetCpus`, since replicas are spread; then the pools with the fewest machines.
 */
function distribute(
  pools: readonly Pool[],
  missingCpus: number,
  targetCpus: number,
  now: number,
  minimizeCost: boolean,
): MachineCounts {
  const counts: MachineCounts = new Map();
  const available = pools.filter((pool) => pool.unavailableUntil <= now);
  const zoneCpus = new Map<string, number>();
  const cpusIn = (zone: string): number => zoneCpus.get(zone) ?? 0;
  for (const { zone, machineCount, type } of pools)
    zoneCpus.set(zone, cpusIn(zone) + machineCount * type.cpus);
  const preference: PoolPreference = {
    price: (pool) => (minimizeCost ? machinePrice(pool) / pool.type.cpus : 0),
    isLessPreferred: (pool) =>
      pool.spot || !pool.hasControllers || cpusIn(pool.zone) >= targetCpus / 2,
    machineCount: (pool) => pool.machineCount + (counts.get(pool) ?? 0),
  };
  for (let missing = missingCpus; missing > 0 && available.length > 0;) {
    available.sort((a, b) => comparePools(preference, a, b));
    const [pool] = available;
    const count = (counts.get(pool) ?? 0) + 1;
    counts.set(pool, count);
    zoneCpus.set(pool.zone, cpusIn(pool.zone) + pool.type.cpus);
    if (count >= MAX_MACHINES_PER_REQUEST) available.shift();
    missing -= pool.type.cpus;
  }
  return counts;
}

/** Returns how many machines to request from each pool now, at most as many as one request may ask for. */
export function planScaleOut(input: ScaleOutInput): Map<Pool, number> {
  const { demand, now, minimizeCost } = input;
  const usable = input.pools.filter((pool) => demand.isUsable(pool.type, pool.zone));
  const ordinary = usable.filter((pool) => !pool.spot);
  const spot = usable.filter((pool) => pool.spot);
  const { ordinaryCpus, totalCpus } = scalingTargets(demand, minimizeCost, input.spareShare);
  const existingOrdinaryCpus = capacityCpus(ordinary);
  const missingOrdinaryCpus = ordinaryCpus - existingOrdinaryCpus;
  const plan = distribute(ordinary, missingOrdinaryCpus, ordinaryCpus, now, minimizeCost);
  const missingCpus = totalCpus - existingOrdinaryCpus - capacityCpus(spot) - plannedCpus(plan);
  const spotPlan = distribute(spot, missingCpus, totalCpus, now, minimizeCost);
  const spotWaitCpus = minimizeCost ? SPOT_WAIT_SHARE * demand.spotEligibleCpus : 0;
  let unmetCpus = missingCpus;
  for (const [pool, count] of spotPlan) {
    plan.set(pool, count);
    unmetCpus -= count * pool.type.cpus;
  }
  // CPUs that spot machines can't provide are requested as ordinary machines; with `minimizeCost` only once many CPUs
  // are missing.
  if (unmetCpus <= spotWaitCpus || spot.some((pool) => pool.unavailableUntil <= now)) return plan;
  const fallbackCpus = unmetCpus - spotWaitCpus;
  for (const [pool, count] of distribute(ordinary, fallbackCpus, totalCpus, now, minimizeCost))
    plan.set(pool, Math.max(plan.get(pool) ?? 0, count));
  return plan;
}
