/** Limits of the state service that are lowered while records written under higher limits exist. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CompletionWriter } from '../src/jobs/completion-writer.js';
import { JobTable } from '../src/jobs/job-table.js';
import { terminalKey, finishedKey, liveKey, readLive } from '../src/jobs/records.js';
import type { PlatformSettings } from '../src/settings/platform.js';
import { StateStore } from '../src/state-store/client.js';
import { OLDEST_VERSION } from './sim/older-versions.js';
import { Cluster } from './sim/cluster.js';
import { BATCH, SERVICE, GANG } from './sim/jobs.js';
import { assertInvariantsHeld, runScenario } from './sim/run-scenario.js';
import { clientRuntime } from './sim/client-runtime.js';
import { observedJob } from './sim/observed-job.js';

const STRICT = {
  maxValueKb: 1,
  maxTransactionOps: 4,
  stateWritesPerS: 25,
} satisfies Partial<PlatformSettings>;

test('machine pages larger than a lowered limit are split, and every machine is stored at any time', async () => {
  const cluster = new Cluster({ seed: 3, ordinaryUp: 45, capacity: 60, teamLimit: 2000 });
  cluster.network.lossRate = 0;
  await cluster.run(4);
  for (let i = 0; i < 25; i++)
    void cluster.users.run(cluster.users.newJob({ ...SERVICE, cpus: 8 }), null);
  await cluster.run(12);
  const pagesNow = (): { id: string }[][] =>
    [...cluster.state.items]
      .filter(([key]) => key.startsWith('m/'))
      .map(([, item]) => (item.value as { machines: { id: string }[] }).machines);
  const known = new Set(
    pagesNow()
      .flat()
      .map((m) => m.id),
  );
  assert.ok(
    known.size >= 45 && pagesNow().some((p) => JSON.stringify(p).length > 2000),
    'a page is larger than the new limit',
  );
  cluster.state.bounds = { valueBytes: 1024, txnOps: 4 };
  for (const name of cluster.nodeNames) {
    cluster.overrides.set(name, STRICT);
    cluster.crash(name, 200);
  }
  await cluster.run(5);
  // One machine of each page is preempted, so that the page is rewritten.
  const preemptedIds = new Set(pagesNow().map((p) => p[0].id));
  for (const id of preemptedIds) cluster.cloud.preempt(cluster.cloud.machines.get(id)!);
  for (let step = 0; step < 4000; step++) {
    await cluster.run(0.004);
    const now = new Set(
      pagesNow()
        .flat()
        .map((m) => m.id),
    );
    for (const id of known)
      assert.ok(now.has(id) || !cluster.cloud.machines.has(id), `${id} is stored`);
  }
  await cluster.run(20);
  assert.ok([...known].filter((id) => cluster.cloud.machines.has(id)).length > 30);
  for (const page of pagesNow()) assert.ok(JSON.stringify({ machines: page }).length <= 1024);
  assert.equal(cluster.state.tooLarge, 0);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a job whose stored record exceeds a lowered value limit can be cancelled, and its record stays readable', async () => {
  const cluster = new Cluster({ seed: 6 });
  await cluster.run(4);
  const spec = readLive(
    Object.entries(OLDEST_VERSION.items).find(([key]) => key.startsWith('j/'))![1],
  )!.spec;
  const id = 'run-000901';
  const types = Array.from({ length: 40 }, (_, i) => `${'kind-'.repeat(8)}${i}`);
  cluster.state.putDirectly(liveKey(id), {
    spec: { ...spec, id, types },
    at: 1e12,
    cancelled: false,
    later: 'x'.repeat(500),
  });
  cluster.invariants.jobs.set(id, {
    ...observedJob(cluster.users.newJob({ ...BATCH, id, team: spec.team }), 0),
    reportedAccepted: true,
  });
  cluster.state.bounds = { valueBytes: 1024, txnOps: 4 };
  void cluster.users.cancel(id);
  await cluster.run(3);
  assert.notEqual(cluster.invariants.jobs.get(id)!.reportedCancelledAt, null);
  const written = cluster.state.history(liveKey(id)).map((value) => readLive(value));
  assert.ok(written.some((record) => record?.cancelled && record.spec.id === id));
  await cluster.run(15);
  assert.deepEqual(cluster.state.value(terminalKey(id)), { state: 'cancelled', tasks: spec.tasks });
  assert.deepEqual(cluster.invariants.violations, []);
});

/** Creates a completion writer outside a controller. It always acts as the leader's. */
function completionWriterOf(cluster: Cluster, jobs: JobTable): CompletionWriter {
  const runtime = clientRuntime(cluster);
  const store = new StateStore(runtime, { address: 'state:1', nodes: 1, rps: 100, writeRps: 50 });
  return new CompletionWriter({
    runtime,
    store,
    jobs,
    maxMutations: 4,
    writesPerS: 50,
    maxValueBytes: 2048,
    isLeader: () => true,
    leaderPrecondition: () => ({ key: 'boss', version: cluster.state.items.get('boss')!.version }),
    segmentPrecondition: () => null,
    hasNoAttempts: () => true,
    jobBecameTerminal: (endedJob) => {
      jobs.remove(endedJob);
    },
  });
}

