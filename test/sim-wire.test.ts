/** Codecs of the simulated services: they reject messages outside the protocol, so that no test relies on one. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeCloudRequest } from './sim/wire/cloud.js';
import { decodeStateRequest } from './sim/wire/state.js';
import { decodeJobResponse } from './sim/wire/users.js';
import { decodeHeartbeatResponse } from './sim/wire/workers.js';

test('a job response with a missing or invalid field is rejected, and a valid one is decoded', () => {
  const decode = (body: Record<string, unknown>) => () => decodeJobResponse({ status: 200, body });
  assert.throws(decode({}));
  assert.throws(decode({ id: 'run-1' }));
  assert.throws(decode({ id: 'run-1', condition: 'finished' }));
  assert.throws(decode({ id: 'run-1', condition: 'running', done: '3', running: 1 }));
  assert.deepEqual(decode({ id: 'run-1', condition: 'done' })().job, {
    id: 'run-1',
    state: 'done',
  });
  assert.equal(decodeJobResponse({ status: 404, body: {} }).job, null);
});

test('worker commands and service requests outside the protocol are rejected', () => {
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
