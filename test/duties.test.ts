/** Duties in simulated groups of controllers: suspended holders, lost leases, late writes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DUTIES, type Duty, type IntentResult } from '@millring/duties';
import { DutyGroup, resolved, settledGroup, withMachines } from './sim/duty-group.js';

/** The old holder noticed that it lost the duty, and counts as any other since. */
function assertFoundOut(group: DutyGroup, old: string, duty: Duty): void {
  const states = group.lines
    .filter(
      ({ name, text, fields }) =>
        name === old && text === 'duty' && 'duty' in fields && fields.duty === duty,
    )
    .map(({ fields }) => (fields as { to: string }).to);
  const lost = states.indexOf('lost');
  assert.ok(lost > 0, states.join(', '));
  assert.equal(states[lost + 1], 'vacant');
}

test('each duty has one holder, spread over the controllers; actions are done under its token', async () => {
  const group = await settledGroup(1);
  const holders = DUTIES.map((duty) => group.recorded(duty)?.controller);
  assert.equal(new Set(holders).size, 3);
  assert.ok(
    DUTIES.every((duty) => group.recorded(duty)?.token === 1),
    'spread from the start, without a move',
  );
  const [machine] = await withMachines(group, 2);
  const opened = await resolved(group, group.delete('return', machine));
  assert.deepEqual(opened, { kind: 'resolved', outcome: { kind: 'deleted' } });
  assert.equal(group.provider.machines.size, 1);
  const token = group.recorded('return')?.token;
  assert.ok(group.provider.executed('return').every((call) => call.token === token));
  assert.deepEqual(group.rules.broken, []);
});

