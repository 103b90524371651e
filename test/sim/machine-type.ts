/** Machine types for unit tests. */
import type { MachineType } from '../../src/wire/model.js';

/** Returns a machine type that is available in the zones `a` and `b`. */
export function machineType(cpus: number): MachineType {
  return {
    name: 'm',
    cpus,
    gpus: 0,
    memoryGb: 256,
    fetchGbPerS: 1,
    price: 2,
    spotPrice: 0.6,
    bootS: 20,
    zones: ['a', 'b'],
  };
}
