import type { OperatorSettings } from './operator.js';
import type { PlatformSettings } from './platform.js';

/** Where nobody counts the money, spare machines are insurance that costs nothing. */
export function moneyCounts(platform: PlatformSettings, operator: OperatorSettings): boolean {
  if (operator.money !== 'objectives') return operator.money === 'counts';
  return platform.objectives.some((o) => o.kind === 'price' || o.kind === 'useful');
}
