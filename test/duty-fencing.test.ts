/**
 * Holders that have lost their duty, or may have: their actions are not started, or are rejected because the token is
 * stale.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DUTIES } from '@millring/duties';
import {
  assertLossNoticed,
  untilResolved,
  settledGroup,
  rentMachines,
} from './sim/duty-scenarios.js';

test('a holder frozen before it checks its lease starts no action after its successor has acted', async () => {
  for (const seed of [3, 4, 5]) {
    const group = await settledGroup(seed);
    const machines = await rentMachines(group, 4);
    const initialHolder = group.holder('return') ?? assert.fail();
    const tokenBefore = group.storedHolder('return')?.token ?? 0;
    group.freeze(initialHolder, 8000);
    await group.run(0.1);
    await untilResolved(group, group.delete('return', machines[0]));
    assert.notEqual(group.storedHolder('return')?.controller, initialHolder);
    assert.ok((group.storedHolder('return')?.token ?? 0) > tokenBefore);
    await group.run(8);
    // The former holder continues, and there is an intent that it could execute.
    await untilResolved(group, group.delete('return', machines[1]));
    await group.run(2);
    assertLossNoticed(group, initialHolder, 'return');
    assert.ok(group.provider.executed('return').every((call) => call.token > tokenBefore));
    assert.deepEqual(group.invariants.violations, []);
  }
});

// The lease must be checked right before each action, regardless of earlier checks by the caller.
test('an action is not started if the lease of its holder may have expired', async () => {
  const group = await settledGroup(24);
  const initialHolder = group.holder('return') ?? assert.fail();
  const { duty } = group.member(initialHolder).holder('return');
  group.freeze(initialHolder, 5000);
  await group.run(3);
  let begun = 0;
  const performed = await group
    .member(initialHolder)
    .holder(duty)
    .perform(() => Promise.resolve(begun++));
  assert.deepEqual([performed.kind, begun], ['not-held', 0]);
});

// The lease must be counted from the time its renewal was sent, not from the time of the response.
test('with slow responses of the state service, only the controller in the holder record considers itself the holder', async () => {
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

// A request that the provider rejects as stale must end the holding of the duty.
test('a holder whose token is rejected as stale gives up the duty at once and counts the rejection', async () => {
  const group = await settledGroup(35);
  const machines = await rentMachines(group, 1);
  const initialHolder = group.holder('return') ?? assert.fail();
  let requests = 0;
  group.provider.delay = () =>
    new Promise((done) => group.clock.after(requests++ === 0 ? 4500 : 0, done));
  const opened = group.delete('return', machines[0]);
  await group.until('the request is in flight', () => requests > 0);
  group.rejectStateRequests(initialHolder, 10_000);
  await untilResolved(group, opened);
  await group.until('the request is rejected as stale', () => group.provider.refused().length > 0);
  await group.run(0.3);
  assert.equal(group.member(initialHolder).counters().refused, 1);
  assert.notEqual(group.member(initialHolder).holder('return').state(), 'suspended');
  assert.deepEqual(group.invariants.violations, []);
});

// Each request must carry the token: a request sent before the takeover may arrive after it.
test('requests delayed until a successor has acted are rejected as stale by the provider', async () => {
  for (const seed of [6, 7, 8]) {
    const group = await settledGroup(seed);
    const machines = await rentMachines(group, 4);
    const initialHolder = group.holder('return') ?? assert.fail();
    const tokenBefore = group.storedHolder('return')?.token ?? 0;
    group.holdRequests(initialHolder, 9000);
    const opened = group.delete('return', machines[0]);
    await group.run(0.3);
    // The request is in flight; now its sender freezes, too.
    group.freeze(initialHolder, 7000);
    await untilResolved(group, opened);
    assert.ok((group.storedHolder('return')?.token ?? 0) > tokenBefore);
    await group.run(12);
    const refused = group.provider.refused();
    assert.ok(refused.length > 0 && refused.every((call) => call.token === tokenBefore));
    assertLossNoticed(group, initialHolder, 'return');
    assert.deepEqual(group.invariants.violations, []);
  }
});

// A holder in the state `suspended` has not lost its duty: its lease is valid as long as renewals are executed, with or
// without a response.
test('a holder whose renewals are executed without a response goes to the state suspended, keeps the duty and resumes', async () => {
  const group = await settledGroup(36);
  const holder = group.holder('return') ?? assert.fail();
  const recordBefore = group.storedHolder('return');
  group.holdResponses(holder, 5000);
  await group.run(4);
  assert.equal(group.holder('return'), undefined);
  assert.equal(group.member(holder).holder('return').state(), 'suspended');
  await group.run(4);
  assert.deepEqual([group.holder('return'), group.storedHolder('return')], [holder, recordBefore]);
  assert.deepEqual(group.invariants.violations, []);
});

test('in an outage of the state service no duty is held, and holders with valid leases resume after it', async () => {
  const group = await settledGroup(10);
  const machines = await rentMachines(group, 2);
  const tokensBefore = DUTIES.map((duty) => group.storedHolder(duty)?.token);
  group.state.beginOutage(8000);
  await group.run(4);
  assert.ok(DUTIES.every((duty) => group.holder(duty) === undefined));
  await group.run(6);
  await untilResolved(group, group.delete('return', machines[0]));
  assert.deepEqual(
    DUTIES.map((duty) => group.storedHolder(duty)?.token),
    tokensBefore,
  );
  assert.deepEqual(group.invariants.violations, []);
});

test('when the state service rejects the holder only, another controller takes over and the former holder notices the loss', async () => {
  const group = await settledGroup(11);
  const initialHolder = group.holder('rent') ?? assert.fail();
  group.rejectStateRequests(initialHolder, 8000);
  await group.until(
    'another controller holds the duty',
    () => (group.holder('rent') ?? initialHolder) !== initialHolder,
  );
  assert.deepEqual(await untilResolved(group, group.rent(1)).then(({ kind }) => kind), 'resolved');
  await group.run(10);
  assertLossNoticed(group, initialHolder, 'rent');
  assert.deepEqual(group.invariants.violations, []);
});
