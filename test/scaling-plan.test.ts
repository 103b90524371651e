/** The plan that determines which machines the autoscaler requests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planScaleOut, type Pool } from '../src/autoscaler/scaling-plan.js';
import { machineType } from './sim/machine-type.js';

test('scale-out requests ordinary machines for demand that needs them, spot machines for the rest, and none from unavailable pools', () => {
  const type = machineType(32);
  const pool = (zone: string, spot: boolean, unavailableUntil = 0): Pool => ({
    type,
    zone,
    spot,
    hasControllers: zone === 'a',
    machineCount: 0,
    unavailableUntil,
  });
  const pools = [pool('a', false), pool('b', false), pool('a', true), pool('b', true, 99)];
  const demand = {
    ordinaryCpus: 100,
    spotEligibleCpus: 160,
    arrivingCpusPerS: 0,
    bootS: 25,
    largestMachineCpus: 32,
    hasWork: true,
    isUsable: () => true,
  };
  const plan = planScaleOut({ pools, demand, minimizeCost: true, spareShare: 0, now: 10 });
  const sum = (spot: boolean): number =>
    [...plan].reduce((n, [chosen, c]) => n + (chosen.spot === spot ? c : 0), 0);
  assert.equal(sum(false), 4);
  assert.equal(sum(true), 5);
  assert.equal(plan.get(pools[3]), undefined);
});
