/** Which machines the autoscaler marks as surplus when tasks may use only some of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Demand } from '../src/autoscaler/scaling-plan.js';
import { markSurplus } from '../src/autoscaler/surplus-machines.js';
import type { Machine } from '../src/workers/machine.js';
import { MachineTable } from '../src/workers/machine-table.js';
import { IGNORED_ATTEMPT_EVENTS } from './sim/attempt-events.js';
import { machineType } from './sim/machine-type.js';

const TYPE = machineType(16);
/** Machines requested at time 0 are old enough to be surplus by then. */
const NOW_MS = 100_000;
const NO_DEMAND: Demand = {
  ordinaryCpus: 0,
  spotEligibleCpus: 0,
  hasWork: true,
  arrivingCpusPerS: 0,
  bootS: 20,
  largestMachineCpus: 16,
  isUsable: () => true,
};

/** Returns ordinary machines, one in each of the zones. */
function machinesIn(zones: readonly string[]): Machine[] {
  const table = new MachineTable(100, 10_000, () => undefined, IGNORED_ATTEMPT_EVENTS);
  return zones.map((zone, i) => table.add(`m${i}`, `m${i}:1`, TYPE, zone, false, 0));
}

function surplusOf(machines: readonly Machine[]): string[] {
  return machines.filter((machine) => machine.drainReason === 'surplus').map(({ id }) => id);
}

test('a machine whose room waiting tasks need is no surplus, and is used again if it was, whatever the sums of CPUs say', () => {
  const machines = machinesIn(['a', 'b']);
  const targets = { ordinaryCpus: 0, totalCpus: 0 };
  const mark = (needed: Machine[]): void => {
    const neededMachines = new Set(needed);
    markSurplus(machines, { targets, demand: NO_DEMAND, neededMachines, now: NOW_MS });
  };
  mark([machines[0]]);
  assert.deepEqual(surplusOf(machines), ['m1']);
  mark([machines[1]]);
  assert.deepEqual(surplusOf(machines), ['m0']);
});

test('machines in zones that no job may use are surplus and count for no target', () => {
  const machines = machinesIn(['a', 'b', 'b']);
  const targets = { ordinaryCpus: 16, totalCpus: 16 };
  const demand = {
    ...NO_DEMAND,
    ordinaryCpus: 16,
    isUsable: (_: unknown, zone: string) => zone === 'a',
  };
  markSurplus(machines, { targets, demand, neededMachines: new Set(), now: NOW_MS });
  assert.deepEqual(surplusOf(machines), ['m1', 'm2']);
});
