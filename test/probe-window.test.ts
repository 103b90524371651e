/** The number of concurrent probes of a leader, which depends on whether its timers fire on time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProbeWindow } from '../src/workers/probe-window.js';

const REQUESTS = 160;
const ON_TIME_MS = 3;
const LATE_MS = 400;

test('the probe window shrinks while timers fire late and grows again step by step', () => {
  const probes = new ProbeWindow(REQUESTS);
  const initialSize = probes.size();
  assert.equal(probes.isCongested(), false);
  probes.recordTimerDelay(LATE_MS);
  assert.ok(probes.size() <= initialSize / 2 && probes.isCongested());
  for (let i = 0; i < 50; i++) probes.recordTimerDelay(LATE_MS);
  assert.ok(probes.size() > 0, 'unreachable machines are still probed');
  let previousSize = probes.size();
  for (let i = 0; i < 50; i++) {
    probes.recordTimerDelay(ON_TIME_MS);
    assert.ok(
      probes.size() >= previousSize && probes.size() - previousSize <= REQUESTS / 8,
      'the window grows in small steps',
    );
    previousSize = probes.size();
  }
  assert.equal(probes.isCongested(), false);
  assert.ok(
    previousSize > initialSize && previousSize < REQUESTS,
    'some requests are always left for commands',
  );
});

test('the probe window of a controller with a low request limit stays within that limit', () => {
  const probes = new ProbeWindow(10);
  for (let i = 0; i < 20; i++) probes.recordTimerDelay(ON_TIME_MS);
  assert.ok(probes.size() >= 1 && probes.size() <= 10);
});
