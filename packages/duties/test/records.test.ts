/** Tests which stored values are accepted as records, and which state transitions are allowed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isAllowedTransition, type HolderState } from '../src/holder-state.js';
import { MAX_MACHINES_PER_DELETION } from '../src/limits.js';
import { type Intent, parseHolder, parseIntent, parseToken } from '../src/records.js';
import { DutiesView } from '../src/view.js';

const INTENT: Intent = {
  id: 'i-1',
  duty: 'return',
  action: { kind: 'delete', machines: ['m-1'] },
  openedMs: 1,
  outcome: null,
  token: null,
};

test('an intent with an invalid field, or with an action that does not match its duty, is rejected', () => {
  assert.equal(parseIntent(INTENT).kind, 'valid');
  const invalidFields: object[] = [
    { duty: 'dance' },
    { duty: 'rent' },
    { action: { kind: 'burn', machines: ['m-1'] } },
    { action: { kind: 'delete', machines: [] } },
    {
      action: {
        kind: 'delete',
        machines: Array.from({ length: MAX_MACHINES_PER_DELETION + 1 }, (_, i) => `m-${i}`),
      },
    },
    { action: { kind: 'rent', type: 't', zone: 'a', spot: false, count: 1 } },
    { outcome: { kind: 'deleted' } },
    { token: 3 },
    { id: '' },
  ];
  for (const overrides of invalidFields)
    assert.equal(
      parseIntent({ ...INTENT, ...overrides }).kind,
      'invalid',
      JSON.stringify(overrides),
    );
  assert.equal(parseIntent({ ...INTENT, outcome: { kind: 'deleted' }, token: 3 }).kind, 'valid');
});

test('a fencing token that is not an integer of at least 1 is rejected', () => {
  const holder = { controller: 'n0', process: 'p', token: 1 };
  assert.equal(parseHolder(holder).kind, 'valid');
  for (const token of [0, -1, 1.5, '1', null]) {
    assert.equal(parseHolder({ ...holder, token }).kind, 'invalid');
    assert.equal(parseToken({ token, controller: 'n0', sinceMs: 0 }).kind, 'invalid');
  }
});

test('a view reports a record that it cannot read, logs it once, and drops it when it is removed', () => {
  const logged: object[] = [];
  const view = new DutiesView({ error: (fields) => logged.push(fields) });
  view.load([{ key: 'duties/holders/rent', value: 7, version: 3 }], 3);
  assert.deepEqual(view.holder('rent'), { kind: 'unreadable', version: 3 });
  view.load([{ key: 'duties/holders/rent', value: 7, version: 3 }], 4);
  assert.equal(logged.length, 1);
  assert.deepEqual(view.unreadable(), ['duties/holders/rent']);
  view.apply([{ key: 'duties/holders/rent', value: null, version: 5, deleted: true }], 5);
  assert.deepEqual(view.holder('rent'), { kind: 'absent' });
  assert.equal(view.knownRevision(), 5);
});

test('the state machine of a duty rejects invalid transitions, and allows a suspended duty to become held or lost', () => {
  const forbidden: [HolderState, HolderState][] = [
    ['vacant', 'held'],
    ['lost', 'held'],
    ['lost', 'acquiring'],
    ['releasing', 'held'],
    ['acquiring', 'suspended'],
  ];
  for (const [from, to] of forbidden)
    assert.equal(isAllowedTransition(from, to), false, `${from} -> ${to}`);
  assert.ok(isAllowedTransition('suspended', 'held') && isAllowedTransition('suspended', 'lost'));
});
