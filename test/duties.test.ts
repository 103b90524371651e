/** Duties in simulated groups of controllers: distribution, crashes of holders, provider outages and random faults. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DUTIES, type Duty, type IntentResult } from '@millring/duties';
import { DutyGroup } from './sim/duty-group.js';
import { untilResolved, settledGroup, rentMachines } from './sim/duty-scenarios.js';

test('each duty has one holder, holders are spread over the controllers, and actions carry the token of the holder', async () => {
  const group = await settledGroup(1);
  const holders = DUTIES.map((duty) => group.storedHolder(duty)?.controller);
  assert.equal(new Set(holders).size, 3);
  assert.ok(
    DUTIES.every((duty) => group.storedHolder(duty)?.token === 1),
    'duties are spread at the start, without a move',
  );
  const [machine] = await rentMachines(group, 2);
  const opened = await untilResolved(group, group.delete('return', machine));
  assert.deepEqual(opened, { kind: 'resolved', outcome: { kind: 'deleted' } });
  assert.equal(group.provider.machines.size, 1);
  const token = group.storedHolder('return')?.token;
  assert.ok(group.provider.executed('return').every((call) => call.token === token));
  assert.deepEqual(group.invariants.violations, []);
});

test('in a group of three controllers the leader holds no duty', async () => {
  const group = await settledGroup(2, { leader: 'n1' });
  await group.run(60);
  assert.ok(DUTIES.every((duty) => group.storedHolder(duty)?.controller !== 'n1'));
  assert.deepEqual(group.invariants.violations, []);
});

// Each time that duties are turned on, exactly one loop must renew the lease of the new membership term.
test('repeatedly turning duties off and on for a controller does not increase the rate of lease renewals', async () => {
  const group = await settledGroup(38);
  await group.run(20);
  const renewalsIn = async (seconds: number): Promise<number> => {
    const requestsBefore = group.state.received.requests;
    await group.run(seconds);
    return group.state.received.requests - requestsBefore;
  };
  const usual = await renewalsIn(20);
  for (let round = 0; round < 20; round++) {
    group.turnedOff.add('n1');
    await group.run(group.random.between(0.12, 0.25));
    group.turnedOff.delete('n1');
    await group.run(group.random.between(0.1, 0.5));
  }
  await group.run(30);
  const after = await renewalsIn(20);
  assert.ok(after < 1.15 * usual, `${after} requests after toggling, ${usual} before`);
  assert.deepEqual(group.invariants.violations, []);
});

// Intents must be stored before the first request, and a repeated request name must not rent further machines.
test('holders that repeatedly crash between request and record execute a rental once, with a bounded number of calls', async () => {
  const group = await settledGroup(12);
  const opened = group.rent(3);
  for (let deaths = 0; deaths < 5; deaths++) {
    group.provider.failure = { unavailable: false, dropsResponses: true };
    const calls = group.provider.executed('rent').length;
    await group.until(
      'the request is executed',
      () => group.provider.executed('rent').length > calls,
    );
    group.crash(group.holder('rent') ?? assert.fail(), 1000);
  }
  group.provider.failure = { unavailable: false, dropsResponses: false };
  const result = await untilResolved(group, opened);
  assert.deepEqual(result, {
    kind: 'resolved',
    outcome: { kind: 'rented', machines: [...group.provider.machines] },
  });
  assert.equal(group.provider.machines.size, 3);
  assert.ok(group.provider.executed('rent').length <= 8, 'a bounded number of calls');
  assert.deepEqual(group.invariants.violations, []);
});

test('an unavailable provider is called with backoff, and the intent is resolved once it is available again', async () => {
  const group = await settledGroup(13);
  const machines = await rentMachines(group, 1);
  let attempts = 0;
  group.provider.delay = () => {
    attempts++;
    return Promise.resolve();
  };
  group.provider.failure = { unavailable: true, dropsResponses: false };
  const opened = group.delete('reclaim', machines[0]);
  await group.run(30);
  assert.ok(attempts >= 3 && attempts <= 12, String(attempts));
  group.provider.failure = { unavailable: false, dropsResponses: false };
  assert.deepEqual(await untilResolved(group, opened), {
    kind: 'resolved',
    outcome: { kind: 'deleted' },
  });
});

// Controllers that have not settled yet, and the last holder of a duty, must wait before they acquire it.
test('a controller that restarts every second does not cause a move of duties every second', async () => {
  const group = await settledGroup(14);
  const flapping = 'n2';
  const storedToken = (duty: Duty): number => group.storedHolder(duty)?.token ?? 0;
  for (let second = 0; second < 40; second++) {
    group.crash(flapping, 500);
    await group.run(1);
  }
  const sum = DUTIES.reduce((total, duty) => total + storedToken(duty), 0);
  // Each duty is acquired once at the start, and those of the flapping controller once more.
  assert.ok(sum <= 2 * DUTIES.length + 2, `sum of the tokens: ${sum}`);
  assert.ok(DUTIES.every((duty) => group.storedHolder(duty)?.controller !== flapping));
  assert.deepEqual(group.invariants.violations, []);
});

test('the last controller of three holds all duties, and acquires them again after a crash of its own', async () => {
  const group = await settledGroup(15);
  for (const name of ['n0', 'n1']) group.crash(name, 30_000);
  await group.until('n2 holds all duties', () =>
    DUTIES.every((duty) => group.holder(duty) === 'n2'),
  );
  const opened = group.rent(2);
  assert.equal((await untilResolved(group, opened)).kind, 'resolved');
  group.crash('n2', 1000);
  await group.run(5);
  await group.until('n2 holds all duties again', () =>
    DUTIES.every((duty) => group.holder(duty) === 'n2'),
  );
  // The other controllers return and acquire their share.
  await group.run(60);
  assert.equal(new Set(DUTIES.map((duty) => group.storedHolder(duty)?.controller)).size, 3);
  assert.deepEqual(group.invariants.violations, []);
});

test('a release waits for requests in flight, and the former holder does not acquire the duty again at once', async () => {
  const group = await settledGroup(16);
  const machines = await rentMachines(group, 1);
  const initialHolder = group.holder('return') ?? assert.fail();
  group.provider.delay = () => new Promise((done) => group.clock.after(1500, done));
  const opened = group.delete('return', machines[0]);
  await group.run(0.5);
  void group.member(initialHolder).holder('return').release('by the test');
  await group.run(0.2);
  assert.equal(group.member(initialHolder).holder('return').state(), 'releasing');
  assert.equal((await untilResolved(group, opened)).kind, 'resolved');
  await group.until(
    'another controller holds the duty',
    () => (group.holder('return') ?? initialHolder) !== initialHolder,
  );
  assert.equal(group.provider.calls.filter((call) => call.duty === 'return').length, 1);
  assert.deepEqual(group.invariants.violations, []);
});

/** Injects one random fault. */
function randomFault(group: DutyGroup): void {
  const { random } = group;
  const name = random.pick(group.names);
  const ms = random.between(200, 9000);
  const kinds: (() => void)[] = [
    () => {
      group.crash(name, ms / 3);
    },
    () => {
      group.freeze(name, ms);
    },
    () => {
      group.holdRequests(name, ms);
    },
    () => {
      group.rejectStateRequests(name, ms);
    },
    () => {
      group.state.beginOutage(ms);
    },
    () => {
      group.state.lateWrites = { share: 0.3, until: group.clock.time + ms };
    },
    () => {
      group.provider.failure = {
        unavailable: random.chance(0.5),
        dropsResponses: random.chance(0.5),
      };
    },
  ];
  random.pick(kinds)();
}

