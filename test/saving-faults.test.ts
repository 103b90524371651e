/**
 * Seeded clusters whose tasks save for up to twice the time that a cancellation may take, when they are moved off slow
 * machines or off machines with a preemption notice; many of their jobs are cancelled meanwhile.
 */
import assert from 'node:assert/strict';
import { type Cluster } from './sim/cluster.js';
import { CANCEL_MS } from './sim/cluster-config.js';
import { leaderOrRandomNode } from './sim/faults.js';
import { BATCH, GANG } from './sim/jobs.js';
import { testScenarios } from './sim/run-scenario.js';

/** Jobs whose tasks were saving when their users asked to cancel them, by cluster. */
const cancelledWhileSaving = new WeakMap<Cluster, Set<string>>();

/** Long jobs that come later may not be done when the run ends: one move and a slow machine take up to 160 s. */
const LAST_LONG_JOB_S = 20;

function submit(cluster: Cluster, second: number): void {
  const { users, random } = cluster;
  const long = {
    // Nothing is known of how long the tasks of a new class run, so they don't stay on a machine to finish there.
    jobClass: `class-${second}`,
    durationS: 30,
    checkpointIntervalS: random.between(3, 20),
    saveS: random.between(1, (2 * CANCEL_MS) / 1000),
  };
  // Tasks of equal length show which machines are slow.
  if (second % 3 === 0) void users.run(users.newJob({ ...BATCH, tasks: 10, durationS: 5 }), null);
  if (second > LAST_LONG_JOB_S) return;
  if (second % 4 === 1)
    void users.run(users.newJob({ ...BATCH, ...long, tasks: random.int(2, 6) }), null);
  if (second % 4 === 3)
    void users.run(users.newJob({ ...GANG, ...long, tasks: random.int(2, 4) }), null);
}

/** Gives machines a preemption notice, and makes some of them slow. */
function disturbMachines(cluster: Cluster, second: number): void {
  const { random, cloud, clock } = cluster;
  const up = [...cloud.machines.values()].filter((machine) => machine.worker !== null);
  if (up.length === 0) return;
  const machine = random.pick(up);
  const worker = machine.worker!;
  if (second % 20 === 4) worker.config.slow = 3;
  if (second % 4 !== 2 || worker.preemptionDeadline !== null) return;
  const noticeMs = random.between(CANCEL_MS, 4 * CANCEL_MS);
  worker.preemptionDeadline = clock.time + noticeMs;
  clock.after(noticeMs, () => {
    cloud.preempt(machine);
  });
}

/** Jobs of which a task saves now, and whose users have not asked to cancel them. */
function savingJobs({ invariants, cloud }: Cluster): string[] {
  const found = new Set<string>();
  for (const [task, places] of invariants.placesByTask) {
    const id = task.slice(0, task.lastIndexOf('/'));
    const isSaving = places.some(({ machine }) =>
      cloud.machines.get(machine)?.worker?.tasks.isSaving(task),
    );
    if (isSaving && !invariants.jobs.get(id)!.cancelRequested) found.add(id);
  }
  return [...found];
}

/** Users cancel some of the jobs whose tasks save. */
function cancelSaving(cluster: Cluster): void {
  const cancelled = cancelledWhileSaving.get(cluster) ?? new Set();
  cancelledWhileSaving.set(cluster, cancelled);
  for (const id of savingJobs(cluster)) {
    if (!cluster.random.chance(0.2)) continue;
    cancelled.add(id);
    void cluster.users.cancel(id);
  }
}

// Before stops became stricter, cancelled tasks stayed too long with seeds 101, 126, 142 and 150, and a new leader
// interrupted saves with 102 and 147.
testScenarios(
  'tasks save for long when they are moved, their jobs are cancelled meanwhile, leaders crash and the state service is down: jobs are served and no invariant is violated',
  [101, 102, 126, 142, 147, 150],
  (cluster, second) => {
    submit(cluster, second);
    disturbMachines(cluster, second);
    cancelSaving(cluster);
    if (second % 14 === 9)
      cluster.crash(leaderOrRandomNode(cluster), cluster.random.pick([150, 3000]));
    if (second % 17 === 11) cluster.state.beginOutage(cluster.random.between(1000, 8000));
  },
  { capacity: 8, ordinaryUp: 12, teamLimit: 200 },
  ({ cluster }) => {
    const cancelled = cancelledWhileSaving.get(cluster)?.size ?? 0;
    assert.ok(cancelled > 0, `${cancelled} jobs were cancelled while their tasks saved`);
    assert.deepEqual(cluster.invariants.interruptedSaves, []);
  },
);
