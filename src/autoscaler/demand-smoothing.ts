/** Smooths the demand, so that machines are not requested for a rise that passes before they are up. */
import type { Demand } from './scaling-plan.js';

/** Of the difference to the demand, the part that the mean follows by in each step. */
const RISE_SHARE_PER_STEP = 0.12;
const FALL_SHARE_PER_STEP = 0.04;
/** Below this share of the demand in capacity, a rise is followed at once. */
const LOW_CAPACITY_SHARE = 0.4;

interface Mean {
  ordinaryCpus: number;
  spotEligibleCpus: number;
}

/** An exponential moving average, with a slower fall than rise; to be called once in each planning interval. */
export class DemandSmoothing {
  private mean: Mean | null = null;

  /**
   * The demand to plan for with `capacityCpus` up or booting. What a new leader finds waiting is a rise like any other:
   * followed at once, it would get machines that come up too late for it.
   */
  smooth(demand: Demand, capacityCpus: number): Demand {
    const demandCpus = demand.ordinaryCpus + demand.spotEligibleCpus;
    // With no job at all, what is left of the mean would keep machines for nobody.
    if (demandCpus === 0) {
      this.mean = null;
      return demand;
    }
    const isCapacityLow = capacityCpus < LOW_CAPACITY_SHARE * demandCpus;
    const mean = this.mean ?? initialMean(demand, capacityCpus, isCapacityLow);
    const riseShare = isCapacityLow ? 1 : RISE_SHARE_PER_STEP;
    const ordinaryCpus = follow(mean.ordinaryCpus, demand.ordinaryCpus, riseShare);
    this.mean = {
      ordinaryCpus: Math.max(demand.ordinaryCpus, ordinaryCpus),
      spotEligibleCpus: follow(mean.spotEligibleCpus, demand.spotEligibleCpus, riseShare),
    };
    return { ...demand, ...this.mean };
  }
}

function initialMean(demand: Demand, capacityCpus: number, isCapacityLow: boolean): Mean {
  const { ordinaryCpus, spotEligibleCpus } = demand;
  if (isCapacityLow) return { ordinaryCpus, spotEligibleCpus };
  const spareCpus = Math.min(spotEligibleCpus, capacityCpus - ordinaryCpus);
  return { ordinaryCpus, spotEligibleCpus: Math.max(0, spareCpus) };
}

function follow(mean: number, value: number, riseShare: number): number {
  return mean + (value - mean) * (value > mean ? riseShare : FALL_SHARE_PER_STEP);
}
