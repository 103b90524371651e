/** Moves of tasks off machines that will be preempted. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobTable } from '../src/jobs/job-table.js';
import type { JobSpec } from '../src/wire/model.js';
import { spec } from './sim/job-spec.js';
import { machineType } from './sim/machine-type.js';
import { createPlacement } from './sim/placement-harness.js';

const TEAM = { name: 't', cpus: 100, gpus: 0, cpusMax: 1000, gpusMax: 0 };

/** Runs two replicas in the zones `a` and `b`, and drains the machine in `a` while only this other zone has room. */
function isStoppedWithRoomOnlyIn(zone: string, requirements: Partial<JobSpec>): boolean {
  const jobs = new JobTable();
  const { table, placement } = createPlacement(jobs, { teams: [TEAM] });
  const zones = ['a', 'b', zone];
  const machines = zones.map((zoneOfMachine, i) =>
    Object.assign(table.add(`m${i}`, `m${i}:1`, machineType(16), zoneOfMachine, false, 0), {
      stored: true,
      reported: true,
      reportedToken: 100,
    }),
  );
  const replicas = spec({ kind: 'service', tasks: 2, cpus: 16, ...requirements });
  const job = jobs.add(replicas, 1, 0, true, 0);
  const [drained] = [0, 1].map((task) => {
    const attempt = table.addAttempt(machines[task], job.spec.id, job, task, 7, 0);
    return Object.assign(attempt, {
      startSent: true,
      startUnacknowledged: false,
      state: 'running' as const,
    });
  });
  machines[0].preemptionDeadline = 60_000;
  placement.heartbeatApplied(machines[0]);
  return drained.stop !== null;
}

test('a replica is moved off a machine only if a zone that the other replicas leave open has room', () => {
  assert.equal(isStoppedWithRoomOnlyIn('b', {}), true, 'any zone is open');
  assert.equal(isStoppedWithRoomOnlyIn('b', { spread: true }), false, 'half of them are in b');
  assert.equal(isStoppedWithRoomOnlyIn('a', { spread: true }), true, 'it leaves its own zone');
  assert.equal(isStoppedWithRoomOnlyIn('c', { spread: true }), true);
});
