/** Health of a controller as reported to health checks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Health, HealthCheck } from '../src/health.js';

interface Node {
  check: HealthCheck;
  now: number;
  unavailableForMs: number;
  mayServe: boolean;
  knowsMachineTypes: boolean;
}

function nodeWith(options: { hasPeers: boolean }): Node {
  const node: Omit<Node, 'check'> = {
    now: 10_000,
    unavailableForMs: 0,
    mayServe: true,
    knowsMachineTypes: true,
  };
  const check = new HealthCheck({
    clock: { now: () => node.now, after: () => () => undefined },
    store: { unavailableForMs: () => node.unavailableForMs },
    rollout: { mayServe: () => node.mayServe, reason: () => 'another level' },
    machineTypes: { types: () => (node.knowsMachineTypes ? [] : null) },
    hasPeers: options.hasPeers,
  });
  return Object.assign(node, { check });
}

const HEALTHY: Health = { kind: 'healthy' };
const NOT_SERVED: Health = {
  kind: 'unhealthy',
  reason: 'the state service does not serve this controller',
};

test('a controller that may not serve, or does not know the machine types, is unhealthy and reports the reason', () => {
  const node = nodeWith({ hasPeers: true });
  assert.deepEqual(node.check.health(), HEALTHY);
  node.knowsMachineTypes = false;
  assert.deepEqual(node.check.health(), {
    kind: 'unhealthy',
    reason: 'the machine types are not known yet',
  });
  node.mayServe = false;
  assert.deepEqual(node.check.health(), { kind: 'unhealthy', reason: 'another level' });
});

test('a controller is unhealthy if the state service is unavailable to it alone, and healthy in an outage for all controllers', () => {
  const node = nodeWith({ hasPeers: true });
  node.unavailableForMs = 1499;
  node.check.recordPeerStatus('n1', true);
  assert.deepEqual(node.check.health(), HEALTHY, 'the fault may be transient');
  node.unavailableForMs = 1500;
  assert.deepEqual(node.check.health(), NOT_SERVED);
  node.check.recordPeerStatus('n1', false);
  assert.deepEqual(node.check.health(), HEALTHY);
  node.check.recordPeerStatus('n2', true);
  assert.deepEqual(node.check.health(), NOT_SERVED);
});

test('a controller without recent peer reports is unhealthy if the state service is unavailable to it, unless it has no peers', () => {
  const node = nodeWith({ hasPeers: true });
  node.unavailableForMs = 5000;
  node.check.recordPeerStatus('n1', false);
  node.now += 1499;
  assert.deepEqual(node.check.health(), HEALTHY);
  node.now += 1;
  assert.deepEqual(node.check.health(), NOT_SERVED, 'the report of the peer is too old');
  const alone = nodeWith({ hasPeers: false });
  alone.unavailableForMs = 5000;
  assert.deepEqual(alone.check.health(), HEALTHY);
});
