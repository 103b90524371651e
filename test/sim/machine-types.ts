/** Unlike machine types of a simulated cloud, for jobs that can't use all of them. */
import { type CloudPool, TYPES } from './cloud.js';
import type { CloudType } from './wire/cloud.js';

const [PLAIN_TYPE] = TYPES;

/** A plain type, one with much memory and one with GPUs. */
export const UNLIKE_TYPES: CloudType[] = [
  PLAIN_TYPE,
  { ...PLAIN_TYPE, name: 'memory', memoryGb: 256, price: 2, spotPrice: 0.6 },
  { ...PLAIN_TYPE, name: 'gpu', gpus: 4, price: 6, spotPrice: 2 },
];

/** Pools of the unlike types in zones `a`, `b` and `c`; not all types are in all zones. */
export function unlikePools(): CloudPool[] {
  return [
    ...['a', 'b', 'c'].map((zone) => ({ type: 't16', zone, count: 6 })),
    { type: 'memory', zone: 'a', count: 3 },
    { type: 'memory', zone: 'c', count: 3 },
    { type: 'gpu', zone: 'b', count: 3 },
  ];
}
