/** The codec of the stand-ins: what the protocol does not know is a fault, so that no assertion rests on a guess. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeCloudRequest } from './sim/wire/cloud.js';
import { decodeStateRequest } from './sim/wire/state.js';
import { decodeJobResponse } from './sim/wire/users.js';
import { decodeHeartbeatResponse } from './sim/wire/workers.js';

test('answers to users name the job and a state that users know', () => {
  const reply = (body: Record<string, unknown>) => () => decodeJobResponse({ status: 200, body });
  assert.throws(reply({}));
  assert.throws(reply({ id: 'run-1' }));
  assert.throws(reply({ id: 'run-1', condition: 'finished' }));
  assert.throws(reply({ id: 'run-1', condition: 'running', done: '3', running: 1 }));
  assert.deepEqual(reply({ id: 'run-1', condition: 'done' })().job, { id: 'run-1', state: 'done' });
  assert.equal(decodeJobResponse({ status: 404, body: {} }).job, null);
});

test('commands and requests that the protocol does not know are faults of their sender', () => {
  assert.throws(() =>
    decodeHeartbeatResponse({ orders: [{ order: 'halt', sack: 'run-1/0', try: 1 }] }),
  );
  assert.throws(() =>
    decodeHeartbeatResponse({ orders: [{ order: 'stop', sack: 'run-1/0', try: 1 }] }),
  );
  assert.throws(() => decodeCloudRequest('/machines', { hire: 'r-1' }));
  assert.throws(() => decodeCloudRequest('/prices', {}));
  assert.throws(() => decodeStateRequest('GET', '/kv', {}));
  assert.throws(() => decodeStateRequest('POST', '/txn', { then: [{ put: 5 }] }));
});
