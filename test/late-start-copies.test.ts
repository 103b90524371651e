/**
 * Copies of start commands that were carried out and answered, and that reach their machines once more later: they must
 * start nothing. Directed tests deliver copies all the time, so that one arrives right after the attempt was forgotten;
 * seeded runs deliver half of all requests with commands once more, at random times.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster } from './sim/cluster.js';
import type { ClusterConfig } from './sim/cluster-config.js';
import { leaderOrRandomNode } from './sim/faults.js';
import { BATCH, SERVICE } from './sim/jobs.js';
import { testScenarios } from './sim/run-scenario.js';
import { type StartRequest, StartCopies } from './sim/start-copies.js';
import type { JobSubmission } from './sim/wire/users.js';
import { COMMANDS_PATH } from './sim/wire/workers.js';

const LEASE_MS = 20_000;
const CANCEL_MS = 45_000;
/** Longer than any step of these tests should take. */
const MAX_WAIT_S = 60;
/** Shorter than the time between any two messages to a machine that matter here. */
const COPY_INTERVAL_S = 0.02;
const LONG_TASK = { ...BATCH, spot: true, imageGb: 0, durationS: 500, checkpointIntervalS: 0 };

interface Scene {
  cluster: Cluster;
  copies: StartCopies;
}

async function scene(config: Partial<ClusterConfig> = {}): Promise<Scene> {
  const cluster = new Cluster({
    seed: 1,
    ordinaryUp: 6,
    leaseMs: LEASE_MS,
    cancelMs: CANCEL_MS,
    teamLimit: 1000,
    ...config,
  });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  const copies = new StartCopies(cluster);
  await cluster.run(4);
  return { cluster, copies };
}

/** Submits a job whose tasks save nothing. Returns its id. */
function submit({ cluster }: Scene, job: Partial<JobSubmission>): string {
  const submission = { ...cluster.users.newJob({ team: 't0', ...job }), checkpointIntervalS: 0 };
  void cluster.users.run(submission, null);
  return submission.id;
}

async function runUntil({ cluster }: Scene, isReached: () => boolean, stepS = 0.1): Promise<void> {
  for (let waitedS = 0; !isReached(); waitedS += stepS) {
    assert.ok(waitedS < MAX_WAIT_S, 'the state is reached');
    await cluster.run(stepS);
  }
}

async function startedTask(current: Scene, job: Partial<JobSubmission>): Promise<StartRequest> {
  const task = `${submit(current, { tasks: 1, ...job })}/0`;
  await runUntil(current, () => current.cluster.invariants.placesByTask.has(task));
  return current.copies.lastOf(task);
}

/** Announces a preemption far in the future: the tasks are moved off the machine. */
function giveNotice({ cluster }: Scene, machine: string): void {
  cluster.cloud.machines.get(machine)!.worker!.preemptionDeadline = cluster.clock.time + 200_000;
}

function cancelJobOf({ cluster }: Scene, { task }: StartRequest): void {
  void cluster.users.cancel(task.slice(0, task.lastIndexOf('/')));
}

/** How an attempt ends; it is forgotten afterwards. */
interface Ending {
  name: string;
  job: Partial<JobSubmission>;
  /** Ends the attempt; without it, the attempt ends by itself. */
  end?: (current: Scene, start: StartRequest) => void;
}

const ENDINGS: Ending[] = [
  {
    name: 'moved and runs elsewhere',
    job: LONG_TASK,
    end: (current, { machine }) => {
      giveNotice(current, machine);
    },
  },
  { name: 'cancelled', job: LONG_TASK, end: cancelJobOf },
  { name: 'done', job: { ...LONG_TASK, tasks: 4, durationS: 4 } },
];

/** What happens at the moment at which the attempt is ended. */
interface Disruption {
  name: string;
  disrupt: (current: Scene, start: StartRequest) => void;
}

const DISRUPTIONS: Disruption[] = [
  { name: 'nothing fails', disrupt: () => undefined },
  {
    name: 'the leader ends and is back within a fraction of a second',
    disrupt: ({ cluster }) => {
      cluster.crash(cluster.leader()!, 150);
    },
  },
  {
    name: 'the leader is cut off from the state service and the other controllers, not from its workers',
    disrupt: ({ cluster }) => {
      cluster.faults.isolate(cluster.leader()!, 15_000, 'hold');
    },
  },
  {
    name: 'the machine hangs, and the copies wait in its queue',
    disrupt: ({ cluster }, { machine }) => {
      cluster.faults.hangMachine(machine, 1500);
    },
  },
  {
    name: "the machine hangs beyond its lease, and can't be deleted meanwhile",
    disrupt: ({ cluster }, { machine }) => {
      cluster.cloud.downUntil = cluster.clock.time + LEASE_MS + 10_000;
      cluster.faults.hangMachine(machine, LEASE_MS + 3000);
    },
  },
];

/** Delivers a copy of the request every `COPY_INTERVAL_S`, and checks that none starts anything. */
async function deliverCopies(
  { cluster, copies }: Scene,
  start: StartRequest,
  seconds: number,
): Promise<void> {
  for (let passedS = 0; passedS < seconds; passedS += COPY_INTERVAL_S) {
    void copies.deliver(start);
    await cluster.run(COPY_INTERVAL_S);
  }
  assert.deepEqual(cluster.invariants.violations, []);
  assert.deepEqual(cluster.invariants.startsAfterFinish, []);
}

