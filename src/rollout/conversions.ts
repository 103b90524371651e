/** How far the records of features above a level have been converted back, while the cluster level is lowered. */
import type { Conversion } from '@millring/rollout';
import { FEATURES } from '../build.js';

/** How far each feature's records have been converted back, by the feature's name. */
export type Conversions = Record<string, () => Conversion>;

/** Of all features above the target together: the first refusal, or else how many records are left. */
export function combinedConversion(target: number, conversions: Conversions): Conversion {
  let remaining = 0;
  for (const [feature, conversion] of Object.entries(conversions)) {
    if (FEATURES.get(feature).level <= target) continue;
    const part = conversion();
    if (part.kind === 'refused') return part;
    if (part.kind === 'running') remaining += part.remaining;
  }
  return remaining > 0 ? { kind: 'running', remaining } : { kind: 'done' };
}
