/** Gangs: all tasks run at the same time or none does, also under faults. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import { LEASE_MS } from './sim/cluster-config.js';
import { clusterWithoutLoss, machinesOfJob, submit, runUntil } from './sim/gang-scenarios.js';
import { GANG } from './sim/jobs.js';
import { type ScenarioOutcome, testScenarios } from './sim/run-scenario.js';
import { duplicateHeartbeats, leaderOrRandomNode, pickMachines } from './sim/faults.js';

test('gangs of all sizes run as a whole, and are done once one of their tasks is', async () => {
  const cluster = await clusterWithoutLoss({ seed: 1 });
  const jobs = [1, 2, 3, 8, 16].map((tasks) => submit(cluster, { ...GANG, tasks, imageGb: 1 }));
  await cluster.run(40);
  for (const job of jobs) assert.notEqual(job.reportedDoneAt, null, `${job.spec.tasks} tasks`);
  assert.equal(cluster.gangs.begun, jobs.length);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a task lost while its gang is starting is replaced within the same attempt', async () => {
  const cluster = await clusterWithoutLoss({ seed: 2 });
  // No machine has the image yet, so the gang takes a while to start. It runs in two zones, on machines of its own.
  const job = submit(cluster, { ...GANG, oneZone: false, tasks: 10, cpus: 8, image: 'img-9' });
  await runUntil(
    cluster,
    () => machinesOfJob(cluster, job).length > 1 && cluster.gangs.begun === 0,
    10,
  );
  cluster.cloud.preempt(cluster.cloud.machines.get(machinesOfJob(cluster, job)[0])!);
  await cluster.run(40);
  assert.ok(cluster.gangs.replaced > 0);
  assert.equal(cluster.gangs.begun, 1);
  assert.equal(cluster.gangs.attempts(), 1, 'the first attempt started');
  assert.notEqual(job.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a gang that loses a task while it runs restarts as a whole from the saved progress', async () => {
  const cluster = await clusterWithoutLoss({ seed: 3 });
  const job = submit(cluster, { ...GANG, tasks: 6, cpus: 8 });
  await runUntil(cluster, () => cluster.gangs.begun === 1, 15);
  await cluster.run(4.5);
  cluster.cloud.preempt(cluster.cloud.machines.get(machinesOfJob(cluster, job)[0])!);
  await cluster.run(40);
  assert.equal(cluster.gangs.begun, 2);
  assert.deepEqual(
    [cluster.gangs.attempts(), cluster.gangs.incomplete],
    [2, 0],
    'no task was added to the attempt that was stopping',
  );
  assert.ok(job.progressMs >= 4000, `${job.progressMs}`);
  assert.notEqual(job.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a gang is done once one task is, even if a machine is preempted before it can report its own tasks', async () => {
  const cluster = await clusterWithoutLoss({ seed: 7 });
  const job = submit(cluster, { ...GANG, tasks: 6, cpus: 8 });
  await runUntil(cluster, () => cluster.gangs.begun === 1, 15);
  const [isolatedMachine] = machinesOfJob(cluster, job);
  await cluster.run(5);
  cluster.network.partitions.push({
    a: (host) => host === `w-${isolatedMachine}:9000`,
    b: () => true,
    until: Infinity,
    mode: 'hold',
  });
  await runUntil(cluster, () => job.finishedTasks.size === 6, 5);
  cluster.cloud.preempt(cluster.cloud.machines.get(isolatedMachine)!);
  await cluster.run(30);
  assert.equal(cluster.gangs.begun, 1);
  assert.notEqual(job.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a preemption notice stops all tasks of a running gang with a checkpoint, and no progress is lost', async () => {
  const cluster = await clusterWithoutLoss({ seed: 4 });
  const job = submit(cluster, { ...GANG, tasks: 6, cpus: 8, durationS: 20, checkpointEveryS: 19 });
  await runUntil(cluster, () => cluster.gangs.begun === 1, 15);
  await cluster.run(5);
  cluster.cloud.machines.get(machinesOfJob(cluster, job)[0])!.worker!.preemptionDeadline =
    cluster.clock.time + 8000;
  await cluster.run(4);
  assert.ok(
    job.progressMs > 4000,
    `${job.progressMs} ms are saved, between two regular checkpoints`,
  );
  await cluster.run(40);
  assert.equal(cluster.gangs.begun, 2);
  assert.notEqual(job.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a preemption notice while a gang is starting replaces only the tasks on that machine; the others keep waiting', async () => {
  const cluster = await clusterWithoutLoss({ seed: 14 });
  const job = submit(cluster, { ...GANG, oneZone: false, tasks: 10, cpus: 8, image: 'img-9' });
  await runUntil(
    cluster,
    () => machinesOfJob(cluster, job).length > 1 && cluster.gangs.begun === 0,
    10,
  );
  const leaving = cluster.cloud.machines.get(machinesOfJob(cluster, job)[0])!;
  leaving.worker!.preemptionDeadline = cluster.clock.time + 6000;
  cluster.clock.after(6000, () => {
    cluster.cloud.preempt(leaving);
  });
  await cluster.run(40);
  assert.ok(cluster.gangs.replaced > 0);
  assert.deepEqual(
    [cluster.gangs.attempts(), cluster.gangs.begun, cluster.gangs.incomplete],
    [1, 1, 0],
  );
  assert.notEqual(job.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

test('a gang whose image takes longer to fetch than its tasks wait for each other still starts', async () => {
  const cluster = await clusterWithoutLoss({ seed: 15 });
  // Each machine fetches the image for 6 to 48 s, and a task waits for 6 s; the progress of an aborted fetch is lost.
  const job = submit(cluster, {
    ...GANG,
    oneZone: false,
    tasks: 10,
    cpus: 8,
    image: 'img-9',
    imageGb: 12,
  });
  await cluster.run(90);
  assert.ok(cluster.gangs.incomplete > 0, 'the first attempt did not start completely');
  assert.equal(cluster.gangs.begun, 1);
  assert.notEqual(job.reportedDoneAt, null);
  assert.deepEqual(cluster.invariants.violations, []);
});

/**
 * Declares a test for each seed: gangs are submitted beside all other jobs, under faults, and all gangs that are not
 * cancelled must be done.
 */
