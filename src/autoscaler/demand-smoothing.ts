/**
 * Smooths the demand, so that no machines are requested for a rise of the spot-eligible demand that is over before they
 * are up. If there is no demand at all, nothing is smoothed.
 */
import type { Demand } from './scaling-plan.js';

/** Share of the difference between demand and mean by which the mean changes in each step. */
const RISE_SHARE_PER_STEP = 0.12;
const FALL_SHARE_PER_STEP = 0.04;
/** If the capacity is below this share of the demand, the mean follows a rise at once. */
const LOW_CAPACITY_SHARE = 0.4;

interface MeanDemand {
  ordinaryCpus: number;
  spotEligibleCpus: number;
}

/**
 * An exponential moving average, to be updated once in each planning interval. The ordinary demand rises at once and is
 * smoothed only when it falls. The spot-eligible demand is smoothed both ways, with a slower fall than rise.
 */
export class DemandSmoothing {
  private mean: MeanDemand | null = null;

  /**
   * Returns the demand to plan for, given `capacityCpus` that are up or booting. The waiting work that a new leader
   * finds is smoothed like any other rise: machines requested for all of it would be up too late to run it.
   */
  smooth(demand: Demand, capacityCpus: number): Demand {
    const demandCpus = demand.ordinaryCpus + demand.spotEligibleCpus;
    // Without any demand, the remaining mean would keep machines that no job needs.
    if (demandCpus === 0) {
      this.mean = null;
      return demand;
    }
    const isCapacityLow = capacityCpus < LOW_CAPACITY_SHARE * demandCpus;
    const mean = this.mean ?? initialMean(demand, capacityCpus, isCapacityLow);
    const riseShare = isCapacityLow ? 1 : RISE_SHARE_PER_STEP;
    const ordinaryCpus = moveTowards(mean.ordinaryCpus, demand.ordinaryCpus, riseShare);
    this.mean = {
      ordinaryCpus: Math.max(demand.ordinaryCpus, ordinaryCpus),
      spotEligibleCpus: moveTowards(mean.spotEligibleCpus, demand.spotEligibleCpus, riseShare),
    };
    return { ...demand, ...this.mean };
  }
}

function initialMean(demand: Demand, capacityCpus: number, isCapacityLow: boolean): MeanDemand {
  const { ordinaryCpus, spotEligibleCpus } = demand;
  if (isCapacityLow) return { ordinaryCpus, spotEligibleCpus };
  const spareCpus = Math.min(spotEligibleCpus, capacityCpus - ordinaryCpus);
  return { ordinaryCpus, spotEligibleCpus: Math.max(0, spareCpus) };
}

function moveTowards(mean: number, value: number, riseShare: number): number {
  return mean + (value - mean) * (value > mean ? riseShare : FALL_SHARE_PER_STEP);
}
