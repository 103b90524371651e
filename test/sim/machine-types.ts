/** Unlike machine types of a simulated cloud, for jobs that can't use all of them. */
import type { CloudPool } from './cloud.js';
import type { CloudType } from './wire/cloud.js';

const T16: CloudType = {
  name: 't16',
  cpus: 16,
  gpus: 0,
  memoryGb: 64,
  fetchGbPerS: 0.5,
  price: 1,
  spotPrice: 0.3,
  bootS: 5,
};

/** A plain type, one with much memory and one with GPUs. */
export const UNLIKE_TYPES: CloudType[] = [
  T16,
  { ...T16, name: 'memory', memoryGb: 256, price: 2, spotPrice: 0.6 },
  { ...T16, name: 'gpu', gpus: 4, price: 6, spotPrice: 2 },
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
