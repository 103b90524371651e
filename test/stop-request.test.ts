/** A pending stop may only become stricter, and a stricter one takes effect at once. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Cancellations } from '../src/jobs/cancellations.js';
import type { Job } from '../src/jobs/job.js';
import { JobTable } from '../src/jobs/job-table.js';
import type { Placement } from '../src/placement/placement.js';
import type { Log } from '../src/runtime.js';
import type { Heartbeat, JobSpec, TaskStatus, WorkerCommand } from '../src/wire/model.js';
import { collectCommands } from '../src/workers/commands.js';
import type { MachineTable } from '../src/workers/machine-table.js';
import { type StopReason, discardsProgress } from '../src/workers/stop-reason.js';
import { type StopRequest, combineStops } from '../src/workers/stop-request.js';
import type { TaskAttempt } from '../src/workers/task-attempt.js';
import { spec } from './sim/job-spec.js';
import { machineType } from './sim/machine-type.js';
import { addMachines, createPlacement } from './sim/placement-harness.js';
import { quietLog } from './sim/quiet-log.js';

const REASONS: StopReason[] = [
  'unknown-job',
  'job-cancelled',
  'finished-elsewhere',
  'duplicate-attempt',
  'preempted',
  'preempted-within-team',
  'machine-drained',
  'moved-off-straggler',
  'gang-moved-off-straggler',
  'gang-member-lost',
  'gang-attempt-aborted',
];
const SAVE_S = 40;
const MOVE: StopRequest = { graceS: SAVE_S, reason: 'moved-off-straggler', replaced: false };
const CANCEL: StopRequest = { graceS: 0, reason: 'job-cancelled', replaced: false };

const arbitraryRequests = fc.array(
  fc.record<StopRequest>({
    graceS: fc.constantFrom(0, 3, SAVE_S, 100),
    reason: fc.constantFrom(...REASONS),
    replaced: fc.boolean(),
  }),
  { minLength: 1, maxLength: 8 },
);

function isSameOrStricter(before: StopRequest, after: StopRequest): boolean {
  return after.graceS <= before.graceS && (before.replaced || !after.replaced);
}

test('in any order of requests a stop never becomes laxer, and loses its time to save only if the progress is useless', () => {
  fc.assert(
    fc.property(arbitraryRequests, (requests) => {
      let pending: StopRequest | null = null;
      for (const next of requests) {
        const outcome = combineStops(pending, next);
        assert.notEqual(outcome.kind, 'never-sent');
        const after: StopRequest | null = 'request' in outcome ? outcome.request : pending;
        assert.ok(after);
        if (pending) assert.ok(isSameOrStricter(pending, after));
        if (discardsProgress(next.reason)) assert.equal(after.graceS, 0);
        else if (pending) assert.equal(after.graceS, pending.graceS);
        if (!next.replaced) assert.equal(after.replaced, false, 'a stop of the whole gang');
        pending = after;
      }
    }),
    { seed: 1, numRuns: 2000 },
  );
});

/** One job whose tasks run on machines of their own; all starts were acknowledged. */
interface RunningJob {
  job: Job;
  table: MachineTable;
  placement: Placement;
  attempts: TaskAttempt[];
}

function runningJob(overrides: Partial<JobSpec>, log: Log = quietLog): RunningJob {
  const jobs = new JobTable();
  const team = { name: 't', cpus: 0, gpus: 0, cpusMax: Infinity, gpusMax: Infinity };
  const { table, placement } = createPlacement(jobs, { teams: [team] }, log);
  const job = jobs.add(
    spec({ checkpointS: 20, saveS: SAVE_S, tasks: 3, ...overrides }),
    1,
    0,
    true,
    0,
  );
  const attempts = addMachines(table, job.spec.tasks, machineType(16)).map((machine, task) =>
    Object.assign(table.addAttempt(machine, job.spec.id, job, task, 1, 0), {
      startSent: true,
      startUnacknowledged: false,
      state: 'running' as const,
    }),
  );
  return { job, table, placement, attempts };
}

function dueCommands({ machine }: TaskAttempt, now: number): WorkerCommand[] {
  return collectCommands(machine, { cancellationsAreFresh: () => true }, now).commands;
}

