/** How many machines the cluster should have, and how many to request from which pool: pure functions. */
import { MAX_MACHINES_PER_REQUEST } from '@millring/duties';
import type { MachineType } from '../wire/model.js';

/** Machines that can stand for each other. */
export interface Pool {
  type: MachineType;
  zone: string;
  spot: boolean;
  /** In a zone with controllers, which extend its machines' leases during a partition. */
  hasControllers: boolean;
  /** Machines that are up or booting, and will stay. */
  machineCount: number;
  /** Nothing is requested before this time, by the steady clock. */
  unavailableUntil: number;
}

/** What the jobs need, waiting and running tasks together. */
export interface Demand {
  /** CPUs of tasks that need ordinary machines. */
  ordinaryCpus: number;
  /** CPUs of tasks that may run on spot machines. */
  spotEligibleCpus: number;
  /** CPUs a second that services have asked for lately. */
  arrivingCpusPerS: number;
  /** How long a machine takes until it is up, in seconds. */
  bootS: number;
  /** CPUs of the largest machine type. */
  largestMachineCpus: number;
  /** Whether a task of some job fits the type: no other is requested. */
  isUsable(type: MachineType): boolean;
}

/** What a plan is made from. */
export interface ScaleOutInput {
  pools: Pool[];
  demand: Demand;
  saveMoney: boolean;
  /** Capacity to keep free, as a share of what is used; counts only with `saveMoney`. */
  spareShare: number;
  /** By the steady clock. */
  now: number;
}

/** CPUs that the cluster should have; `totalCpus` includes the ordinary machines' ones. */
export interface ScalingTargets {
  ordinaryCpus: number;
  totalCpus: number;
}

/** Of what services use. */
const MAX_SPARE_SHARE_FOR_ARRIVALS = 0.2;
/** Where money does not count: capacity for twice the work, and this on top. */
const FREE_CAPACITY_FACTOR = 2;
const FREE_CAPACITY_EXTRA_CPUS = 100;
/** Of the spot-eligible demand: so much may wait for spot machines where money counts. */
const SPOT_PATIENCE_SHARE = 0.2;

/** The capacity to aim at. Without `saveMoney` it is ample, so that bursts find machines that are up. */
export function scalingTargets(
  demand: Demand,
  saveMoney: boolean,
  spareShare: number,
): ScalingTargets {
  const { ordinaryCpus, spotEligibleCpus } = demand;
  if (!saveMoney) {
    const hasWork = ordinaryCpus > 0 || spotEligibleCpus > 0;
    const cpus = hasWork
      ? FREE_CAPACITY_FACTOR * (ordinaryCpus + spotEligibleCpus) + FREE_CAPACITY_EXTRA_CPUS
      : 0;
    return { ordinaryCpus: cpus, totalCpus: cpus };
  }
  // A service that comes now must find room while another machine boots: half a machine more than is used, and a
  // share, or what arrives in that time when services arrive in numbers.
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

/** Machines to request, by pool. */
type MachineCounts = Map<Pool, number>;

function plannedCpus(counts: MachineCounts): number {
  return [...counts].reduce((sum, [pool, count]) => sum + count * pool.type.cpus, 0);
}

/**
 * Spreads `missingCpus` over the pools. Where money counts, the cheapest pools first. Then zones with controllers, but
 * none beyond half of `targetCpus`, since replicas are spread; then the pools with the fewest machines.
 */
function distribute(
  pools: readonly Pool[],
  missingCpus: number,
  targetCpus: number,
  now: number,
  saveMoney: boolean,
): MachineCounts {
  const counts: MachineCounts = new Map();
  const available = pools.filter((pool) => pool.unavailableUntil <= now);
  const zoneCpus = new Map<string, number>();
  const cpusIn = (zone: string): number => zoneCpus.get(zone) ?? 0;
  for (const { zone, machineCount, type } of pools)
    zoneCpus.set(zone, cpusIn(zone) + machineCount * type.cpus);
  const pricePerCpu = ({ spot, type }: Pool): number =>
    saveMoney ? (spot ? type.spotPrice : type.price) / type.cpus : 0;
  const isUnfavoured = (pool: Pool): boolean =>
    pool.spot || !pool.hasControllers || cpusIn(pool.zone) >= targetCpus / 2;
  const machinesOf = (pool: Pool): number => pool.machineCount + (counts.get(pool) ?? 0);
  for (let missing = missingCpus; missing > 0 && available.length > 0;) {
    available.sort(
      (a, b) =>
        pricePerCpu(a) - pricePerCpu(b) ||
        Number(isUnfavoured(a)) - Number(isUnfavoured(b)) ||
        machinesOf(a) - machinesOf(b) ||
        b.type.cpus - a.type.cpus,
    );
    const [pool] = available;
    const count = (counts.get(pool) ?? 0) + 1;
    counts.set(pool, count);
    zoneCpus.set(pool.zone, cpusIn(pool.zone) + pool.type.cpus);
    if (count >= MAX_MACHINES_PER_REQUEST) available.shift();
    missing -= pool.type.cpus;
  }
  return counts;
}

/** How many machines to request from which pool now: at most one request's worth for each. */
export function planScaleOut(input: ScaleOutInput): Map<Pool, number> {
  const { demand, now, saveMoney } = input;
  const usable = input.pools.filter((pool) => demand.isUsable(pool.type));
  const ordinary = usable.filter((pool) => !pool.spot);
  const spot = usable.filter((pool) => pool.spot);
  const { ordinaryCpus, totalCpus } = scalingTargets(demand, saveMoney, input.spareShare);
  const existingOrdinaryCpus = capacityCpus(ordinary);
  const missingOrdinaryCpus = ordinaryCpus - existingOrdinaryCpus;
  const plan = distribute(ordinary, missingOrdinaryCpus, ordinaryCpus, now, saveMoney);
  const missingCpus = totalCpus - existingOrdinaryCpus - capacityCpus(spot) - plannedCpus(plan);
  const spotPlan = distribute(spot, missingCpus, totalCpus, now, saveMoney);
  const patienceCpus = saveMoney ? SPOT_PATIENCE_SHARE * demand.spotEligibleCpus : 0;
  let unmetCpus = missingCpus;
  for (const [pool, count] of spotPlan) {
    plan.set(pool, count);
    unmetCpus -= count * pool.type.cpus;
  }
  // What spot machines can't give is requested as ordinary ones; where money counts only once much is missing.
  if (unmetCpus <= patienceCpus || spot.some((pool) => pool.unavailableUntil <= now)) return plan;
  const insteadCpus = unmetCpus - patienceCpus;
  for (const [pool, count] of distribute(ordinary, insteadCpus, totalCpus, now, saveMoney))
    plan.set(pool, Math.max(plan.get(pool) ?? 0, count));
  return plan;
}
