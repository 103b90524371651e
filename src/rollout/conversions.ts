/** How far what features have stored above a level is converted back, while the cluster's level is lowered. */
import type { Conversion } from '@millring/rollout';
import { FEATURES } from '../build.js';

/** Of one feature, by name. */
export type Conversions = Record<string, () => Conversion>;

/** Of all features above the target: the first refusal, or else what is left in all. */
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