test('a stop that became stricter is sent at once, not when the repetition of the earlier one is due', () => {
  const { table, attempts } = runningJob({});
  const [attempt] = attempts;
  table.stop(attempt, MOVE, 0);
  assert.deepEqual(dueCommands(attempt, 0).length, 1);
  table.backlog.clear(attempt.machine);
  table.stop(attempt, MOVE, 100);
  assert.deepEqual(dueCommands(attempt, 100), [], 'the same stop is repeated later');
  table.stop(attempt, CANCEL, 100);
  assert.ok(table.backlog.pending.has(attempt.machine));
  const command = { op: 'stop', job: 'run-1', taskNumber: 0, attempt: 1, graceS: 0 };
  assert.deepEqual(dueCommands(attempt, 100), [command]);
});

test('a response to a heartbeat leaves tasks of a cancelled job no time to save, whatever stop was decided before', () => {
  const cancellations = new Cancellations(32, 20, () => 0);
  cancellations.record('run-1');
  const status = (job: string): TaskStatus => ({
    job,
    taskNumber: 0,
    attempt: 1,
    state: 'saving',
    cause: null,
  });
  const stop = (job: string, graceS: number): WorkerCommand => ({
    op: 'stop',
    job,
    taskNumber: 0,
    attempt: 1,
    graceS,
  });
  const heartbeat: Heartbeat = {
    machine: 'm0',
    endpoint: 'm0:1',
    type: 'm',
    zone: 'a',
    spot: false,
    incarnation: 1,
    sequence: 1,
    token: 1,
    preemptionNoticeS: null,
    tasks: [status('run-1'), status('run-2')],
  };
  assert.deepEqual(
    cancellations.withStops(heartbeat, [stop('run-1', SAVE_S), stop('run-2', SAVE_S)]),
    [stop('run-1', 0), stop('run-2', SAVE_S)],
  );
});

test('a saving attempt loses its time to save once it is found to be a duplicate', () => {
  const { job, table, placement, attempts } = runningJob({});
  const duplicate = Object.assign(table.addAttempt(attempts[1].machine, 'run-1', job, 0, 2, 0), {
    startSent: true,
    startUnacknowledged: false,
    state: 'running' as const,
  });
  table.stop(duplicate, MOVE, 0);
  placement.heartbeatApplied(duplicate.machine);
  assert.equal(duplicate.stop?.graceS, 0);
});

test('a gang that saves keeps its time to save when it loses a task', () => {
  const { table, attempts } = runningJob({ kind: 'gang' });
  for (const attempt of attempts) table.stop(attempt, MOVE, 0);
  table.removeAttempt(attempts[0], 0);
  for (const attempt of attempts.slice(1)) assert.deepEqual(attempt.stop, MOVE);
});

for (const drainReason of ['surplus', 'faulty'] as const)
  test(`tasks on a ${drainReason} machine are told to save once the cloud takes the machine back`, () => {
    const { placement, attempts } = runningJob({});
    const [{ machine }, ...others] = attempts;
    Object.assign(machine, { drainReason, preemptionDeadline: 2 * SAVE_S * 1000 });
    placement.heartbeatApplied(machine);
    assert.deepEqual(attempts[0].stop, { ...MOVE, reason: 'machine-drained' });
    for (const { stop } of others) assert.equal(stop, null);
  });

test('a task on a machine that the cloud should have taken back already is stopped at once, not for a negative time', () => {
  const { placement, attempts } = runningJob({});
  const [{ machine }] = attempts;
  machine.preemptionDeadline = -1000;
  placement.heartbeatApplied(machine);
  assert.equal(attempts[0].stop?.graceS, 0);
});

test('the log says which stop was requested, with what time to save and why, and which earlier stop it replaces', () => {
  const lines: object[] = [];
  const info = (fields: object, text: string): void => {
    if (text.startsWith('stop ')) lines.push({ text, ...fields });
  };
  const { job, placement, attempts } = runningJob({ kind: 'gang' }, { ...quietLog, info });
  for (const { machine } of attempts)
    Object.assign(machine, { preemptionDeadline: SAVE_S * 1000, drainReason: 'notice' });
  placement.heartbeatApplied(attempts[0].machine);
  placement.tick(0);
  placement.jobCancelled(job);
  placement.tick(0);
  const same = { job: 'run-1', tasks: 3, some: ['0@m0', '1@m1', '2@m2'] };
  const drain = { reason: 'machine-drained', graceS: SAVE_S };
  assert.deepEqual(lines, [
    { text: 'stop requested', ...same, ...drain },
    { text: 'stop made stricter', ...same, reason: 'job-cancelled', graceS: 0, earlier: drain },
  ]);
});
