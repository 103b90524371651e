/** The checker of the quota rule, with planted breaches: what it does not see no run of the cluster can find. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { BATCH } from './sim/jobs.js';
import { Rules, jobFacts } from './sim/rules.js';
import type { JobSubmission } from './sim/wire/users.js';

const LIMIT = 4;
const CANCEL_MS = 20_000;
const WAITING_LIMIT_MS = 90_000;

interface Planted {
  rules: Rules;
  clock: { now: number };
}

const JOB: JobSubmission = {
  id: 'run-1',
  jobClass: 'batch',
  team: 't0',
  kind: 'array',
  priority: 'normal',
  tasks: 5,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  image: 'img-1',
  imageGb: 0,
  machineTypes: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  durationS: 1,
  checkpointEveryS: 0,
  checkpointS: 0,
  deadlineS: null,
};

function withJob(over: Partial<JobSubmission> = {}): Planted {
  const clock = { now: 0 };
  const rules = new Rules(() => clock.now, CANCEL_MS, new Map([['t0', LIMIT]]));
  const facts = jobFacts({ ...JOB, ...over }, 0);
  rules.jobs.set(JOB.id, { ...facts, toldAccepted: true });
  return { rules, clock };
}

const place = (machine: string): Parameters<Rules['start']>[1] => ({
  machine,
  type: 't',
  zone: 'a',
  spot: false,
});

test('a task beyond the limit is a breach at the moment it has its image', () => {
  const { rules } = withJob();
  rules.start('run-1/0', place('m1'));
  rules.start('run-1/1', place('m1'));
  assert.deepEqual(rules.broken, []);
  rules.start('run-1/2', place('m2'));
  assert.deepEqual(rules.broken, ['0 quota: t0 by run-1/2']);
});

test('a second copy of a task counts beside the first, and until it has left its own machine', () => {
  const { rules } = withJob();
  rules.start('run-1/0', place('m1'));
  rules.start('run-1/0', place('m2'));
  assert.equal(rules.usedCpus('t0'), 4);
  rules.leave('run-1/0', 'm1', false);
  assert.equal(rules.usedCpus('t0'), 2);
  rules.start('run-1/1', place('m1'));
  rules.start('run-1/2', place('m1'));
  assert.ok(rules.broken.some((broken) => broken.includes('quota')));
});

test('an end makes room once, however often it is told', () => {
  const { rules } = withJob();
  rules.start('run-1/0', place('m1'));
  rules.start('run-1/1', place('m1'));
  rules.leave('run-1/0', 'm1', true);
  rules.leave('run-1/0', 'm1', true);
  assert.equal(rules.usedCpus('t0'), 2);
});

test('a task that saves counts until it exits', async () => {
  const cluster = new Cluster({ seed: 1, ordinaryUp: 4 });
  await cluster.run(4);
  const saving: Partial<JobSubmission> = {
    ...BATCH,
    team: 't0',
    tasks: 1,
    durationS: 60,
    checkpointEveryS: 1,
    checkpointS: 3,
  };
  void cluster.user(cluster.newJob(saving), null);
  await cluster.run(12);
  const [[task, [{ machine }]]] = [...cluster.rules.on];
  const worker = cluster.cloud.machines.get(machine)!.worker!;
  worker.preemptionDeadline = cluster.clock.time + 15_000;
  let saved = 0;
  for (let i = 0; i < 100; i++) {
    await cluster.run(0.1);
    if (!worker.isSaving(task)) continue;
    saved++;
    assert.ok(cluster.rules.usedCpus('t0') >= 2, 'it counts while it saves');
  }
  assert.ok(saved >= 20, `${saved} looks while it saved`);
  assert.deepEqual(cluster.rules.broken, []);
});

test('a gang that does not fit under the limit as a whole does not wait in vain, one that fits does', () => {
  const rooms = [{ ...place('m1'), freeCpus: 64 }];
  for (const [tasks, waits] of [
    [3, false],
    [2, true],
  ] as const) {
    const { rules, clock } = withJob({ kind: 'gang', tasks });
    rules.checkWaiting(rooms, []);
    clock.now = WAITING_LIMIT_MS + 1;
    rules.checkWaiting(rooms, []);
    assert.equal(rules.broken.length > 0, waits, `${tasks} tasks`);
  }
});
