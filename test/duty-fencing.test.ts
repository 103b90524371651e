/** Holders of duties that have lost them, or may have: what they begin is not begun, or is refused by its token. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DUTIES } from '@millring/duties';
import {
  assertLossNoticed,
  untilResolved,
  settledGroup,
  rentMachines,
} from './sim/duty-scenarios.js';

test('suspended before the check: the successor acts, and the old holder begins nothing', async () => {
  for (const seed of [3, 4, 5]) {
    const group = await settledGroup(seed);
    const machines = await rentMachines(group, 4);
    const old = group.holder('return') ?? assert.fail();
    const before = group.storedHolder('return')?.token ?? 0;
    group.freeze(old, 8000);
    await group.run(0.1);
    await untilResolved(group, group.delete('return', machines[0]));
    assert.notEqual(group.storedHolder('return')?.controller, old);
    assert.ok((group.storedHolder('return')?.token ?? 0) > before);
    await group.run(8);
    // It wakes up, with an intent to act on.
    await untilResolved(group, group.delete('return', machines[1]));
    await group.run(2);
    assertLossNoticed(group, old, 'return');
    assert.ok(group.provider.executed('return').every((call) => call.token > before));
    assert.deepEqual(group.invariants.violations, []);
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
    group.network.delayFactor = 60;
    for (let round = 0; round < 6; round++) {
      await group.run(4);
      group.rejectStateRequests(group.holder(group.random.pick([...DUTIES])) ?? 'n0', 5000);
    }
    assert.deepEqual(group.invariants.violations, []);
  }
});

// Guards: what follows from a refusal of the other side.
test('a holder that is told that its token is stale gives up at once, and counts it', async () => {
  const group = await settledGroup(35);
  const machines = await rentMachines(group, 1);
  const old = group.holder('return') ?? assert.fail();
  let asked = 0;
  group.provider.delay = () =>
    new Promise((done) => group.clock.after(asked++ === 0 ? 4500 : 0, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the request is on its way', () => asked > 0);
  group.rejectStateRequests(old, 10_000);
  await untilResolved(group, opened);
  await group.until('the request is refused', () => group.provider.refused().length > 0);
  await group.run(0.3);
  assert.equal(group.member(old).counters().refused, 1);
  assert.notEqual(group.member(old).holder('return').state(), 'suspended');
  assert.deepEqual(group.invariants.violations, []);
});

// Guards: the token in each request. What was sent before the successor took over arrives after it.
test('requests held on their way until a successor has acted are refused by the provider', async () => {
  for (const seed of [6, 7, 8]) {
    const group = await settledGroup(seed);
    const machines = await rentMachines(group, 4);
    const old = group.holder('return') ?? assert.fail();
    const before = group.storedHolder('return')?.token ?? 0;
    group.holdRequests(old, 9000);
    const opened = group.delete('return', machines[0]);
    await group.run(0.3);
    // The request is on its way; now its sender stands still, too.
    group.freeze(old, 7000);
    await untilResolved(group, opened);
    assert.ok((group.storedHolder('return')?.token ?? 0) > before);
    await group.run(12);
    const refused = group.provider.refused();
    assert.ok(refused.length > 0 && refused.every((call) => call.token === before));
    assertLossNoticed(group, old, 'return');
    assert.deepEqual(group.invariants.violations, []);
  }
});

// Guards: suspended is not lost. The lease lives while its renewals are executed, answered or not.
test('renewals that are executed and not answered: nothing is done, nobody takes over, and the holder goes on', async () => {
  const group = await settledGroup(36);
  const holder = group.holder('return') ?? assert.fail();
  const before = group.storedHolder('return');
  group.holdResponses(holder, 5000);
  await group.run(4);
  assert.equal(group.holder('return'), undefined);
  assert.equal(group.member(holder).holder('return').state(), 'suspended');
  await group.run(4);
  assert.deepEqual([group.holder('return'), group.storedHolder('return')], [holder, before]);
  assert.deepEqual(group.invariants.violations, []);
});

test('an outage for all: nothing is done in it, and holders go on after it where their leases live', async () => {
  const group = await settledGroup(10);
  const machines = await rentMachines(group, 2);
  const before = DUTIES.map((duty) => group.storedHolder(duty)?.token);
  group.state.beginOutage(8000);
  await group.run(4);
  assert.ok(DUTIES.every((duty) => group.holder(duty) === undefined));
  await group.run(6);
  await untilResolved(group, group.delete('return', machines[0]));
  assert.deepEqual(
    DUTIES.map((duty) => group.storedHolder(duty)?.token),
    before,
  );
  assert.deepEqual(group.invariants.violations, []);
});

test('an outage for the holder alone: another takes over, and the old one finds out', async () => {
  const group = await settledGroup(11);
  const old = group.holder('rent') ?? assert.fail();
  group.rejectStateRequests(old, 8000);
  await group.until('another holds it', () => (group.holder('rent') ?? old) !== old);
  assert.deepEqual(await untilResolved(group, group.rent(1)).then(({ kind }) => kind), 'resolved');
  await group.run(10);
  assertLossNoticed(group, old, 'rent');
  assert.deepEqual(group.invariants.violations, []);
});
