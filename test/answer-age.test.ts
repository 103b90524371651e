/**
 * Answers about live jobs: no controller may answer from news that is older than PROTOCOL allows, and users get answers
 * although the controller that they ask can't reach the leader.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { staleAnswers, surveyAnswers } from './sim/answer-survey.js';
import { Cluster } from './sim/cluster.js';
import { ensureLeaderInZoneA, leaderOrRandomNode } from './sim/faults.js';
import { BATCH, SERVICE } from './sim/jobs.js';
import { testScenarios } from './sim/run-scenario.js';
import type { JobSubmission } from './sim/wire/users.js';

const LEASE_MS = 20_000;
const CANCEL_MS = 45_000;
const CUT_S = 15;
/** Share of the polls at a controller that is cut off from the leader which have to be answered rightly. */
const MIN_RIGHT_IN_CUT = 0.9;

async function quietCluster(seed: number): Promise<Cluster> {
  const cluster = new Cluster({
    seed,
    ordinaryUp: 8,
    leaseMs: LEASE_MS,
    cancelMs: CANCEL_MS,
    teamLimit: 1000,
  });
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  await cluster.run(6);
  await ensureLeaderInZoneA(cluster);
  // While there is work, idle machines are kept.
  void cluster.users.run(cluster.users.newJob({ ...SERVICE, tasks: 2 }), null);
  await cluster.run(8);
  return cluster;
}

function submit(cluster: Cluster, job: Partial<JobSubmission>): string {
  const submission = cluster.users.newJob({
    ...SERVICE,
    tasks: 1,
    spread: false,
    imageGb: 0.2,
    ...job,
  });
  void cluster.users.run(submission, null);
  return submission.id;
}

async function runUntilPlaced(cluster: Cluster, job: string): Promise<void> {
  for (let i = 0; i < 100 && !cluster.invariants.placesByTask.has(`${job}/0`); i++)
    await cluster.run(0.1);
  assert.ok(cluster.invariants.placesByTask.has(`${job}/0`), 'the task runs');
}

/** Hosts that can't reach each other. */
interface Cut {
  name: string;
  mode: 'hold' | 'reset';
  /** Whether the machines of the zones are cut off from each other's controllers, too. */
  withMachines: boolean;
}

const CUTS: Cut[] = [
  { name: 'two zones; messages are held', mode: 'hold', withMachines: true },
  { name: 'two zones; connections are reset', mode: 'reset', withMachines: true },
  { name: 'the controllers of two zones; messages are held', mode: 'hold', withMachines: false },
  {
    name: 'the controllers of two zones; connections are reset',
    mode: 'reset',
    withMachines: false,
  },
];

function cutZones(cluster: Cluster, { mode, withMachines }: Cut, seconds: number): void {
  const { faults, network, clock } = cluster;
  const isIn = (zone: string) => (host: string) =>
    faults.isHostIn(zone)(host) && (withMachines || cluster.isNode(host));
  const until = clock.time + seconds * 1000;
  network.partitions.push({ a: isIn('a'), b: isIn('b'), until, mode });
}

// Guards against `pending` for a task that has run for 10 s: what the leader told last was used without limit of age.
for (const cut of CUTS)
  test(`a controller that is cut off from the leader tells the present state of a job: ${cut.name}`, async () => {
    const cluster = await quietCluster(1);
    cutZones(cluster, cut, CUT_S);
    const job = submit(cluster, { zone: 'a' });
    const survey = await surveyAnswers(cluster, job, ['n1'], CUT_S + 6);
    assert.ok(cluster.invariants.placesByTask.has(`${job}/0`), 'the task runs');
    assert.deepEqual(staleAnswers(cluster), []);
    const share = survey.right / survey.polls;
    assert.ok(share >= MIN_RIGHT_IN_CUT, `${survey.right} of ${survey.polls} answered rightly`);
  });

// Guards against 503 for all that runs in the cut zone: the leader can't hear the machines there, but others can.
test('users get the present state of a job that runs on the other side of the cut, at all controllers', async () => {
  const cluster = await quietCluster(4);
  const job = submit(cluster, { zone: 'b' });
  await runUntilPlaced(cluster, job);
  await cluster.run(3);
  cutZones(cluster, CUTS[0], CUT_S);
  const survey = await surveyAnswers(cluster, job, cluster.nodeNames, CUT_S);
  assert.deepEqual(staleAnswers(cluster), []);
  const share = survey.right / survey.polls;
  assert.ok(share >= MIN_RIGHT_IN_CUT, `${survey.right} of ${survey.polls} answered rightly`);
});