test('the removal of a terminal job with many finished-task records fits into small transactions', async () => {
  const cluster = new Cluster({ seed: 4, ordinaryUp: 0 });
  for (const name of cluster.nodeNames) cluster.crash(name, 1e9);
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  cluster.state.putDirectly('boss', {});
  cluster.state.bounds = { valueBytes: 2048, txnOps: 4 };
  const spec = readLive(
    Object.entries(OLDEST_VERSION.items).find(([key]) => key.startsWith('j/'))![1],
  )!.spec;
  const jobs = new JobTable();
  cluster.state.putDirectly(liveKey('run-1'), {});
  const version = cluster.state.items.get(liveKey('run-1'))!.version;
  const job = jobs.add(
    { ...spec, id: 'run-1', kind: 'array', tasks: 100_000 },
    version,
    0,
    true,
    0,
  );
  const completionWriter = completionWriterOf(cluster, jobs);
  for (let taskNumber = 0; taskNumber < 100_000; taskNumber++) job.finish(taskNumber, 0);
  for (let chunk = 0; chunk < 13; chunk++) {
    cluster.state.putDirectly(finishedKey('run-1', chunk), 'x');
    completionWriter.noteWritten(job, chunk);
  }
  for (let step = 0; step < 60; step++) {
    completionWriter.tick();
    await cluster.run(0.2);
  }
  assert.deepEqual(cluster.state.value(terminalKey('run-1')), { state: 'done', tasks: 100_000 });
  assert.deepEqual(
    [...cluster.state.items.keys()].filter((k) => k.startsWith('d/') || k.startsWith('j/')),
    [],
  );
  assert.equal(cluster.state.tooLarge, 0);
});

test('if limits of the state service fall below the configured ones, a bounded number of writes is rejected, and then none', async () => {
  const outcome = await runScenario(
    { seed: 5, ordinaryUp: 30, capacity: 12 },
    (cluster, second) => {
      if (second === 20) cluster.state.bounds = { valueBytes: 700, txnOps: 3 };
      if (second === 25 || second === 40) cluster.crash(cluster.leader() ?? 'n1', 150);
      const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
      if (second > 20 && second % 4 === 0 && machine?.worker) cluster.cloud.preempt(machine);
    },
  );
  assertInvariantsHeld(outcome);
  assert.ok(
    outcome.cluster.state.tooLarge < 60,
    `${outcome.cluster.state.tooLarge} writes rejected`,
  );
  const before = outcome.cluster.state.tooLarge;
  await outcome.cluster.run(20);
  assert.equal(outcome.cluster.state.tooLarge, before);
});

/** Restarts one controller after the other with stricter limits. */
function restartWithStricterLimits(cluster: Cluster, second: number): void {
  const node = cluster.nodeNames[Math.floor(second / 5)];
  if (second % 5 !== 2 || !node) return;
  cluster.overrides.set(node, STRICT);
  cluster.crash(node, 800);
}

function partitionMachinesOf(cluster: Cluster, zone: string, forMs: number): void {
  const isInside = cluster.faults.isMachineHostIn(zone);
  cluster.network.partitions.push({
    a: isInside,
    b: (host) => !isInside(host),
    until: cluster.clock.time + forMs,
    mode: 'hold',
  });
}

function cancelAndLowerBounds(cluster: Cluster, second: number): void {
  if (second % 13 === 6) cluster.faults.cancelRunning(2, 2000);
  if (second === 30) cluster.state.bounds = { valueBytes: 1024, txnOps: 4 };
}

function submitGangs(cluster: Cluster, second: number): void {
  if (second % 4 !== 0) return;
  const gang = cluster.users.newJob({ ...GANG, tasks: cluster.random.int(2, 6) });
  void cluster.users.run(gang, null);
}

for (const seed of [21, 25, 26])
  test(`limits that are lowered one controller after the other are respected, even if one with the old limits leads, with a zone partition and late writes (${seed})`, async () => {
    let ledWithOldLimits = false;
    const outcome = await runScenario(
      { seed, nodes: 5, ordinaryUp: 20, capacity: 12 },
      (cluster, second) => {
        // The lease of the previous leader may last until now. At second 22 the controller with the old limits
        // restarts with the stricter ones.
        if (second === 21 || second === 22)
          ledWithOldLimits ||= cluster.leader() === cluster.nodeNames[4];
        restartWithStricterLimits(cluster, second);
        if (second === 3)
          cluster.state.lateWrites = { share: 0.1, until: cluster.clock.time + 20_000 };
        if (second === 8) partitionMachinesOf(cluster, 'b', 9000);
        // All controllers but the last one are down briefly. The last one still has the old limits: it leads and writes
        // under them.
        if (second === 18)
          for (const name of cluster.nodeNames.slice(0, 4)) cluster.crash(name, 4000);
        cancelAndLowerBounds(cluster, second);
        if (second > 3) submitGangs(cluster, second);
        if (second === 44) cluster.crash(cluster.leader() ?? 'n1', 150);
      },
    );
    assertInvariantsHeld(outcome);
    assert.equal(
      outcome.cluster.state.tooLarge,
      0,
      'no controller writes a value that is too large',
    );
    assert.ok(ledWithOldLimits, 'the controller with the old limits led');
  });

for (const seed of [11, 12, 13])
  test(`limits that are lowered one controller after the other under load are respected, with cancellations and a restart with the old limits (${seed})`, async () => {
    const outcome = await runScenario(
      { seed, nodes: 5, ordinaryUp: 20, capacity: 12 },
      (cluster, second) => {
        restartWithStricterLimits(cluster, second);
        // A controller that still has the old limits crashes, and restarts with them.
        if (second === 9) cluster.crash(cluster.nodeNames[4], 150);
        if (second === 14) cluster.state.beginOutage(6000);
        cancelAndLowerBounds(cluster, second);
        if (second > 26) submitGangs(cluster, second);
        if (second === 40) cluster.crash(cluster.leader() ?? 'n1', 150);
        if (second === 50)
          for (const name of cluster.nodeNames)
            cluster.crash(name, cluster.random.between(100, 3000));
      },
    );
    assertInvariantsHeld(outcome);
    assert.equal(
      outcome.cluster.state.tooLarge,
      0,
      'no controller writes a value that is too large',
    );
  });
