/**
 * The decision whether a team may use more resources, the audit that detects wrong usage sums, and the counting of
 * attempts in `MachineTable` on which both rely.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '../src/jobs/job.js';
import { TrackedJob } from '../src/jobs/tracked-job.js';
import { DecisionLog } from '../src/placement/decision-log.js';
import { TeamUsage } from '../src/placement/team-usage.js';
import { TEAM_USAGE_VIOLATION, UsageAudit } from '../src/placement/usage-audit.js';
import type { Log } from '../src/runtime.js';
import type { Machine } from '../src/workers/machine.js';
import { MachineTable } from '../src/workers/machine-table.js';
import { spec } from './sim/job-spec.js';
import { quietLog } from './sim/quiet-log.js';
import type { TaskAttempt } from '../src/workers/task-attempt.js';

const TOKEN = 100;
const AUDIT_INTERVAL_MS = 5000;
const TYPE = {
  name: 'm',
  cpus: 64,
  gpus: 8,
  memoryGb: 256,
  fetchGbPerS: 1,
  price: 2,
  spotPrice: 0.6,
  bootS: 20,
  zones: ['a'],
};

function usageWithLimit(cpusMax: number, gpusMax = Infinity): TeamUsage {
  return new TeamUsage([{ name: 't', cpus: 0, gpus: 0, cpusMax, gpusMax }]);
}

const startRequest = (overrides = {}): Parameters<TeamUsage['mayStart']>[0] => ({
  spec: spec(overrides),
  tasks: 1,
  headroomCpus: 0,
});

test("running and unconfirmed tasks count against a team's limit", () => {
  const usage = usageWithLimit(10, 1);
  assert.equal(usage.mayStart({ ...startRequest(), tasks: 5 }), true);
  assert.equal(usage.mayStart({ ...startRequest(), tasks: 6 }), false, 'a gang counts as a whole');
  assert.equal(
    usage.mayStart({ ...startRequest(), tasks: 5, headroomCpus: 1 }),
    false,
    'headroom is left to others',
  );
  assert.equal(usage.mayStart(startRequest({ gpus: 2 })), false, 'GPUs count, too');
  assert.equal(usage.mayStart(startRequest({ team: 'unknown' })), false);
  for (let i = 0; i < 3; i++) usage.charge(spec());
  usage.setUnconfirmed(new Map([['t', { cpus: 4, gpus: 0 }]]));
  assert.equal(usage.mayStart(startRequest()), false, 'unconfirmed tasks count');
  usage.setUnconfirmed(new Map([['t', { cpus: 2, gpus: 0 }]]));
  assert.equal(usage.mayStart(startRequest()), true);
  usage.setUnconfirmed(new Map());
  assert.equal(usage.mayStart({ ...startRequest(), tasks: 2 }), true);
  usage.refund(spec());
  assert.equal(usage.mayStart({ ...startRequest(), tasks: 3 }), true);
});

test('a gang that waits for arrays to finish fits under the limit only without them', () => {
  const usage = usageWithLimit(10);
  for (let i = 0; i < 4; i++) usage.charge(spec());
  const gang = { ...startRequest(), tasks: 3 };
  assert.equal(usage.mayStart(gang), false);
  assert.equal(usage.fitsWithout(gang, { cpus: 4, gpus: 0 }), true);
  assert.equal(usage.fitsWithout(gang, { cpus: 2, gpus: 0 }), false);
});

interface AuditSetup {
  table: MachineTable;
  machine: Machine;
  job: Job;
  usage: TeamUsage;
  audit: UsageAudit;
  errors: Record<string, unknown>[];
}

/** Creates an audit over one machine with `tasks` tasks, all of which count in the team's usage. */
function createAuditSetup(cpusMax: number, tasks: number): AuditSetup {
  const usage = usageWithLimit(cpusMax);
  const errors: Record<string, unknown>[] = [];
  const log: Log = {
    ...quietLog,
    error: (fields, text) => {
      assert.equal(text, TEAM_USAGE_VIOLATION);
      errors.push(fields as Record<string, unknown>);
    },
  };
  const decisions = new DecisionLog(log);
  const job = new TrackedJob<TaskAttempt>(0, spec(), 1, 0, true, 0);
  const table = new MachineTable(TOKEN, 10_000, (id) => (id === 'run-1' ? job : undefined), {
    attemptAdded: (attempt) => {
      decisions.started(attempt, usage.quotaStatus('t'), 0);
      usage.charge(attempt.job!.spec);
    },
    fenceRequired: () => undefined,
    attemptEnded: (attempt) => {
      usage.refund(attempt.job!.spec);
    },
  });
  const machine = table.add('m1', 'm1:1', TYPE, 'a', false, 0);
  Object.assign(machine, {
    stored: true,
    reported: true,
    reportedToken: TOKEN,
  } satisfies Partial<Machine>);
  for (let task = 0; task < tasks; task++) table.addAttempt(machine, 'run-1', job, task, task, 0);
  return {
    table,
    machine,
    job,
    usage,
    errors,
    audit: new UsageAudit({ table, usage, decisions, log }),
  };
}

