/** Decides from the settings whether to keep cost low or to keep spare machines ready. */
import type { OperatorSettings } from './operator.js';
import type { PlatformSettings } from './platform.js';

/**
 * Returns true if cost is to be kept low, and false if more machines than the work needs are to be kept ready: where
 * cost is irrelevant, spare machines are a safeguard that costs nothing. The first rule that applies decides:
 *
 * 1. The operators' setting `money`, unless it is `objectives`: true for `counts`, false for `free`.
 * 2. If an objective is of kind `price` or `useful`, which states that cost matters: true. The absence of such an
 *    objective decides nothing, since the platform hands over only objectives that concern jobs.
 * 3. The teams' guarantees. If any team has guaranteed CPUs or GPUs, capacity is reserved for it whether or not it is
 *    used, so more machines than the work needs are meant to be ready: false. Without any guarantee, machines are
 *    requested only for the work that exists: true.
 */
export function shouldMinimizeCost(
  platform: PlatformSettings,
  operator: OperatorSettings,
): boolean {
  if (operator.money !== 'objectives') return operator.money === 'counts';
  if (platform.objectives.some(({ kind }) => kind === 'price' || kind === 'useful')) return true;
  return !platform.teams.some(({ cpus, gpus }) => cpus > 0 || gpus > 0);
}
