/**
 * Tests of the invariant checks themselves, with injected violations: no run of a cluster can find a violation that the
 * checks miss.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { BATCH, PLAIN_ARRAY } from './sim/jobs.js';
import { Invariants } from './sim/invariants.js';
import { observedJob } from './sim/observed-job.js';
import type { JobSubmission } from './sim/wire/users.js';

const LIMIT = 4;
const CANCEL_MS = 20_000;
const WAITING_LIMIT_MS = 90_000;

interface Fixture {
  invariants: Invariants;
  clock: { now: number };
}

const JOB: JobSubmission = {
  ...PLAIN_ARRAY,
  id: 'run-1',
  team: 't0',
  tasks: 5,
  memoryGb: 1,
  imageGb: 0,
};

function withJob(overrides: Partial<JobSubmission> = {}): Fixture {
  const clock = { now: 0 };
  const invariants = new Invariants(() => clock.now, CANCEL_MS, new Map([['t0', LIMIT]]), 1000);
  const observed = observedJob({ ...JOB, ...overrides }, 0);
  invariants.jobs.set(JOB.id, { ...observed, reportedAccepted: true });
  return { invariants, clock };
}

const place = (machine: string): Parameters<Invariants['taskStarted']>[1] => ({
  machine,
  type: 't',
  zone: 'a',
  spot: false,
});

test('a task that exceeds the limit violates the quota as soon as it has fetched its image', () => {
  const { invariants } = withJob();
  invariants.taskStarted('run-1/0', place('m1'));
  invariants.taskStarted('run-1/1', place('m1'));
  assert.deepEqual(invariants.violations, []);
  invariants.taskStarted('run-1/2', place('m2'));
  assert.deepEqual(invariants.violations, ['0 quota: t0 by run-1/2']);
});

test('each copy of a task counts towards the quota until it has left its own machine', () => {
  const { invariants } = withJob();
  invariants.taskStarted('run-1/0', place('m1'));
  invariants.taskStarted('run-1/0', place('m2'));
  assert.equal(invariants.usedCpus('t0'), 4);
  invariants.taskLeft('run-1/0', 'm1', false);
  assert.equal(invariants.usedCpus('t0'), 2);
  invariants.taskStarted('run-1/1', place('m1'));
  invariants.taskStarted('run-1/2', place('m1'));
  assert.ok(invariants.violations.some((violation) => violation.includes('quota')));
});

test('an exit that is reported twice frees CPUs once', () => {
  const { invariants } = withJob();
  invariants.taskStarted('run-1/0', place('m1'));
  invariants.taskStarted('run-1/1', place('m1'));
  invariants.taskLeft('run-1/0', 'm1', true);
  invariants.taskLeft('run-1/0', 'm1', true);
  assert.equal(invariants.usedCpus('t0'), 2);
});

test('a task that saves a checkpoint counts towards the quota until it exits', async () => {
  const cluster = new Cluster({ seed: 1, ordinaryUp: 4 });
  await cluster.run(4);
  const saving: Partial<JobSubmission> = {
    ...BATCH,
    team: 't0',
    tasks: 1,
    durationS: 60,
    checkpointIntervalS: 1,
    saveS: 3,
  };
  void cluster.users.run(cluster.users.newJob(saving), null);
  await cluster.run(12);
  const [[task, [{ machine }]]] = [...cluster.invariants.placesByTask];
  const worker = cluster.cloud.machines.get(machine)!.worker!;
  worker.preemptionDeadline = cluster.clock.time + 15_000;
  let samplesWhileSaving = 0;
  for (let i = 0; i < 100; i++) {
    await cluster.run(0.1);
    if (!worker.tasks.isSaving(task)) continue;
    samplesWhileSaving++;
    assert.ok(cluster.invariants.usedCpus('t0') >= 2, 'the task counts while it saves');
  }
  assert.ok(samplesWhileSaving >= 20, `${samplesWhileSaving} samples while it saved`);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a waiting gang is a violation only if the whole gang fits under the limit of its team', () => {
  const capacities = [{ ...place('m1'), freeCpus: 64, freeGpus: 0, freeMemoryGb: 256 }];
  for (const [tasks, waits] of [
    [3, false],
    [2, true],
  ] as const) {
    const { invariants, clock } = withJob({ kind: 'gang', tasks });
    invariants.checkWaiting(capacities, [], []);
    clock.now = WAITING_LIMIT_MS + 1;
    invariants.checkWaiting(capacities, [], []);
    assert.equal(invariants.violations.length > 0, waits, `${tasks} tasks`);
  }
});

test('a waiting job is a violation while the cloud would rent a machine that fits, unless the machine lacks memory or GPUs', () => {
  const free = { ...place('m1'), freeCpus: 64, freeGpus: 1, freeMemoryGb: 256 };
  for (const [rentable, waits] of [
    [free, true],
    [{ ...free, freeGpus: 0 }, false],
    [{ ...free, freeMemoryGb: 3 }, false],
  ] as const) {
    const { invariants, clock } = withJob({ tasks: 1, gpus: 1, memoryGb: 4 });
    invariants.checkWaiting([], [rentable], []);
    clock.now = WAITING_LIMIT_MS + 1;
    invariants.checkWaiting([], [rentable], []);
    assert.equal(invariants.violations.length > 0, waits);
  }
});

test('returning a machine with a task on it is a violation', () => {
  const { invariants } = withJob({ tasks: 1, cpus: 0 });
  invariants.taskStarted(`${JOB.id}/0`, place('m1'));
  invariants.checkReturned(['m2']);
  assert.deepEqual(invariants.violations, []);
  invariants.checkReturned(['m1']);
  assert.equal(invariants.violations.length, 1);
});
