/** Exits of attempts in the machine table: when a task may be started elsewhere. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobTable } from '../src/jobs/job-table.js';
import type { Job } from '../src/jobs/job.js';
import type { ExitCause, TaskStatus } from '../src/wire/model.js';
import { collectCommands } from '../src/workers/commands.js';
import type { MachineTable } from '../src/workers/machine-table.js';
import type { TaskAttempt } from '../src/workers/task-attempt.js';
import { spec } from './sim/job-spec.js';
import { machineType } from './sim/machine-type.js';
import { addMachines, createPlacement } from './sim/placement-harness.js';

interface Started {
  table: MachineTable;
  job: Job;
  attempt: TaskAttempt;
  /** Applies a heartbeat of the machine with this token and these tasks. */
  report: (token: number, tasks: TaskStatus[]) => void;
}

/** A job of one task whose start was sent with the machine's present token, and answered. */
function startedTask(): Started {
  const jobs = new JobTable();
  const job = jobs.add(spec({ tasks: 1 }), 1, 0, true, 0);
  const team = { name: 't', cpus: 0, gpus: 0, cpusMax: Infinity, gpusMax: Infinity };
  const { table } = createPlacement(jobs, { teams: [team] });
  const [machine] = addMachines(table, 1, machineType(16));
  const attempt = table.addAttempt(machine, job.spec.id, job, 0, 1, 0);
  attempt.markStartSent(table.tokenFor(machine));
  table.startsAcknowledged([attempt]);
  let sequence = 0;
  return {
    table,
    job,
    attempt,
    report: (token, tasks) => {
      const { id, endpoint, type, zone, spot } = machine;
      const heartbeat = { machine: id, endpoint, type: type.name, zone, spot, token, tasks };
      const state = { incarnation: 0, sequence: ++sequence, preemptionNoticeS: null };
      table.applyHeartbeat(machine, { ...heartbeat, ...state }, 0);
    },
  };
}

function status(state: TaskStatus['state'], cause: ExitCause | null = null): TaskStatus {
  return { job: 'run-1', taskNumber: 0, attempt: 1, state, cause };
}

// Guards against a task that runs on two machines at once: without its tasks, a machine executes a late copy of the start.
for (const cause of ['stopped', 'error', 'no_room', 'busy'] as const)
  test(`a task whose attempt has exited (${cause}) is not started elsewhere before its machine refuses copies of the start`, () => {
    const { table, job, attempt, report } = startedTask();
    const token = attempt.startToken;
    report(token, [status('exited', cause)]);
    assert.equal(job.pending(), 0);
    assert.equal(attempt.machine.usedCpus, job.spec.cpus, 'the room may be needed');
    assert.ok(table.tokenFor(attempt.machine) > token, 'the next message carries a higher token');
    const batch = collectCommands(attempt.machine, { cancellationsAreFresh: () => true }, 0);
    assert.ok(batch.needsToken, 'a request is sent for it');
    report(token + 1, [status('exited', cause)]);
    assert.equal(attempt.state, 'exited');
    assert.equal(job.pending(), 1);
    assert.equal(attempt.machine.usedCpus, 0);
  });

// Guards against the same if the copy comes first.
test('an attempt that a late copy of its start has started again counts as running, and its task is started nowhere else', () => {
  const { job, attempt, report } = startedTask();
  const token = attempt.startToken;
  report(token, [status('exited', 'no_room')]);
  report(token, []);
  report(token + 1, [status('running')]);
  assert.equal(attempt.state, 'running');
  assert.equal(attempt.cause, null);
  assert.equal(job.running, 1);
  assert.equal(job.pending(), 0);
  report(token + 1, [status('exited', 'done')]);
  assert.ok(job.isComplete());
});

test('an attempt that is missing while it is being fenced has left its machine once the machine refuses copies', () => {
  const { job, attempt, report } = startedTask();
  const token = attempt.startToken;
  report(token, [status('fetching')]);
  report(token, []);
  assert.equal(job.pending(), 0);
  assert.equal(attempt.machine.fetching.size, 0);
  report(token + 1, []);
  assert.equal(attempt.state, 'removed');
  assert.equal(job.pending(), 1);
});

test('a result counts at once, and so does the exit of a task that was started long ago', () => {
  const done = startedTask();
  done.report(done.attempt.startToken, [status('exited', 'done')]);
  assert.ok(done.job.isComplete());
  const stopped = startedTask();
  const token = stopped.attempt.startToken;
  stopped.table.advanceToken(stopped.attempt.machine);
  stopped.report(token + 1, [status('running')]);
  stopped.report(token + 1, [status('exited', 'stopped')]);
  assert.equal(stopped.job.pending(), 1);
});
