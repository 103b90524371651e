/**
 * Placement of tasks and gangs: order of jobs, relocation, preemption, failures and stragglers; also when a finished
 * task is durable.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobTable } from '../src/jobs/job-table.js';
import { TrackedJob } from '../src/jobs/tracked-job.js';
import { GangRelocation } from '../src/placement/gang-relocation.js';
import { expireFailedMachines, recordFailure } from '../src/placement/failure-tracking.js';
import type { Machine } from '../src/workers/machine.js';
import { MachineTable } from '../src/workers/machine-table.js';
import { RunTimeSamples } from '../src/placement/run-time-samples.js';
import { detectStragglers } from '../src/placement/straggler-detection.js';
import { finishGoals, servingOrder, urgency } from '../src/placement/job-order.js';
import { spec } from './sim/job-spec.js';
import { machineType } from './sim/machine-type.js';
import { addMachines, createPlacement } from './sim/placement-harness.js';
import type { TaskAttempt } from '../src/workers/task-attempt.js';

test('a gang is relocated only as a whole: if all of it fits elsewhere and all its machines are reachable', () => {
  const table = new MachineTable(100, 10_000, () => undefined, {
    attemptAdded: (attempt) => attempt.job?.addAttempt(attempt),
    fenceRequired: () => undefined,
    attemptEnded: () => undefined,
  });
  const addMachine = (id: string): Machine => {
    const machine = table.add(id, `${id}:1`, machineType(16), 'a', false, 0);
    return Object.assign(machine, {
      stored: true,
      reported: true,
      reportedToken: 100,
    } satisfies Partial<Machine>);
  };
  const gang = new TrackedJob<TaskAttempt>(
    0,
    spec({ kind: 'gang', tasks: 4, cpus: 8, spot: false }),
    1,
    0,
    true,
    0,
  );
  const currentMachines = [addMachine('m1'), addMachine('m2')];
  for (let task = 0; task < 4; task++)
    table.addAttempt(currentMachines[task >> 1], 'run-1', gang, task, 7, 0);
  const gangs = new GangRelocation({
    table,
    isUsable: (machine: Machine) => machine.isReconciled(),
  } satisfies Partial<
    ConstructorParameters<typeof GangRelocation>[0]
  > as unknown as ConstructorParameters<typeof GangRelocation>[0]);
  const spareMachine = addMachine('m3');
  assert.equal(gangs.canRelocate(gang, currentMachines[0]), false, 'only half of it fits');
  addMachine('m4');
  assert.equal(gangs.canRelocate(gang, currentMachines[0]), true);
  currentMachines[1].commandFailures = 1;
  assert.equal(
    gangs.canRelocate(gang, currentMachines[0]),
    false,
    'a stop command would not reach one machine',
  );
  currentMachines[1].commandFailures = 0;
  spareMachine.isStraggler = true;
  assert.equal(
    gangs.canRelocate(gang, currentMachines[0]),
    false,
    'stragglers are no targets of a relocation',
  );
});

test('a job avoids the machines on which it failed, and may use them again after a while', () => {
  const job = new TrackedJob<TaskAttempt>(0, spec(), 1, 0, true, 0);
  const machine = {
    index: 4,
    failedJobs: new Set<number>(),
    drainReason: null,
  } satisfies Partial<Machine> as unknown as Machine;
  const table = {
    all: () => [machine].values(),
  } satisfies Partial<MachineTable> as unknown as MachineTable;
  assert.equal(recordFailure(job, machine, table, 1000), false);
  assert.ok(job.nextStartAt > 1000 && job.failedOn.has(4));
  expireFailedMachines(job, 20_000);
  assert.ok(job.failedOn.has(4), 'other machines are tried first');
  expireFailedMachines(job, 31_000);
  assert.equal(job.failedOn.size, 0);
});

test('a finished task is not durable before its chunk is written', () => {
  const job = new TrackedJob<TaskAttempt>(0, spec(), 1, 0, true, 0);
  job.finish(3, 100);
  assert.equal(job.isDurable(3), false);
  job.finished.dirtyBlocks.clear();
  assert.deepEqual([job.isDurable(3), job.isDurable(4)], [true, false]);
});

test('a machine is a straggler only if several jobs run longer there than elsewhere', () => {
  const samples = new RunTimeSamples();
  for (const job of [1, 2])
    for (const machine of [1, 2, 3, 4]) samples.record(job, machine, 1000 + machine);
  samples.record(1, 9, 1600);
  assert.equal(detectStragglers(samples, 1.5, 2).has(9), false, 'one job is not enough');
  samples.record(2, 9, 1700);
  assert.equal(detectStragglers(samples, 1.5, 2).has(9), true);
  assert.equal(detectStragglers(samples, 1.5, 2).has(1), false);
  for (const job of [3, 4]) for (const machine of [1, 2, 3, 9]) samples.record(job, machine, 1000);
  assert.equal(
    detectStragglers(samples, 1.5, 2).has(9),
    false,
    'for as many other jobs, the run time there is not longer',
  );
});

test('jobs are served by rank, then by the first finish goal that they can still meet, then the smallest first', () => {
  const goals = finishGoals([
    { kind: 'finished', jobClass: 'batch', withinS: 250 },
    { kind: 'finished', jobClass: 'batch', withinS: 90 },
  ]);
  const jobs = [
    new TrackedJob<TaskAttempt>(0, spec({ id: 'late', tasks: 1 }), 1, -300_000, true, 0),
    new TrackedJob<TaskAttempt>(1, spec({ id: 'second', tasks: 1 }), 1, -100_000, true, 0),
    new TrackedJob<TaskAttempt>(2, spec({ id: 'big', tasks: 50 }), 1, 0, true, 0),
    new TrackedJob<TaskAttempt>(3, spec({ id: 'small', tasks: 2 }), 1, 0, true, 0),
    new TrackedJob<TaskAttempt>(4, spec({ id: 'service', priority: 0 }), 1, 0, true, 0),
  ];
  const order = servingOrder(jobs, new Set(), (j) => urgency(j, goals, 30_000, 0)).map(
    (j) => j.spec.id,
  );
  assert.deepEqual(order, ['service', 'small', 'big', 'second', 'late']);
});

// Urgent arrays beyond their team's guarantee must not preempt normal ones within theirs, since these would preempt the
// urgent ones again: seven of ten started tasks were preempted in one incident.
test('two teams on a full fleet do not preempt each other repeatedly', () => {
  const jobs = new JobTable();
  const { table, placement } = createPlacement(jobs, {
    teams: [
      { name: 'urgent', cpus: 4, gpus: 0, cpusMax: Infinity, gpusMax: Infinity },
      { name: 'normal', cpus: 400, gpus: 0, cpusMax: Infinity, gpusMax: Infinity },
    ],
  });
  addMachines(table, 10, machineType(4));
  const urgent = jobs.add(
    spec({ id: 'run-1', team: 'urgent', priority: 1, tasks: 20, cpus: 4 }),
    1,
    0,
    true,
    0,
  );
  const normal = jobs.add(
    spec({ id: 'run-2', team: 'normal', priority: 2, tasks: 20, cpus: 4 }),
    1,
    1,
    true,
    0,
  );
  let starts = 0;
  for (let i = 0; i < 20; i++) {
    placement.runSchedulingCycle();
    for (const machine of table.all())
      for (const attempt of [...machine.attempts.values()]) {
        if (attempt.stop) table.removeAttempt(attempt, 0);
        else if (!attempt.startSent) starts++;
        Object.assign(attempt, {
          startSent: true,
          startUnacknowledged: false,
          state: 'running',
        } satisfies Partial<typeof attempt>);
      }
  }
  assert.equal(starts, 10, 'each machine got one task, which kept running');
  assert.equal(normal.attempts.size, 10);
  assert.equal(urgent.attempts.size, 0);
});

// When a zone is lost, replicas that are not allowed in the other zones must not use up the candidate budget of each
// scheduling cycle, which is the number of machines that it may examine.
test('replicas that fit in no allowed zone do not keep other jobs waiting', () => {
  const jobs = new JobTable();
  const { table, placement } = createPlacement(jobs, {
    teams: [{ name: 't', cpus: 0, gpus: 0, cpusMax: Infinity, gpusMax: Infinity }],
  });
  addMachines(table, 200, machineType(64));
  const services = Array.from({ length: 300 }, (_, i) => {
    const jobSpec = spec({
      id: `run-${i}`,
      kind: 'service',
      priority: 0,
      tasks: 2,
      spread: true,
      spot: false,
    });
    return jobs.add(jobSpec, 1, 0, true, 0);
  });
  for (let i = 0; i < 20; i++) placement.runSchedulingCycle();
  assert.ok(
    services.every((j) => j.attempts.size === 1),
    'the first replica of each service is placed in the only zone',
  );
  const array = jobs.add(spec({ id: 'run-999' }), 1, 0, true, 0);
  placement.runSchedulingCycle();
  assert.equal(array.attempts.size, 10);
});

// With 4,000 machines, seven jobs with different requirements that no machine meets use up the candidate budget of a
// scheduling cycle, so the next cycle must not begin with the same seven.
test('with 4,000 machines, jobs whose requirements no machine meets do not keep jobs of lower priority waiting', () => {
  const jobs = new JobTable();
  const { table, placement } = createPlacement(jobs, {
    teams: [{ name: 't', cpus: 0, gpus: 0, cpusMax: Infinity, gpusMax: Infinity }],
  });
  addMachines(table, 4001, machineType(4));
  const running = jobs.add(
    spec({ id: 'run-1', kind: 'service', priority: 0, tasks: 3999, cpus: 4 }),
    1,
    0,
    true,
    0,
  );
  const idle = jobs.add(spec({ id: 'run-2', priority: 3, tasks: 1, cpus: 4 }), 1, 0, true, 0);
  for (let i = 0; i < 11; i++) placement.runSchedulingCycle();
  assert.deepEqual([running.attempts.size, idle.attempts.size], [3999, 1]);
  // These may preempt the idle task, so all machines are examined for them, but none has enough memory. One machine is
  // free.
  for (let i = 0; i < 20; i++)
    jobs.add(
      spec({ id: `run-${10 + i}`, priority: 1, tasks: 1, cpus: 4, memoryGb: 300 + i }),
      1,
      0,
      true,
      0,
    );
  const placeableJob = jobs.add(
    spec({ id: 'run-99', priority: 2, tasks: 1, cpus: 4 }),
    1,
    0,
    true,
    0,
  );
  for (let i = 0; i < 4; i++) placement.runSchedulingCycle();
  assert.equal(placeableJob.attempts.size, 1);
});