// Guards against answers of the leader from what it heard of a machine before it was cut off.
test('the leader does not call a job pending whose task has begun to run on a machine that it does not hear', async () => {
  const cluster = await quietCluster(5);
  const job = submit(cluster, { zone: 'b', imageGb: 3 });
  await cluster.run(1);
  assert.ok(!cluster.invariants.placesByTask.has(`${job}/0`), 'the task fetches its image');
  cutZones(cluster, CUTS[0], 30);
  await runUntilPlaced(cluster, job);
  await surveyAnswers(cluster, job, cluster.nodeNames, 10);
  assert.deepEqual(staleAnswers(cluster), []);
});

test('the state of a job whose machine hangs is not known, until the machine is heard again', async () => {
  const cluster = await quietCluster(6);
  const job = submit(cluster, {});
  await runUntilPlaced(cluster, job);
  await cluster.run(3);
  const [place] = cluster.invariants.placesByTask.get(`${job}/0`)!;
  // The machine can't be deleted.
  cluster.cloud.downUntil = cluster.clock.time + 10_000;
  cluster.faults.hangMachine(place.machine, 6000);
  const hanging = await surveyAnswers(cluster, job, cluster.nodeNames, 6);
  const afterwards = await surveyAnswers(cluster, job, cluster.nodeNames, 4);
  assert.ok(hanging.right < hanging.polls, `${hanging.right} of ${hanging.polls} answered`);
  assert.equal(afterwards.right, afterwards.polls);
  assert.deepEqual(staleAnswers(cluster), []);
});

// Guards against the same for a job that is over on the other side of the cut.
test('a controller that is cut off from the leader does not call a task running that has ended', async () => {
  const cluster = await quietCluster(2);
  const job = submit(cluster, {
    ...BATCH,
    tasks: 2,
    cpus: 16,
    zone: 'a',
    durationS: 4,
    checkpointIntervalS: 0,
  });
  await runUntilPlaced(cluster, job);
  cutZones(cluster, CUTS[0], CUT_S);
  await surveyAnswers(cluster, job, ['n1'], CUT_S + 6);
  assert.deepEqual(staleAnswers(cluster), []);
});

const TAKEOVERS: { name: string; disrupt: (cluster: Cluster, leader: string) => void }[] = [
  {
    name: 'ends',
    disrupt: (cluster, leader) => {
      cluster.crash(leader, 12_000);
    },
  },
  {
    name: 'is suspended',
    disrupt: (cluster, leader) => {
      cluster.freeze(leader, 12_000);
    },
  },
];

for (const { name, disrupt } of TAKEOVERS)
  test(`all polls at the other controllers are answered rightly while a leader that ${name} is replaced`, async () => {
    const cluster = await quietCluster(3);
    const job = submit(cluster, {});
    await runUntilPlaced(cluster, job);
    await cluster.run(3);
    const leader = cluster.leader()!;
    disrupt(cluster, leader);
    const others = cluster.nodeNames.filter((node) => node !== leader);
    const survey = await surveyAnswers(cluster, job, others, 25);
    assert.notEqual(cluster.leader(), leader);
    assert.deepEqual(staleAnswers(cluster), []);
    assert.equal(survey.right, survey.polls);
  });

// Guards against answers of a leader that resumes after another one has started jobs of which it knows nothing.
test('a leader that resumes after a suspension does not answer from what it knew before', async () => {
  const cluster = await quietCluster(7);
  const leader = cluster.leader()!;
  cluster.freeze(leader, 12_000);
  await cluster.run(1);
  const job = submit(cluster, {});
  await runUntilPlaced(cluster, job);
  assert.notEqual(cluster.leader(), leader);
  await cluster.run((cluster.processes.get(leader)!.frozenUntil - cluster.clock.time) / 1000 - 0.1);
  assert.ok(cluster.invariants.placesByTask.has(`${job}/0`), 'the task still runs');
  for (let i = 0; i < 100; i++) {
    void cluster.users.poll(job, leader);
    await cluster.run(0.01);
  }
  await cluster.run(3);
  assert.deepEqual(staleAnswers(cluster), []);
});

testScenarios(
  'no answer is older than allowed at any controller, while zones and controllers are cut off and leaders are replaced',
  [21, 22, 23, 24],
  (cluster, second) => {
    const { random, faults, users, nodeNames } = cluster;
    if (second % 4 === 1)
      for (const job of faults.runningJobs().slice(0, 4))
        for (const node of nodeNames) void users.poll(job, node);
    if (second % 17 === 3) cutZones(cluster, random.pick(CUTS), random.pick([4, CUT_S]));
    if (second % 17 === 11) cluster.crash(leaderOrRandomNode(cluster), random.pick([150, 3000]));
    if (second % 23 === 7)
      faults.isolate(random.pick(nodeNames), 6000, random.pick(['hold', 'reset']));
  },
  { leaseMs: LEASE_MS, cancelMs: CANCEL_MS },
);
