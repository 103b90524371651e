/** Writes of duties and intents that are carried out late, or whose answer is lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyGroup } from './sim/duty-group.js';
import { untilResolved, settledGroup, rentMachines } from './sim/duty-scenarios.js';

// Guards: the removal of a claim whose answer was lost.
test('claims that are carried out late and without an answer keep no duty from being held', async () => {
  const group = new DutyGroup({ seed: 28 });
  group.state.lateWrites = { share: 1, until: 1500, byMs: 2500, keys: 'duties/tokens/' };
  await group.run(3);
  await group.untilAllHeld();
  assert.deepEqual(group.invariants.violations, []);
});

// Guards: the duty's record among the conditions of the write that resolves an intent.
test('a write of the old holder that arrives late changes nothing', async () => {
  const group = await settledGroup(9);
  const machines = await rentMachines(group, 2);
  const old = group.holder('return') ?? assert.fail();
  const before = group.storedHolder('return')?.token ?? 0;
  group.provider.delay = () => new Promise((done) => group.clock.after(300, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the intent is stored', () => group.openIntentCount() > 0);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 1000,
    byMs: 9000,
    keys: 'duties/intents/',
  };
  await group.run(0.8);
  group.freeze(old, 8000);
  await untilResolved(group, opened);
  await group.run(12);
  const intent = [...group.invariants.intents.values()].find(({ duty }) => duty === 'return');
  assert.ok((intent?.token ?? 0) > before, 'resolved by the successor');
  assert.deepEqual(group.invariants.violations, []);
});

// Guards: the claim of whoever decides among the conditions of an intent.
test('an intent of a former decider that is carried out late is never stored', async () => {
  const group = await settledGroup(22);
  const machines = await rentMachines(group, 1);
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
  assert.deepEqual(await untilResolved(group, opened), { kind: 'not-stored' });
  await group.run(10);
  assert.equal(group.provider.executed('return').length, 0);
  assert.equal(group.state.history('duties/intents/i-2').length, 0);
});

// Guards: an intent without an answer is stored again as it was, and followed to its end.
test('an intent whose answer is lost is stored once, and whoever decides learns of its end', async () => {
  const group = await settledGroup(23);
  const machines = await rentMachines(group, 1);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 500,
    byMs: 3000,
    keys: 'duties/intents/',
  };
  assert.equal((await untilResolved(group, group.delete('return', machines[0]))).kind, 'resolved');
  await group.run(20);
  assert.equal(group.provider.machines.size, 0);
  assert.equal(group.openIntentCount(), 0);
  assert.deepEqual(group.invariants.violations, []);
});

// Guards: the duty's record among the conditions, where the intent itself is still as it was.
test('a late write of the old holder does not resolve an intent that its successor has not done yet', async () => {
  const group = await settledGroup(29);
  const machines = await rentMachines(group, 1);
  const old = group.holder('return') ?? assert.fail();
  group.provider.delay = () => new Promise((done) => group.clock.after(300, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the intent is stored', () => group.openIntentCount() > 0);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 1000,
    byMs: 6000,
    keys: 'duties/intents/',
  };
  await group.run(0.8);
  group.freeze(old, 20_000);
  group.provider.failure = { unavailable: true, dropsResponses: false };
  await group.run(10);
  assert.equal(group.openIntentCount(), 1);
  group.provider.failure = { unavailable: false, dropsResponses: false };
  await untilResolved(group, opened);
  assert.deepEqual(group.invariants.violations, []);
});

// Guards: the version of the intent among the conditions of the write that resolves it.
test('a late copy of the resolving write does not bring back a record that was cleaned up', async () => {
  const group = await settledGroup(30);
  const machines = await rentMachines(group, 1);
  group.provider.delay = () => new Promise((done) => group.clock.after(300, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the intent is stored', () => group.openIntentCount() > 0);
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 600,
    byMs: 25_000,
    keys: 'duties/intents/',
  };
  await untilResolved(group, opened);
  await group.run(40);
  assert.equal(group.state.history('duties/intents/i-2').length, 2, 'opened and resolved');
  assert.ok(![...group.state.items.keys()].some((key) => key.startsWith('duties/intents/')));
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
  const next = group.storedHolder('return');
  await group.run(12);
  assert.deepEqual(group.storedHolder('return'), next);
  assert.deepEqual(group.invariants.violations, []);
});
