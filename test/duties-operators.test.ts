/** Duties: malformed records, commands of operators, and removal of resolved intents. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyOperator } from '@millring/duties';
import { clientRuntime } from './sim/client-runtime.js';
import { StateStore } from '../src/state-store/client.js';
import type { DutyGroup } from './sim/duty-group.js';
import { untilResolved, settledGroup, rentMachines } from './sim/duty-scenarios.js';

test('malformed and unknown records are neither acted on nor replaced, and logged once', async () => {
  const group = await settledGroup(17);
  const calls = group.provider.calls.length;
  group.state.putDirectly('duties/intents/x', {
    id: 'x',
    duty: 'return',
    action: { kind: 'burn' },
  });
  group.state.putDirectly('duties/intents/y', { ...validIntent('y'), duty: 'dance' });
  group.state.putDirectly('duties/intents/z', { ...validIntent('z'), duty: 'rent' });
  group.state.putDirectly('duties/holders/dance', { controller: 'n9', process: 'p', token: 1 });
  await group.run(10);
  assert.equal(group.provider.calls.length, calls);
  for (const key of [
    'duties/intents/x',
    'duties/intents/y',
    'duties/intents/z',
    'duties/holders/dance',
  ]) {
    assert.ok(group.state.items.has(key), key);
    const logged = group.logLines.filter(
      ({ name, fields }) => name === 'n0' && (fields as { key?: string }).key === key,
    );
    assert.equal(logged.length, 1, key);
  }
});

test('a malformed holder record prevents the duty from being acquired until an operator runs the release command', async () => {
  const group = await settledGroup(18);
  group.invariants.operatorActed = true;
  group.state.putDirectly('duties/holders/rent', { who: 'knows' });
  await group.run(10);
  assert.equal(group.holder('rent'), undefined);
  assert.equal((await runCommand(group, (operator) => operator.release('rent'))).kind, 'done');
  await group.until('the duty is held again', () => group.holder('rent') !== undefined);
  assert.deepEqual(
    group.invariants.violations.filter((line) => !line.includes('holder_token')),
    [],
  );
});

function validIntent(id: string): object {
  return {
    id,
    duty: 'return',
    action: { kind: 'delete', machines: ['m'] },
    openedMs: 0,
    outcome: null,
    token: null,
  };
}

async function runCommand<T>(
  group: DutyGroup,
  command: (operator: DutyOperator) => Promise<T>,
): Promise<T> {
  group.invariants.operatorActed = true;
  const store = new StateStore(clientRuntime(group), {
    address: 'state:1',
    nodes: 1,
    rps: 100,
    writeRps: 50,
  });
  const operator = new DutyOperator({
    store,
    by: 'operator-1',
    wallMs: () => 1e12 + group.clock.time,
  });
  let result: T | null = null;
  void command(operator).then((r) => (result = r));
  await group.until('the command of the operator ends', () => result !== null);
  return result ?? assert.fail();
}

test('a duty blocked by an operator has no holder, and its intents are executed once it is unblocked', async () => {
  const group = await settledGroup(19);
  const machines = await rentMachines(group, 1);
  assert.equal((await runCommand(group, (operator) => operator.hold('return'))).kind, 'done');
  assert.equal((await runCommand(group, (operator) => operator.hold('return'))).kind, 'refused');
  const opened = group.delete('return', machines[0]);
  // A lost watch response may delay the holder's view of the hold, by less than this time.
  await group.run(12);
  assert.equal(group.holder('return'), undefined);
  assert.equal(group.provider.machines.size, 1);
  const status = await runCommand(group, (operator) => operator.status());
  assert.ok(status.kind === 'status');
  const returnStatus = status.duties.find(({ duty }) => duty === 'return');
  assert.deepEqual(
    [returnStatus?.holder, returnStatus?.hold?.by, returnStatus?.openIntents],
    [null, 'operator-1', 1],
  );
  assert.equal((await runCommand(group, (operator) => operator.release('return'))).kind, 'done');
  assert.equal((await untilResolved(group, opened)).kind, 'resolved');
  assert.equal(group.provider.machines.size, 0);
});

test('the release command of an operator takes a duty from its holder, and another controller acquires it', async () => {
  const group = await settledGroup(20);
  await group.run(5);
  const initialHolder = group.holder('reclaim') ?? assert.fail();
  assert.equal((await runCommand(group, (operator) => operator.release('reclaim'))).kind, 'done');
  await group.until(
    'another controller holds the duty',
    () => (group.holder('reclaim') ?? initialHolder) !== initialHolder,
  );
  assert.notEqual(group.storedHolder('reclaim')?.controller, initialHolder);
  assert.deepEqual(group.invariants.violations, []);
});

test('resolved intents are removed by the holder of the clean-up duty only', async () => {
  const group = await settledGroup(21);
  await rentMachines(group, 1);
  assert.equal((await runCommand(group, (operator) => operator.hold('clean-up'))).kind, 'done');
  await group.run(20);
  assert.equal(group.state.history('duties/intents/i-1').length > 0, true);
  assert.ok([...group.state.items.keys()].some((key) => key.startsWith('duties/intents/')));
  assert.equal((await runCommand(group, (operator) => operator.release('clean-up'))).kind, 'done');
  await group.until(
    'the intent is removed',
    () => ![...group.state.items.keys()].some((key) => key.startsWith('duties/intents/')),
  );
});
