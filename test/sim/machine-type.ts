/** Machine types for tests of single parts. */
import type { MachineType } from '../../src/wire/model.js';

/** A type that is in the zones `a` and `b`. */
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
