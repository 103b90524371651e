/**
 * Cancellations combined with other faults, one specific combination per test; docs/safety.md lists them, one row for
 * each.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_MS, LEASE_MS } from './sim/cluster-config.js';
import { BATCH } from './sim/jobs.js';
import {
  partitionControllers,
  cancelDuringRejection,
  jobIds,
  otherNode,
  clusterWithServices,
  runningTasksOf,
} from './sim/faults.js';

for (const seed of [1, 2, 3])
  test(`a job cancelled while the state service rejects the leader stops in time although an outage for all controllers follows (${seed})`, async () => {
    const cluster = await clusterWithServices({ seed });
    // Controllers can't reach each other, so only the bound on lease renewals can stop the cancelled job.
    partitionControllers(cluster);
    const { cancelledJob } = await cancelDuringRejection(cluster, 14_000);
    cluster.state.beginOutage(CANCEL_MS + 12_000);
    // The job's machines hang at the end of their leases, then continue.
    for (const place of cluster.invariants.placesByTask.get(`${cancelledJob}/0`) ?? [])
      cluster.clock.after(CANCEL_MS / 2, () => {
        cluster.faults.hangMachine(place.machine, LEASE_MS);
      });
    await cluster.run(CANCEL_MS / 1000 + 10);
    assert.equal(runningTasksOf(cluster, cancelledJob), 0);
    await cluster.run(40);
    assert.deepEqual(cluster.invariants.violations, []);
    assert.deepEqual(cluster.invariants.startsAfterCancellationMs, []);
    assert.equal(cluster.invariants.placesByTask.size, 9, 'all other tasks run again');
  });

for (const seed of [11, 12, 13, 14])
  test(`a suspended leader that resumes before it has read the cancellations confirmed meanwhile stops the cancelled job in time and keeps all others running (${seed})`, async () => {
    let resumed = false;
    const cluster = await clusterWithServices({
      seed,
      log: (_node, text, fields) => {
        if (text !== 'leadership' || (fields as { from: string }).from !== 'suspended') return;
        if ((fields as { to: string }).to === 'leader') resumed = true;
      },
    });
    partitionControllers(cluster);
    await cancelDuringRejection(cluster, 15_500);
    cluster.state.beginOutage(14_000);
    // Renewals get a response at once; reads get one only seconds later.
    cluster.state.slowReads = { byMs: 5000, until: cluster.clock.time + 20_000 };
    for (let i = 0; i < 500 && !resumed; i++) await cluster.run(0.05);
    assert.ok(resumed, 'the leadership claim was still valid after the outage');
    // Heartbeats arrive, with or without a response; then the machines hang for nearly a lease.
    await cluster.run(1.8);
    for (const machine of cluster.cloud.machines.values())
      if (machine.worker) cluster.faults.hangMachine(machine.id, LEASE_MS - 500);
    await cluster.run(60);
    assert.deepEqual(cluster.invariants.violations, []);
    assert.equal(cluster.invariants.placesByTask.size, 9, 'all other tasks run again');
  });

test('a suspended leader that resumes starts nothing before it has read the cancellations confirmed meanwhile', async () => {
  const cluster = await clusterWithServices({ seed: 15, teamLimit: 30 });
  const leader = cluster.leader()!;
  // One array fills its team's limit; the other waits for it to end.
  const array = { ...BATCH, team: 't0', tasks: 15, imageGb: 0 };
  void cluster.users.run(cluster.users.newJob({ ...array, durationS: 15 }), null);
  await cluster.run(6);
  const waitingArray = cluster.users.newJob({ ...array, durationS: 5 });
  void cluster.users.run(waitingArray, null);
  await cluster.run(1);
  partitionControllers(cluster);
  cluster.state.rejectHost(`${leader}:80`, 6500);
  await cluster.run(0.2);
  void cluster.users.cancel(waitingArray.id, otherNode(cluster, leader));
  await cluster.run(1.8);
  const job = cluster.invariants.jobs.get(waitingArray.id)!;
  assert.notEqual(job.reportedCancelledAt, null, 'confirmed before the outage');
  assert.equal(job.firstStartAt, null);
  cluster.state.beginOutage(6000);
  cluster.state.slowReads = { byMs: 4000, until: cluster.clock.time + 30_000 };
  await cluster.run(40);
  assert.equal(cluster.leader(), leader);
  assert.deepEqual(cluster.invariants.startsAfterCancellationMs, []);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a follower that extends leases for a crashed leader stops the tasks of a cancelled job and keeps all others running', async () => {
  const cluster = await clusterWithServices({ seed: 16 });
  const crashedLeader = cluster.leader()!;
  cluster.crash(crashedLeader, 60_000);
  await cluster.run(0.3);
  const cancelledJob = jobIds(cluster)[0];
  void cluster.users.cancel(cancelledJob, otherNode(cluster, crashedLeader));
  await cluster.run(1.5);
  assert.notEqual(
    cluster.invariants.jobs.get(cancelledJob)!.reportedCancelledAt,
    null,
    'confirmed before the outage',
  );
  cluster.state.beginOutage(20_000);
  await cluster.run(6);
  assert.equal(runningTasksOf(cluster, cancelledJob), 0);
  assert.equal(cluster.invariants.placesByTask.size, 9, 'all other tasks keep running');
  await cluster.run(30);
  assert.deepEqual(cluster.invariants.violations, []);
});

for (const seed of [21, 22])
  test(`no task restarts in an outage far longer than a lease while all controllers exchange attestations of what they confirmed (${seed})`, async () => {
    const cluster = await clusterWithServices({ seed });
    const { starts } = cluster.invariants;
    const { cancelledJob, leader } = await cancelDuringRejection(cluster, 14_000);
    assert.equal(
      runningTasksOf(cluster, cancelledJob),
      0,
      'the rejected leader has learned of the cancellation from the other controller',
    );
    cluster.state.beginOutage(2 * CANCEL_MS);
    await cluster.run(2 * (CANCEL_MS / 1000) + 10);
    assert.equal(cluster.leader(), leader);
    assert.equal(cluster.invariants.placesByTask.size, 9);
    assert.equal(cluster.invariants.starts, starts, 'no task was restarted');
    assert.deepEqual(cluster.invariants.violations, []);
  });

for (const seed of [31, 32])
  test(`a cancelled job stops in time although the controller that confirmed it restarts and forgets it while the state service is down (${seed})`, async () => {
    const cluster = await clusterWithServices({ seed });
    const leader = cluster.leader()!;
    const confirming = otherNode(cluster, leader);
    cluster.network.partitions.push({
      a: (host) => host === `${confirming}:80`,
      b: (host) => cluster.isNode(host),
      until: cluster.clock.time + 2100,
      mode: 'reset',
    });
    cluster.state.rejectHost(`${leader}:80`, 14_000);
    await cluster.run(0.2);
    const cancelledJob = jobIds(cluster)[0];
    void cluster.users.cancel(cancelledJob, confirming);
    await cluster.run(1.75);
    assert.notEqual(
      cluster.invariants.jobs.get(cancelledJob)!.reportedCancelledAt,
      null,
      'confirmed before the outage',
    );
    cluster.state.beginOutage(CANCEL_MS + 8000);
    cluster.crash(confirming, 100);
    await cluster.run(CANCEL_MS / 1000 + 4);
    assert.equal(runningTasksOf(cluster, cancelledJob), 0);
    assert.deepEqual(cluster.invariants.violations, []);
  });

test('a start in transit when its job is cancelled is rejected because the token has advanced', async () => {
  const cluster = await clusterWithServices({ seed: 241, teamLimit: 1000 });
  // Makes all machines fetch the image, so that a command to start a task starts it at once.
  void cluster.users.run(
    cluster.users.newJob({ ...BATCH, tasks: 80, durationS: 1, image: 'img-0' }),
    null,
  );
  await cluster.run(20);
  for (const lateMs of [1600, 1900, 2200, 3500]) {
    cluster.faults.holdCommands(() => true, lateMs);
    const submission = cluster.users.newJob({
      ...BATCH,
      tasks: 4,
      durationS: 30,
      image: 'img-0',
      imageGb: 0,
    });
    void cluster.users.run(submission, 150);
    await cluster.run(8);
    const job = cluster.invariants.jobs.get(submission.id)!;
    assert.notEqual(job.reportedCancelledAt, null);
    assert.equal(job.firstStartAt, null, `${lateMs} ms late`);
  }
  assert.deepEqual(cluster.invariants.violations, []);
});

test('cancellations, polls and repeated submissions around the end of the last task leave each job done or cancelled', async () => {
  const cluster = await clusterWithServices({ seed: 261 }, 1);
  const outcomes = new Map<string, number>();
  for (let i = 0; i < 60; i++) {
    const submission = cluster.users.newJob({
      ...BATCH,
      tasks: cluster.random.int(1, 3),
      durationS: 1,
      imageGb: 0,
    });
    const { id } = submission;
    void cluster.users.run(submission, null);
    await cluster.run(0.2);
    const job = cluster.invariants.jobs.get(id)!;
    for (let step = 0; step < 400 && job.finishedTasks.size < job.spec.tasks; step++)
      await cluster.run(0.02);
    cluster.clock.after(cluster.random.between(0, 250), () => void cluster.users.cancel(id));
    for (let repetition = 0; repetition < 4; repetition++) {
      cluster.clock.after(cluster.random.between(0, 400), () => void cluster.users.poll(id));
      cluster.clock.after(cluster.random.between(0, 400), () => void cluster.users.resubmit(id));
    }
    await cluster.run(1);
    const outcome =
      job.reportedDoneAt !== null
        ? 'done'
        : job.reportedCancelledAt !== null
          ? 'cancelled'
          : 'unknown';
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }
  await cluster.run(10);
  assert.deepEqual(cluster.invariants.violations, []);
  assert.equal(outcomes.get('unknown'), undefined);
  assert.ok(
    outcomes.get('done')! > 3 && outcomes.get('cancelled')! > 3,
    JSON.stringify([...outcomes]),
  );
});