test('the leader holds fewer duties than others', async () => {
  const group = await settledGroup(2, { leader: 'n1' });
  await group.run(60);
  assert.ok(DUTIES.every((duty) => group.recorded(duty)?.controller !== 'n1'));
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the check of the holder by its own steady clock, and the loss of the duty once the record names another.
test('suspended before the check: the successor acts, and the old holder begins nothing', async () => {
  for (const seed of [3, 4, 5]) {
    const group = await settledGroup(seed);
    const machines = await withMachines(group, 4);
    const old = group.holder('return') ?? assert.fail();
    const before = group.recorded('return')?.token ?? 0;
    group.freeze(old, 8000);
    await group.run(0.1);
    await resolved(group, group.delete('return', machines[0]));
    assert.notEqual(group.recorded('return')?.controller, old);
    assert.ok((group.recorded('return')?.token ?? 0) > before);
    await group.run(8);
    // It wakes up, with an intent to act on.
    await resolved(group, group.delete('return', machines[1]));
    await group.run(2);
    assertFoundOut(group, old, 'return');
    assert.ok(group.provider.executed('return').every((call) => call.token > before));
    assert.deepEqual(group.rules.broken, []);
  }
});

// Guards: the check right before an action, whatever the caller has checked before.
test('an action of a holder whose lease may have ended is not begun', async () => {
  const group = await settledGroup(24);
  const old = group.holder('return') ?? assert.fail();
  const { duty } = group.member(old).holder('return');
  group.freeze(old, 5000);
  await group.run(3);
  let begun = 0;
  const performed = await group
    .member(old)
    .holder(duty)
    .perform(() => Promise.resolve(begun++));
  assert.deepEqual([performed.kind, begun], ['not-held', 0]);
});

// Guards: the lease counted from when its renewal was sent, not from when its answer came.
test('slow answers of the state service: whoever believes to hold a duty stands in its record', async () => {
  for (const seed of [25, 26, 27]) {
    const group = await settledGroup(seed);
    group.net.slow = 60;
    for (let round = 0; round < 6; round++) {
      await group.run(4);
      group.refuse(group.holder(group.random.pick([...DUTIES])) ?? 'n0', 5000);
    }
    assert.deepEqual(group.rules.broken, []);
  }
});

// Guards: what follows from a refusal of the other side.
test('a holder that is told that its token is stale gives up at once, and counts it', async () => {
  const group = await settledGroup(35);
  const machines = await withMachines(group, 1);
  const old = group.holder('return') ?? assert.fail();
  let asked = 0;
  group.provider.delay = () =>
    new Promise((done) => group.clock.after(asked++ === 0 ? 4500 : 0, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the request is on its way', () => asked > 0);
  group.refuse(old, 10_000);
  await resolved(group, opened);
  await group.until('the request is refused', () => group.provider.refused().length > 0);
  await group.run(0.3);
  assert.equal(group.member(old).counters().refused, 1);
  assert.notEqual(group.member(old).holder('return').state(), 'suspended');
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the removal of a claim whose answer was lost.
test('claims that are carried out late and without an answer keep no duty from being held', async () => {
  const group = new DutyGroup({ seed: 28 });
  group.state.lateWrites = { share: 1, until: 1500, byMs: 2500, keys: 'duties/tokens/' };
  await group.run(3);
  await group.settled();
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the token in each request. What was sent before the successor took over arrives after it.
test('requests held on their way until a successor has acted are refused by the provider', async () => {
  for (const seed of [6, 7, 8]) {
    const group = await settledGroup(seed);
    const machines = await withMachines(group, 4);
    const old = group.holder('return') ?? assert.fail();
    const before = group.recorded('return')?.token ?? 0;
    group.holdRequests(old, 9000);
    const opened = group.delete('return', machines[0]);
    await group.run(0.3);
    // The request is on its way; now its sender stands still, too.
    group.freeze(old, 7000);
    await resolved(group, opened);
    assert.ok((group.recorded('return')?.token ?? 0) > before);
    await group.run(12);
    const refused = group.provider.refused();
    assert.ok(refused.length > 0 && refused.every((call) => call.token === before));
    assertFoundOut(group, old, 'return');
    assert.deepEqual(group.rules.broken, []);
  }
});

// Guards: the duty's record among the conditions of the write that resolves an intent.
test('a write of the old holder that arrives late changes nothing', async () => {
  const group = await settledGroup(9);
  const machines = await withMachines(group, 2);
  const old = group.holder('return') ?? assert.fail();
  const before = group.recorded('return')?.token ?? 0;
  group.provider.delay = () => new Promise((done) => group.clock.after(300, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the intent is stored', () => group.openIntents() > 0);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 1000,
    byMs: 9000,
    keys: 'duties/intents/',
  };
  await group.run(0.8);
  group.freeze(old, 8000);
  await resolved(group, opened);
  await group.run(12);
  const intent = [...group.rules.intents.values()].find(({ duty }) => duty === 'return');
  assert.ok((intent?.token ?? 0) > before, 'resolved by the successor');
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the claim of whoever decides among the conditions of an intent.
test('an intent of a former decider that is carried out late is never stored', async () => {
  const group = await settledGroup(22);
  const machines = await withMachines(group, 1);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 500,
    byMs: 6000,
    keys: 'duties/intents/',
  };
  const opened = group.delete('return', machines[0]);
  await group.run(0.4);
  group.replaceDecider();
  await group.run(0.2);
  assert.deepEqual(await resolved(group, opened), { kind: 'not-stored' });
  await group.run(10);
  assert.equal(group.provider.executed('return').length, 0);
  assert.equal(group.state.history('duties/intents/i-2').length, 0);
});

// Guards: an intent without an answer is stored again as it was, and followed to its end.
test('an intent whose answer is lost is stored once, and whoever decides learns of its end', async () => {
  const group = await settledGroup(23);
  const machines = await withMachines(group, 1);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 500,
    byMs: 3000,
    keys: 'duties/intents/',
  };
  assert.equal((await resolved(group, group.delete('return', machines[0]))).kind, 'resolved');
  await group.run(20);
  assert.equal(group.provider.machines.size, 0);
  assert.equal(group.openIntents(), 0);
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the duty's record among the conditions, where the intent itself is still as it was.
test('a late write of the old holder does not resolve an intent that its successor has not done yet', async () => {
  const group = await settledGroup(29);
  const machines = await withMachines(group, 1);
  const old = group.holder('return') ?? assert.fail();
  group.provider.delay = () => new Promise((done) => group.clock.after(300, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the intent is stored', () => group.openIntents() > 0);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 1000,
    byMs: 6000,
    keys: 'duties/intents/',
  };
  await group.run(0.8);
  group.freeze(old, 20_000);
  group.provider.trouble = { refuses: true, silent: false };
  await group.run(10);
  assert.equal(group.openIntents(), 1);
  group.provider.trouble = { refuses: false, silent: false };
  await resolved(group, opened);
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the version of the intent among the conditions of the write that resolves it.
test('a late copy of the resolving write does not bring back a record that was cleaned up', async () => {
  const group = await settledGroup(30);
  const machines = await withMachines(group, 1);
  group.provider.delay = () => new Promise((done) => group.clock.after(300, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the intent is stored', () => group.openIntents() > 0);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 600,
    byMs: 25_000,
    keys: 'duties/intents/',
  };
  await resolved(group, opened);
  await group.run(40);
  assert.equal(group.state.history('duties/intents/i-2').length, 2, 'opened and resolved');
  assert.ok(![...group.state.items.keys()].some((key) => key.startsWith('duties/intents/')));
});

// Guards: suspended is not lost. The lease lives while its renewals are executed, answered or not.
test('renewals that are executed and not answered: nothing is done, nobody takes over, and the holder goes on', async () => {
  const group = await settledGroup(36);
  const holder = group.holder('return') ?? assert.fail();
  const before = group.recorded('return');
  group.holdAnswers(holder, 5000);
  await group.run(4);
  assert.equal(group.holder('return'), undefined);
  assert.equal(group.member(holder).holder('return').state(), 'suspended');
  await group.run(4);
  assert.deepEqual([group.holder('return'), group.recorded('return')], [holder, before]);
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the version of the holder's record among the conditions of its removal.
test('a release that is carried out late does not take the duty from its next holder', async () => {
  const group = await settledGroup(37);
  const old = group.holder('return') ?? assert.fail();
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 500,
    byMs: 9000,
    keys: 'duties/holders/return',
  };
  void group.member(old).holder('return').release('by the test');
  await group.until('another holds it', () => (group.holder('return') ?? old) !== old);
  const next = group.recorded('return');
  await group.run(12);
  assert.deepEqual(group.recorded('return'), next);
  assert.deepEqual(group.rules.broken, []);
});

// Guards: the term of a membership. Each time that the duties are turned on, one loop renews one lease.
test('duties that are turned off and on again and again: handed over in order, renewed as often as before', async () => {
  const group = await settledGroup(38);
  await group.run(20);
  const renewalsIn = async (seconds: number): Promise<number> => {
    const before = group.state.asked.requests;
    await group.run(seconds);
    return group.state.asked.requests - before;
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
  assert.ok(after < 1.15 * usual, `${after} requests where there were ${usual}`);
  assert.deepEqual(group.rules.broken, []);
});

test('an outage for all: nothing is done in it, and holders go on after it where their leases live', async () => {
  const group = await settledGroup(10);
  const machines = await withMachines(group, 2);
  const before = DUTIES.map((duty) => group.recorded(duty)?.token);
  group.state.outage(8000);
  await group.run(4);
  assert.ok(DUTIES.every((duty) => group.holder(duty) === undefined));
  await group.run(6);
  await resolved(group, group.delete('return', machines[0]));
  assert.deepEqual(
    DUTIES.map((duty) => group.recorded(duty)?.token),
    before,
  );
  assert.deepEqual(group.rules.broken, []);
});

test('an outage for the holder alone: another takes over, and the old one finds out', async () => {
  const group = await settledGroup(11);
  const old = group.holder('rent') ?? assert.fail();
  group.refuse(old, 8000);
  await group.until('another holds it', () => (group.holder('rent') ?? old) !== old);
  assert.deepEqual(await resolved(group, group.rent(1)).then(({ kind }) => kind), 'resolved');
  await group.run(10);
  assertFoundOut(group, old, 'rent');
  assert.deepEqual(group.rules.broken, []);
});

// Guards: intents are stored before the first request, and a repeated request name rents nothing more.
test('holders die between request and record, again and again: one rental, a bounded number of calls', async () => {
  const group = await settledGroup(12);
  const opened = group.rent(3);
  for (let deaths = 0; deaths < 5; deaths++) {
    group.provider.trouble = { refuses: false, silent: true };
    const calls = group.provider.executed('rent').length;
    await group.until(
      'the request is executed',
      () => group.provider.executed('rent').length > calls,
    );
    group.crash(group.holder('rent') ?? assert.fail(), 1000);
  }
  group.provider.trouble = { refuses: false, silent: false };
  const result = await resolved(group, opened);
  assert.deepEqual(result, {
    kind: 'resolved',
    outcome: { kind: 'rented', machines: [...group.provider.machines] },
  });
  assert.equal(group.provider.machines.size, 3);
  assert.ok(group.provider.executed('rent').length <= 8, 'few calls for each holder');
  assert.deepEqual(group.rules.broken, []);
});

test('a provider that refuses is asked ever more seldom, and the intent is done once it serves', async () => {
  const group = await settledGroup(13);
  const machines = await withMachines(group, 1);
  let asked = 0;
  group.provider.delay = () => {
    asked++;
    return Promise.resolve();
  };
  group.provider.trouble = { refuses: true, silent: false };
  const opened = group.delete('reclaim', machines[0]);
  await group.run(30);
  assert.ok(asked >= 3 && asked <= 12, String(asked));
  group.provider.trouble = { refuses: false, silent: false };
  assert.deepEqual(await resolved(group, opened), {
    kind: 'resolved',
    outcome: { kind: 'deleted' },
  });
});

// Guards: delays for those that are not settled, and for whoever just had the duty.
test('a controller that comes and goes each second moves no duties each second', async () => {
  const group = await settledGroup(14);
  const flapping = 'n2';
  const held = (duty: Duty): number => group.recorded(duty)?.token ?? 0;
  for (let second = 0; second < 40; second++) {
    group.crash(flapping, 500);
    await group.run(1);
  }
  const sum = DUTIES.reduce((total, duty) => total + held(duty), 0);
  // Each duty once at the start, and those of the flapping controller once more.
  assert.ok(sum <= 2 * DUTIES.length + 2, `tokens in all: ${sum}`);
  assert.ok(DUTIES.every((duty) => group.recorded(duty)?.controller !== flapping));
  assert.deepEqual(group.rules.broken, []);
});

test('one controller left of three holds everything; all that end at once come back', async () => {
  const group = await settledGroup(15);
  for (const name of ['n0', 'n1']) group.crash(name, 30_000);
  await group.until('n2 holds all', () => DUTIES.every((duty) => group.holder(duty) === 'n2'));
  const opened = group.rent(2);
  assert.equal((await resolved(group, opened)).kind, 'resolved');
  group.crash('n2', 1000);
  await group.run(5);
  await group.until('n2 holds all again', () =>
    DUTIES.every((duty) => group.holder(duty) === 'n2'),
  );
  // The others return, and get their share.
  await group.run(60);
  assert.equal(new Set(DUTIES.map((duty) => group.recorded(duty)?.controller)).size, 3);
  assert.deepEqual(group.rules.broken, []);
});

test('a hand-over lets requests on their way end, and is not taken back at once', async () => {
  const group = await settledGroup(16);
  const machines = await withMachines(group, 1);
  const old = group.holder('return') ?? assert.fail();
  group.provider.delay = () => new Promise((done) => group.clock.after(1500, done));
  const opened = group.delete('return', machines[0]);
  await group.run(0.5);
  void group.member(old).holder('return').release('by the test');
  await group.run(0.2);
  assert.equal(group.member(old).holder('return').state(), 'releasing');
  assert.equal((await resolved(group, opened)).kind, 'resolved');
  await group.until('another holds it', () => (group.holder('return') ?? old) !== old);
  assert.equal(group.provider.calls.filter((call) => call.duty === 'return').length, 1);
  assert.deepEqual(group.rules.broken, []);
});

/** Any of the troubles, at random. */
function trouble(group: DutyGroup): void {
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
      group.refuse(name, ms);
    },
    () => {
      group.state.outage(ms);
    },
    () => {
      group.state.lateWrites = { share: 0.3, until: group.clock.time + ms };
    },
    () => {
      group.provider.trouble = { refuses: random.chance(0.5), silent: random.chance(0.5) };
    },
  ];
  random.pick(kinds)();
}

for (const seed of [31, 32, 33, 34])
  test(`all troubles at random: one holder, rising tokens, nothing without an intent, nothing lost (${seed})`, async () => {
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
      if (random.chance(0.4)) trouble(group);
      await group.run(1);
    }
    group.provider.trouble = { refuses: false, silent: false };
    await group.run(30);
    await group.settled();
    await group.until('nothing is open', () => group.openIntents() === 0);
    assert.equal(followed, opened, 'whoever decides learned of each end');
    assert.deepEqual(group.rules.unaccounted(), []);
    assert.deepEqual(group.rules.broken, []);
    const calls = group.provider.calls.length;
    assert.ok(calls < 12 * opened, `${calls} calls for ${opened} intents`);
  });