for (const { name, job, end } of ENDINGS)
  for (const { name: disruption, disrupt } of DISRUPTIONS)
    test(`late copies of a start whose task is ${name} start nothing; ${disruption}`, async () => {
      const current = await scene();
      // While there is work, idle machines are kept.
      submit(current, { ...SERVICE, imageGb: 0 });
      const start = await startedTask(current, job);
      disrupt(current, start);
      end?.(current, start);
      await deliverCopies(current, start, CANCEL_MS / 1000 + 10);
      assert.ok(current.cluster.cloud.machines.has(start.machine), 'the machine is still there');
      assert.ok(!current.copies.isReported(start), 'the attempt was forgotten');
    });

test('late copies of a start that the machine refused start nothing once the machine has room', async () => {
  const current = await scene();
  const { cluster, copies } = current;
  const workers = [...cluster.cloud.machines.values()].map(({ worker }) => worker!);
  for (const { config } of workers) config.cpus = 1;
  const task = `${submit(current, { ...LONG_TASK, tasks: 1 })}/0`;
  await runUntil(current, () => copies.starts.length > 0);
  const refused = copies.lastOf(task);
  await cluster.run(0.05);
  for (const { config } of workers) config.cpus = 16;
  await deliverCopies(current, refused, 30);
  assert.notEqual(copies.lastOf(task), refused, 'it was started again under another attempt');
  assert.equal(cluster.invariants.placesByTask.get(task)?.length, 1);
});

// Guards against a task that runs on two machines at once. PROTOCOL says when a session and the highest token change,
// and a restart of the machine is not among these events.
for (const seed of [1, 2, 3])
  test(`late copies of a start start nothing after the machine has restarted, without its tasks, and the task runs elsewhere (${seed})`, async () => {
    const current = await scene({ seed });
    const { cluster, copies } = current;
    const start = await startedTask(current, LONG_TASK);
    cluster.cloud.machines.get(start.machine)!.worker!.restart();
    giveNotice(current, start.machine);
    await runUntil(current, () => copies.lastOf(start.task) !== start);
    await deliverCopies(current, start, 30);
    assert.equal(cluster.invariants.placesByTask.get(start.task)?.length, 1);
  });

// Guards against the same if the task was stopped, and its machine restarts before it was told to forget the attempt.
test('late copies of a start start nothing if the machine restarts, without its tasks, between the end of a moved attempt and its forget', async () => {
  const current = await scene();
  const { cluster, copies } = current;
  const start = await startedTask(current, LONG_TASK);
  giveNotice(current, start.machine);
  await runUntil(current, () => copies.lastOf(start.task) !== start, COPY_INTERVAL_S);
  assert.ok(copies.isReported(start), 'the attempt is not forgotten yet');
  cluster.cloud.machines.get(start.machine)!.worker!.restart();
  await deliverCopies(current, start, 30);
});

// Forgets are usually sent in responses to heartbeats. Here one is due when a stop of another task is sent.
test('late copies of a start start nothing if the attempt was forgotten in a request with other commands', async () => {
  const current = await scene({ reportMs: 10_000, ordinaryUp: 1, capacity: 0 });
  const { cluster, copies } = current;
  const [first, second] = [
    await startedTask(current, LONG_TASK),
    await startedTask(current, LONG_TASK),
  ];
  cancelJobOf(current, first);
  await runUntil(current, () => !cluster.invariants.placesByTask.has(first.task));
  cancelJobOf(current, second);
  const before = copies.forgetsInRequests;
  await runUntil(current, () => !copies.isReported(first));
  assert.ok(copies.forgetsInRequests > before, 'the forget was sent in a request');
  await deliverCopies(current, first, 15);
});

for (const minimizeCost of [true, false])
  testScenarios(
    `half of all requests with commands is delivered once more, up to three leases later; leaders and machines fail and jobs are cancelled (${minimizeCost ? 'cost is minimized' : 'machines are kept ready'})`,
    minimizeCost ? [11, 12, 13] : [14, 15, 16],
    (cluster, second) => {
      const { random, cloud, clock } = cluster;
      cluster.network.duplicates = {
        path: COMMANDS_PATH,
        chance: 0.5,
        upToMs: random.pick([5000, 3 * LEASE_MS]),
        to: (recipient) => recipient,
      };
      if (second % 13 === 6) cluster.crash(leaderOrRandomNode(cluster), random.pick([150, 3000]));
      if (second % 9 === 4) cluster.faults.cancelRunning(2, random.pick([0, 2000]));
      const machine = random.pick([...cloud.machines.values()]);
      if (second % 5 !== 2 || !machine?.worker || machine.worker.preemptionDeadline) return;
      const noticeMs = random.between(10_000, 30_000);
      machine.worker.preemptionDeadline = clock.time + noticeMs;
      clock.after(noticeMs, () => {
        cloud.preempt(machine);
      });
    },
    { leaseMs: LEASE_MS, cancelMs: CANCEL_MS, minimizeCost },
  );
