/** Duties in whole simulated clusters: other controllers execute what the leader decides, under all kinds of faults. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DUTIES, type Intent, INTENTS_PREFIX } from '@millring/duties';
import { Cluster } from './sim/cluster.js';
import type { ClusterConfig } from './sim/cluster-config.js';
import {
  CloudInvariants,
  ROLLOUT_SETTINGS,
  DUTY_SETTINGS,
  putFeatureLevel,
} from './sim/cloud-invariants.js';
import { BATCH } from './sim/jobs.js';
import { assertInvariantsHeld, runScenario } from './sim/run-scenario.js';

function testDuties(
  name: string,
  seed: number,
  faults: (cluster: Cluster, second: number) => void,
  config: Partial<ClusterConfig> = {},
): void {
  test(`${name} (${seed})`, async () => {
    let cloudInvariants: CloudInvariants | null = null;
    const eachSecond = (cluster: Cluster, second: number): void => {
      if (second > 0) faults(cluster, second);
    };
    const outcome = await runScenario(
      {
        ordinaryUp: 0,
        seed,
        minimizeCost: true,
        rollout: ROLLOUT_SETTINGS,
        duties: DUTY_SETTINGS,
        ...config,
      },
      eachSecond,
      (cluster) => {
        putFeatureLevel(cluster);
        cloudInvariants = new CloudInvariants(cluster);
      },
    );
    assertInvariantsHeld(outcome);
    const observed = cloudInvariants as CloudInvariants | null;
    assert.ok(
      observed && observed.rentals + observed.deletions > 0,
      'machines were rented or deleted',
    );
    assert.ok([...observed.intents.values()].some(({ outcome: end }) => end !== null));
  });
}

/** Ids of the machines with at least one task. */
function machinesWithTasks(cluster: Cluster): Set<string> {
  return new Set(
    [...cluster.invariants.placesByTask.values()].flat().map(({ machine }) => machine),
  );
}

// A new leader must read all intents before it places tasks.
test('no later leader places tasks on a machine that an open intent will delete', async () => {
  const cluster = new Cluster({
    seed: 51,
    ordinaryUp: 4,
    capacity: 8,
    rollout: ROLLOUT_SETTINGS,
    duties: DUTY_SETTINGS,
  });
  putFeatureLevel(cluster);
  cluster.state.putDirectly('duties/holds/return', { by: 'operator', sinceMs: 0 });
  await cluster.run(45);
  const machinesToDelete = (): string[] =>
    [...cluster.state.items].flatMap(([key, { value }]) => {
      const intent = key.startsWith(INTENTS_PREFIX) ? (value as Intent) : null;
      return intent?.duty === 'return' && intent.action.kind === 'delete'
        ? intent.action.machines
        : [];
    });
  const machines = machinesToDelete();
  assert.ok(machines.length > 0, 'deletions of idle machines are intended');
  for (let round = 0; round < 2; round++) {
    cluster.crash(cluster.leader() ?? assert.fail(), 1000);
    await cluster.run(6);
    for (let i = 0; i < 6; i++) void cluster.users.run(cluster.users.newJob(), null);
    for (let second = 0; second < 20; second++) {
      await cluster.run(1);
      assert.deepEqual(
        [...machinesWithTasks(cluster)].filter((id) => machines.includes(id)),
        [],
      );
    }
  }
  assert.ok(machinesWithTasks(cluster).size > 0, 'other machines are rented and run the tasks');
  await cluster.state.deleteAsOperator('duties/holds/return');
  await cluster.run(15);
  assert.ok(
    machines.every((id) => !cluster.cloud.machines.has(id)),
    'the machines are deleted',
  );
  assert.deepEqual(cluster.invariants.violations, []);
});

