/**
 * Writes of duties and intents that are applied late, or whose response is lost. The decider is the controller that
 * opens intents: in a cluster, the leader.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyGroup } from './sim/duty-group.js';
import { untilResolved, settledGroup, rentMachines } from './sim/duty-scenarios.js';

/** Makes writes of intents within the next `forMs` milliseconds apply `byMs` later, without a response. */
function delayIntentWrites(
  group: DutyGroup,
  { forMs, byMs }: { forMs: number; byMs: number },
): void {
  const until = group.clock.time + forMs;
  group.state.lateWrites = { share: 1, until, byMs, prefix: 'duties/intents/' };
}

/** The provider takes this long for a request, so that it is in flight while a test acts. */
const PROVIDER_DELAY_MS = 300;

/** Opens a deletion with a slow provider, and waits until the intent is stored. */
async function storedDeletion(
  group: DutyGroup,
  machine: string,
): Promise<{ opened: ReturnType<DutyGroup['delete']> }> {
  group.provider.delay = () => new Promise((done) => group.clock.after(PROVIDER_DELAY_MS, done));
  const opened = group.delete('return', machine);
  await group.until('the intent is stored', () => group.openIntentCount() > 0);
  return { opened };
}

// A claim whose response was lost must be removed.
test('claims that are applied late and without a response do not prevent a duty from being held', async () => {
  const group = new DutyGroup({ seed: 28 });
  group.state.lateWrites = { share: 1, until: 1500, byMs: 2500, prefix: 'duties/tokens/' };
  await group.run(3);
  await group.untilAllHeld();
  assert.deepEqual(group.invariants.violations, []);
});

// The write that resolves an intent must have the holder record of the duty as a precondition.
test('a write of the former holder that arrives after the intent was resolved changes nothing', async () => {
  const group = await settledGroup(9);
  const machines = await rentMachines(group, 2);
  const initialHolder = group.holder('return') ?? assert.fail();
  const tokenBefore = group.storedHolder('return')?.token ?? 0;
  const { opened } = await storedDeletion(group, machines[0]);
  delayIntentWrites(group, { forMs: 1000, byMs: 9000 });
  await group.run(0.8);
  group.freeze(initialHolder, 8000);
  await untilResolved(group, opened);
  await group.run(12);
  const intent = [...group.invariants.intents.values()].find(({ duty }) => duty === 'return');
  assert.ok((intent?.token ?? 0) > tokenBefore, 'resolved by the successor');
  assert.deepEqual(group.invariants.violations, []);
});

// The write of an intent must have the claim of the decider as a precondition.
test('an intent of a former decider that is applied late is not stored', async () => {
  const group = await settledGroup(22);
  const machines = await rentMachines(group, 1);
  delayIntentWrites(group, { forMs: 500, byMs: 6000 });
  const opened = group.delete('return', machines[0]);
  await group.run(0.4);
  group.replaceDecider();
  await group.run(0.2);
  assert.deepEqual(await untilResolved(group, opened), { kind: 'not-stored' });
  await group.run(10);
  assert.equal(group.provider.executed('return').length, 0);
  assert.equal(group.state.history('duties/intents/i-2').length, 0);
});

// An intent whose write got no response must be written again unchanged, and followed until it is resolved.
test('an intent whose write gets no response is stored once, and the decider learns its outcome', async () => {
  const group = await settledGroup(23);
  const machines = await rentMachines(group, 1);
  delayIntentWrites(group, { forMs: 500, byMs: 3000 });
  assert.equal((await untilResolved(group, group.delete('return', machines[0]))).kind, 'resolved');
  await group.run(20);
  assert.equal(group.provider.machines.size, 0);
  assert.equal(group.openIntentCount(), 0);
  assert.deepEqual(group.invariants.violations, []);
});

// The holder record must be a precondition also where the intent itself is unchanged.
test('a late write of the former holder does not resolve an intent that its successor has not executed yet', async () => {
  const group = await settledGroup(29);
  const machines = await rentMachines(group, 1);
  const initialHolder = group.holder('return') ?? assert.fail();
  const { opened } = await storedDeletion(group, machines[0]);
  delayIntentWrites(group, { forMs: 1000, byMs: 6000 });
  await group.run(0.8);
  group.freeze(initialHolder, 20_000);
  group.provider.failure = { unavailable: true, dropsResponses: false };
  await group.run(10);
  assert.equal(group.openIntentCount(), 1);
  group.provider.failure = { unavailable: false, dropsResponses: false };
  await untilResolved(group, opened);
  assert.deepEqual(group.invariants.violations, []);
});

// The write that resolves an intent must have the version of the intent as a precondition.
test('a late copy of the resolving write does not restore an intent that was cleaned up', async () => {
  const group = await settledGroup(30);
  const machines = await rentMachines(group, 1);
  const { opened } = await storedDeletion(group, machines[0]);
  delayIntentWrites(group, { forMs: 600, byMs: 25_000 });
  await untilResolved(group, opened);
  await group.run(40);
  assert.equal(group.state.history('duties/intents/i-2').length, 2, 'opened and resolved');
  assert.ok(![...group.state.items.keys()].some((key) => key.startsWith('duties/intents/')));
});

// The removal of a holder record must have its version as a precondition.
test('a release that is applied late does not take the duty from its next holder', async () => {
  const group = await settledGroup(37);
  const initialHolder = group.holder('return') ?? assert.fail();
  group.state.lateWrites = {
    share: 1,
    until: group.clock.time + 500,
    byMs: 9000,
    prefix: 'duties/holders/return',
  };
  void group.member(initialHolder).holder('return').release('by the test');
  await group.until(
    'another controller holds the duty',
    () => (group.holder('return') ?? initialHolder) !== initialHolder,
  );
  const next = group.storedHolder('return');
  await group.run(12);
  assert.deepEqual(group.storedHolder('return'), next);
  assert.deepEqual(group.invariants.violations, []);
});
