/** Tells from the settings whether machines should be few or stand ready. */
import type { OperatorSettings } from './operator.js';
import type { PlatformSettings } from './platform.js';

/**
 * Where nobody counts the money, spare machines are insurance that costs nothing. The objectives say so when they
 * name a price or a useful share, but the platform hands over only those that speak of jobs. Teams say it, too:
 * where some are guaranteed CPUs, capacity is held for them whether or not they use it, so more machines than work
 * are meant to stand ready. Where nobody is guaranteed anything, machines are requested for the work there is.
 */
export function shouldMinimizeCost(
  platform: PlatformSettings,
  operator: OperatorSettings,
): boolean {
  if (operator.money !== 'objectives') return operator.money === 'counts';
  if (platform.objectives.some(({ kind }) => kind === 'price' || kind === 'useful')) return true;
  return !platform.teams.some(({ cpus, gpus }) => cpus > 0 || gpus > 0);
}
