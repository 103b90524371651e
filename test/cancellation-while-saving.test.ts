/**
 * Guards against tasks that save for longer than a cancellation allows: a stop that gave them time to save was kept
 * when their job was cancelled, and they stayed on their machines until they had saved (`ran_cancelled`). Also guards
 * against a new leader that takes the time to save from tasks of jobs that nobody has cancelled.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Cluster } from './sim/cluster.js';
import { CANCEL_MS } from './sim/cluster-config.js';
import { otherNode } from './sim/faults.js';
import { clusterWithoutLoss, machinesOfJob, runUntil, submit } from './sim/gang-scenarios.js';
import { BATCH, GANG } from './sim/jobs.js';
import type { ObservedJob } from './sim/observed-job.js';
import type { JobSubmission } from './sim/wire/users.js';

/** Longer than a cancellation may take (22 s). */
const SAVE_S = 40;
const NOTICE_MS = 100_000;

const LONG_SAVE = { checkpointIntervalS: 20, saveS: SAVE_S, durationS: 300 };
const ARRAY: Partial<JobSubmission> = { ...BATCH, ...LONG_SAVE, tasks: 6 };
const LONG_GANG: Partial<JobSubmission> = { ...GANG, ...LONG_SAVE, tasks: 4, cpus: 4 };
const KINDS = [
  ['an array', ARRAY],
  ['a gang', LONG_GANG],
] as const;

/** Starts a job on machines that all get a preemption notice, so that its tasks are told to stop and save. */
async function clusterWithSavingJob(
  seed: number,
  overrides: Partial<JobSubmission>,
  noticeMs = NOTICE_MS,
): Promise<{ cluster: Cluster; job: ObservedJob; logged: Set<string> }> {
  const logged = new Set<string>();
  const log = (_node: string, text: string): unknown => logged.add(text);
  const cluster = await clusterWithoutLoss({ seed, nodes: 5, ordinaryUp: 8, log });
  const job = submit(cluster, overrides);
  const tasks = job.spec.tasks;
  const isRunning = (): boolean => machinesOfJob(cluster, job).length === tasks;
  await runUntil(cluster, isRunning, 30);
  await cluster.run(3);
  for (const machine of new Set(machinesOfJob(cluster, job)))
    cluster.cloud.machines.get(machine)!.worker!.preemptionDeadline = cluster.clock.time + noticeMs;
  await cluster.run(4);
  assert.equal(machinesOfJob(cluster, job).length, tasks, 'all tasks save');
  return { cluster, job, logged };
}

/** Cancels the job, and asserts that its tasks are gone in time. */
async function assertGoneInTime(cluster: Cluster, job: ObservedJob, via?: string): Promise<void> {
  void cluster.users.cancel(job.spec.id, via);
  await runUntil(cluster, () => job.reportedCancelledAt !== null, 30);
  await cluster.run(CANCEL_MS / 1000 + 1);
  assert.deepEqual(cluster.invariants.violations, []);
  assert.equal(machinesOfJob(cluster, job).length, 0);
}

for (const [kind, overrides] of KINDS)
  for (const seed of [1, 2])
    test(`${kind} that is cancelled while its tasks save is stopped at once (${seed})`, async () => {
      const { cluster, job } = await clusterWithSavingJob(seed, overrides);
      const beganAt = cluster.clock.time;
      void cluster.users.cancel(job.spec.id);
      await runUntil(cluster, () => machinesOfJob(cluster, job).length === 0, 5);
      assert.ok(cluster.clock.time - beganAt < 4000);
      assert.deepEqual(cluster.invariants.violations, []);
    });

for (const [kind, overrides] of KINDS)
  for (const seed of [11, 12])
    test(`${kind} that is cancelled while its tasks save is gone in time although the leader crashes (${seed})`, async () => {
      const { cluster, job, logged } = await clusterWithSavingJob(seed, overrides);
      const leader = cluster.leader()!;
      cluster.crash(leader, 60_000);
      await cluster.run(0.3);
      await assertGoneInTime(cluster, job, otherNode(cluster, leader));
      assert.ok(logged.has('stopping tasks of cancelled jobs for the leader'));
    });

for (const [kind, overrides] of KINDS)
  for (const seed of [21, 22])
    test(`${kind} that is cancelled while its tasks save is gone in time although a new leader finds it saving (${seed})`, async () => {
      const { cluster, job } = await clusterWithSavingJob(seed, overrides);
      cluster.crash(cluster.leader()!, 200);
      await cluster.run(0.5);
      await runUntil(cluster, () => cluster.leader() !== undefined, 15);
      await cluster.run(4);
      assert.ok(machinesOfJob(cluster, job).length > 0, 'its tasks still save');
      await assertGoneInTime(cluster, job);
    });

for (const [kind, overrides] of KINDS)
  for (const seed of [31, 32])
    test(`${kind} that is cancelled while its tasks save is gone in time although the state service is down before and after (${seed})`, async () => {
      const { cluster, job } = await clusterWithSavingJob(seed, overrides);
      cluster.state.beginOutage(4000);
      await cluster.run(5);
      void cluster.users.cancel(job.spec.id);
      await runUntil(cluster, () => job.reportedCancelledAt !== null, 10);
      cluster.state.beginOutage(CANCEL_MS);
      await cluster.run(CANCEL_MS / 1000 + 1);
      assert.deepEqual(cluster.invariants.violations, []);
      assert.equal(machinesOfJob(cluster, job).length, 0);
    });

for (const [kind, overrides] of KINDS)
  for (const seed of [41, 42])
    test(`${kind} that saves is not interrupted by a new leader, although less time is left by then than it needs (${seed})`, async () => {
      const { cluster, job } = await clusterWithSavingJob(seed, overrides, SAVE_S * 1000 + 5000);
      await cluster.run(4);
      cluster.crash(cluster.leader()!, 200);
      await cluster.run(SAVE_S);
      assert.deepEqual(cluster.invariants.interruptedSaves, []);
      if (job.spec.kind === 'gang') assert.ok(job.progressMs > 3000, `${job.progressMs} ms saved`);
      assert.deepEqual(cluster.invariants.violations, []);
    });