function testGangScenarios(
  name: string,
  seeds: number[],
  faults: (cluster: Cluster, second: number) => void,
): void {
  const eachSecond = (cluster: Cluster, second: number): void => {
    const overrides = {
      tasks: cluster.random.int(2, 6),
      oneZone: cluster.random.chance(0.7),
      spot: cluster.random.chance(0.4),
    };
    const cancelAfterMs = (): number | null =>
      cluster.random.chance(0.2) ? cluster.random.between(0, 12_000) : null;
    if (second % 3 === 0)
      void cluster.users.run(cluster.users.newJob({ ...GANG, ...overrides }), cancelAfterMs());
    faults(cluster, second);
  };
  testScenarios(
    `${name}: all gangs are done and no invariant is violated`,
    seeds,
    eachSecond,
    {},
    assertAllGangsDone,
  );
}

function assertAllGangsDone({ cluster }: ScenarioOutcome): void {
  assert.ok(cluster.gangs.begun > 10, `${cluster.gangs.begun} gangs started`);
  for (const [id, job] of cluster.invariants.jobs)
    if (job.spec.kind === 'gang' && job.reportedAccepted && !job.cancelRequested)
      assert.notEqual(job.reportedDoneAt, null, id);
}

testGangScenarios('leaders crash and change', [11, 12, 13], (cluster, second) => {
  if (second % 9 === 4)
    cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 3000]));
  if (second === 40)
    for (const name of cluster.nodeNames) cluster.crash(name, cluster.random.between(100, 4000));
});

testGangScenarios(
  'machines hang or are preempted with and without notice',
  [21, 22, 23],
  (cluster, second) => {
    const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
    if (!machine?.worker) return;
    if (second % 6 === 2)
      cluster.faults.hangMachine(machine.id, cluster.random.between(1000, 11_000));
    if (second % 8 === 5) cluster.cloud.preempt(machine);
    if (second % 10 === 7 && machine.spot) {
      machine.worker.preemptionDeadline = cluster.clock.time + 6000;
      cluster.clock.after(6000, () => {
        cluster.cloud.preempt(machine);
      });
    }
    if (second === 20) cluster.nextMachineSlowness = 4;
  },
);

testGangScenarios(
  'machines or the leader are isolated, and the state service rejects the leader or is down',
  [31, 32, 33],
  (cluster, second) => {
    const until = cluster.clock.time + cluster.random.between(2000, 14_000);
    const machine = cluster.random.pick([...cluster.cloud.machines.values()]);
    const mode = cluster.random.pick(['hold', 'reset'] as const);
    if (second % 10 === 4)
      cluster.network.partitions.push({
        a: (host) => host === `w-${machine.id}:9000`,
        b: () => true,
        until,
        mode,
      });
    if (second === 15) cluster.state.rejectHost(`${cluster.leader() ?? 'n0'}:80`, 9000);
    if (second === 30) cluster.state.beginOutage(LEASE_MS + 4000);
    if (second === 45) cluster.faults.isolate(cluster.leader() ?? 'n1', 12_000, mode);
    if (second % 12 === 8) cluster.faults.cancelRunning(2, 3000);
  },
);

testGangScenarios(
  'late duplicates of heartbeats arrive, commands are held and transactions are executed late',
  [41, 42],
  (cluster, second) => {
    duplicateHeartbeats(cluster, 0.15);
    cluster.state.lateWrites = { share: 0.1, until: cluster.clock.time + 1000 };
    if (second % 9 === 2) {
      cluster.faults.holdCommands(pickMachines(cluster, 0.3), cluster.random.between(1000, 5000));
    }
    if (second % 20 === 12) cluster.crash(cluster.leader() ?? 'n2', 150);
  },
);