for (const seed of [31, 32, 33, 34])
  test(`under random faults each duty has one holder with rising tokens, no action lacks an intent and no intent is lost (${seed})`, async () => {
    const group = await settledGroup(seed, { size: 3 + (seed % 3) });
    const { random } = group;
    let followed = 0;
    let opened = 0;
    const count = (result: Promise<IntentResult>): void => {
      opened++;
      void result.then(() => followed++);
    };
    for (let second = 0; second < 120; second++) {
      if (random.chance(0.3)) count(group.rent(random.int(1, 5)));
      const machines = [...group.provider.machines];
      if (machines.length > 0 && random.chance(0.3))
        count(group.delete(random.pick(['return', 'reclaim'] as const), random.pick(machines)));
      if (random.chance(0.4)) randomFault(group);
      await group.run(1);
    }
    group.provider.failure = { unavailable: false, dropsResponses: false };
    await group.run(30);
    await group.untilAllHeld();
    await group.until('no intent is open', () => group.openIntentCount() === 0);
    assert.equal(
      followed,
      opened,
      'the controller that opened the intents learned the outcome of each',
    );
    assert.deepEqual(group.invariants.unaccounted(), []);
    assert.deepEqual(group.invariants.violations, []);
    const calls = group.provider.calls.length;
    assert.ok(calls < 12 * opened, `${calls} calls for ${opened} intents`);
  });