// A new leader must not rent for demand that an open rental of its predecessor already covers.
test('a new leader waits for an open rental of its predecessor and rents nothing more for the same demand', async () => {
  const cluster = new Cluster({
    seed: 52,
    ordinaryUp: 0,
    capacity: 8,
    rollout: ROLLOUT_SETTINGS,
    duties: DUTY_SETTINGS,
  });
  putFeatureLevel(cluster);
  const cloudInvariants = new CloudInvariants(cluster);
  cluster.state.putDirectly('duties/holds/rent', { by: 'operator', sinceMs: 0 });
  await cluster.run(3);
  for (let i = 0; i < 4; i++)
    void cluster.users.run(cluster.users.newJob({ ...BATCH, tasks: 8 }), null);
  await cluster.run(5);
  for (let round = 0; round < 3; round++) {
    cluster.crash(cluster.leader() ?? assert.fail(), 1000);
    await cluster.run(8);
  }
  const open = [...cloudInvariants.intents.values()].filter(({ outcome }) => outcome === null);
  assert.ok(open.length > 0);
  assert.deepEqual(cluster.invariants.violations, []);
  await cluster.state.deleteAsOperator('duties/holds/rent');
  await cluster.run(60);
  assert.deepEqual(cluster.invariants.violations, []);
  assert.ok(
    [...cluster.invariants.jobs.values()].every(({ reportedDoneAt }) => reportedDoneAt !== null),
  );
});

for (const seed of [41, 42])
  testDuties(
    'without injected faults all rentals and deletions go through intents',
    seed,
    () => undefined,
  );

for (const seed of [43, 44, 45])
  testDuties(
    'invariants hold while leaders crash, and holders crash, freeze or are rejected by the state service',
    seed,
    (cluster, second) => {
      const { random } = cluster;
      if (second % 6 !== 0) return;
      const holder = cluster.state.value(`duties/holders/${random.pick([...DUTIES])}`) as
        { controller: string } | undefined;
      const name = holder?.controller ?? random.pick(cluster.nodeNames);
      const kind = random.int(0, 3);
      if (kind === 0) cluster.crash(name, 1500);
      else if (kind === 1) cluster.freeze(name, 5000);
      else if (kind === 2) cluster.state.rejectHost(`${name}:80`, 5000);
      else cluster.crash(cluster.leader() ?? name, 1000);
    },
  );

testDuties(
  'invariants hold when all controllers crash at once during actions',
  48,
  (cluster, second) => {
    if (second % 20 === 10) for (const name of cluster.nodeNames) cluster.crash(name, 2000);
  },
);

testDuties(
  'invariants hold with several hundred machines while controllers and machines crash',
  49,
  (cluster, second) => {
    for (let i = 0; i < 3; i++)
      void cluster.users.run(cluster.users.newJob({ ...BATCH, tasks: 40, durationS: 10 }), null);
    const machines = [...cluster.cloud.machines.values()].filter(
      ({ state }) => state === 'running',
    );
    if (machines.length > 0) cluster.random.pick(machines).worker?.kill();
    if (second % 15 === 5) cluster.crash(cluster.random.pick(cluster.nodeNames), 2000);
  },
  {
    nodes: 5,
    capacity: 160,
    teamLimit: 1e6,
    reportMs: 3000,
    leaseMs: 15_000,
    cancelMs: 40_000,
    state: { rps: 200, writeRps: 40 },
  },
);

for (const seed of [46, 47])
  testDuties(
    'invariants hold while machines crash, controllers are isolated and writes are applied late',
    seed,
    (cluster, second) => {
      const { random } = cluster;
      if (second % 5 === 0) {
        const machines = [...cluster.cloud.machines.values()].filter(
          ({ state }) => state === 'running',
        );
        if (machines.length > 0) random.pick(machines).worker?.kill();
      }
      if (second % 15 === 7) cluster.faults.isolate(random.pick(cluster.nodeNames), 4000, 'reset');
      if (second % 20 === 10)
        cluster.state.lateWrites = {
          share: 0.2,
          until: cluster.clock.time + 3000,
          keys: 'duties/',
        };
    },
  );
