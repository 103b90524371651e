/** Four thousand machines: the rules, and that work grows with events and not with the square of the fleet. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { BATCH, DESK } from './sim/jobs.js';
import { type PlacementWork, addingUp } from './sim/scenarios.js';
import type { JobSubmission } from './sim/wire/users.js';

const MACHINES = 4000;
const CPUS = 16;
const LEASE_MS = 30_000;

/** A fleet that is up, and the placement work of all its leaders. */
function largeFleet(seed: number): { c: Cluster; work: PlacementWork } {
  const work: PlacementWork = { cycles: 0, candidatesExamined: 0, starts: 0 };
  const c = new Cluster({
    seed,
    nodes: 3,
    zones: ['a', 'b', 'c', 'd'],
    ordinaryUp: MACHINES,
    capacity: 0,
    teamLimit: 1e6,
    reportMs: 8000,
    leaseMs: LEASE_MS,
    cancelMs: 70_000,
    cloudRps: 3,
    pollMs: 400,
    state: { rps: 200, writeRps: 30 },
    log: addingUp(work),
  });
  return { c, work };
}

function submit(c: Cluster, count: number, job: Partial<JobSubmission>): void {
  for (let i = 0; i < count; i++) void c.user(c.newJob(job), null);
}

/** Arrays that fill nearly all of the fleet, one task a machine, and services beside them. */
function fill(c: Cluster): void {
  submit(c, 30, { ...BATCH, tasks: 125, cpus: CPUS, durationS: 40, spot: true });
  submit(c, 20, { ...DESK, tasks: 4 });
}

function upMachines(c: Cluster): number {
  return [...c.cloud.machines.values()].filter((m) => m.worker !== null).length;
}

/** Rules kept, nothing asked beyond the limits of others, and placing in proportion to what there was to place. */
function expectProportionate(c: Cluster, work: PlacementWork, seconds: number): void {
  assert.deepEqual(c.rules.broken, []);
  assert.equal(c.cloud.asked.tooMany, 0);
  const { asked } = c.state;
  assert.ok(asked.requests < 90 * seconds, `${asked.requests} requests in ${seconds} s`);
  assert.ok(asked.tooMany < 60, `${asked.tooMany} requests over the limits`);
  assert.ok(
    work.candidatesExamined < 100 * work.starts,
    `${work.candidatesExamined} candidates examined for ${work.starts} starts`,
  );
}

test('4,000 machines, full: leader crashes, a zone cut off, no state service, all end, cancellations', async () => {
  const { c, work } = largeFleet(3);
  await c.run(14);
  fill(c);
  await c.run(14);
  assert.equal(upMachines(c), MACHINES);
  assert.ok(c.rules.on.size > 0.9 * MACHINES, `${c.rules.on.size} tasks run`);
  c.crash(c.leader()!, 3000);
  c.cancelNow(3, 12_000);
  await c.run(10);
  c.net.cuts.push({ a: c.inZone('d'), b: () => true, until: c.clock.time + 18_000, mode: 'hold' });
  await c.run(8);
  c.cancelNow(3, 12_000);
  for (const n of c.names) c.crash(n, 4000);
  await c.run(20);
  c.cancelNow(3, 12_000);
  c.state.outage(1.2 * LEASE_MS);
  await c.run(45);
  c.quietFrom = c.clock.time;
  await c.run(60);
  c.rules.checkServed();
  expectProportionate(c, work, 171);
  assert.ok(c.rules.starts < 2.5 * MACHINES, `${c.rules.starts} starts`);
});
