/** Reports how far records of features above a level have been converted back while the feature level is lowered. */
import type { Conversion } from '@millring/rollout';
import { FEATURES } from '../build.js';

/** Functions that return how far a feature's records have been converted back, by feature name. */
export type ConversionsByFeature = Record<string, () => Conversion>;

/**
 * Combines the conversions of all features above the target: returns the first one that is `refused`, or else the total
 * of remaining records.
 */
export function combinedConversion(target: number, conversions: ConversionsByFeature): Conversion {
  let remaining = 0;
  for (const [feature, conversion] of Object.entries(conversions)) {
    if (FEATURES.get(feature).level <= target) continue;
    const part = conversion();
    if (part.kind === 'refused') return part;
    if (part.kind === 'running') remaining += part.remaining;
  }
  return remaining > 0 ? { kind: 'running', remaining } : { kind: 'done' };
}