test('a usage sum that is too low is logged with the decisions before it and corrected, and suspends the team until the next audit', () => {
  const { usage, audit, errors } = createAuditSetup(20, 10);
  audit.tick(0);
  assert.equal(errors.length, 0);
  usage.refund(spec());
  assert.equal(usage.mayStart(startRequest()), true, 'the wrong sum would let it start');
  audit.tick(AUDIT_INTERVAL_MS);
  assert.equal(errors.length, 1);
  assert.equal(errors[0].kind, 'wrong-sum');
  assert.equal((errors[0].decisions as unknown[]).length, 10);
  assert.equal(usage.quotaStatus('t')!.used.cpus, 20);
  assert.equal(usage.isSuspended('t'), true);
  audit.tick(2 * AUDIT_INTERVAL_MS);
  assert.equal(usage.isSuspended('t'), false, 'the sum is correct again');
  assert.equal(errors.length, 1);
});

test('a team over its limit on reconciled machines starts nothing until its usage is below the limit', () => {
  const { table, machine, job, usage, audit, errors } = createAuditSetup(10, 7);
  audit.tick(0);
  assert.equal(errors.length, 0, 'starts that no heartbeat has reported are no violation');
  for (const attempt of machine.attempts.values()) attempt.state = 'running';
  audit.tick(AUDIT_INTERVAL_MS);
  audit.tick(2 * AUDIT_INTERVAL_MS);
  assert.deepEqual(
    errors.map((error) => error.kind),
    ['over-limit'],
    'logged once',
  );
  assert.equal(usage.isSuspended('t'), true);
  job.running = 7;
  for (const attempt of [...machine.attempts.values()].slice(0, 3)) table.removeAttempt(attempt, 0);
  audit.tick(3 * AUDIT_INTERVAL_MS);
  assert.equal(usage.isSuspended('t'), false);
  assert.equal(usage.mayStart(startRequest()), true);
});

test('tasks that a machine reports with an older token are no proof of a violation', () => {
  const { machine, audit, errors } = createAuditSetup(10, 7);
  for (const attempt of machine.attempts.values()) attempt.state = 'running';
  machine.reportedToken = TOKEN - 1;
  audit.tick(0);
  assert.equal(errors.length, 0);
});

test("an attempt that is removed twice is subtracted from its team's usage once", () => {
  const { table, machine, usage } = createAuditSetup(20, 2);
  const [attempt] = machine.attempts.values();
  table.removeAttempt(attempt, 0);
  table.startsRejected([attempt], 0);
  table.removeAttempt(attempt, 0);
  table.stop(attempt, { graceS: 0, reason: 'preempted', replaced: false }, 0);
  assert.equal(usage.quotaStatus('t')!.used.cpus, 2);
  assert.equal(machine.usedCpus, 2);
});

test('a late status of a removed gang task does not remove its replacement with the same number', () => {
  const { table, machine, job } = createAuditSetup(20, 1);
  const [removedAttempt] = machine.attempts.values();
  table.removeAttempt(removedAttempt, 0);
  const replacement = table.addAttempt(machine, 'run-1', job, 0, 0, 0);
  table.removeAttempt(removedAttempt, 0);
  assert.deepEqual([...machine.attempts.values()], [replacement]);
});

// A machine's response may be in transit while the machine's deletion is confirmed. If the heartbeat in it were applied
// to the machine, which is no longer in the table, its tasks would be added again (1 ms after their removal in one
// incident): they would count from then on, no audit of machines would cover them, and none would be started elsewhere.
test('a heartbeat of a deleted machine is not applied and adds no usage', () => {
  const { table, machine, job, usage } = createAuditSetup(20, 1);
  table.remove(machine, 0);
  const report = {
    machine: machine.id,
    endpoint: machine.endpoint,
    type: 'm',
    zone: 'a',
    spot: false,
    incarnation: 1,
    sequence: 7,
    token: TOKEN,
    preemptionNoticeS: null,
    tasks: [{ job: 'run-1', taskNumber: 0, attempt: 0, state: 'running' as const, cause: null }],
  };
  assert.equal(table.applyHeartbeat(machine, report, 1), false);
  assert.equal(machine.attempts.size, 0);
  assert.equal(job.running, 0);
  assert.equal(usage.quotaStatus('t')!.used.cpus, 0);
});
