/**
 * The autoscaler with a fake cloud that only records calls: failure detection, scale-out and scale-in; also when
 * `MachineTable` measures run times.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { AutoscalerHarness, LEASE_S, TYPE } from './sim/autoscaler-harness.js';

const machineIds = (zone: string): string[] => [...Array(10).keys()].map((i) => `${zone}${i}`);

test('no machines are requested in a zone that is unreachable as a whole, and its machines are kept, except those with replicas whose leases nobody extends', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(5, () => true);
  for (const machine of harness.table.all())
    machine.serviceTasks = Number(machine.id.slice(1)) < 3 ? 1 : 0;
  await harness.advance(LEASE_S * 0.7, (m) => m.zone !== 'c');
  assert.equal(
    harness.deleted.size,
    0,
    'the zone may become reachable again, and its tasks keep running',
  );
  harness.requestedZones.clear();
  await harness.advance(LEASE_S * 0.25, (m) => m.zone !== 'c');
  assert.deepEqual([...harness.deleted].sort(), ['c0', 'c1', 'c2']);
  await harness.advance(40, (m) => m.zone !== 'c');
  assert.equal(
    harness.deleted.size,
    3,
    'the other machines are kept rather than replaced by new ones',
  );
  await harness.advance(15, () => true);
  assert.ok(
    harness.requestedZones.has('a') && !harness.requestedZones.has('c'),
    'no machines are requested in the zone for a while',
  );
});

test('machines in a partitioned zone with controllers are kept for 90 s and deleted within 150 s', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(5, () => true);
  for (const machine of harness.table.all()) machine.serviceTasks = 1;
  await harness.advance(90, (m) => m.zone !== 'b');
  assert.equal(harness.deleted.size, 0);
  await harness.advance(60, (m) => m.zone !== 'b');
  assert.deepEqual([...harness.deleted].sort(), machineIds('b'));
});

test('when a partition heals, the machines of the zone get enough time to send a heartbeat', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(5, () => true);
  await harness.advance(14, (m) => m.zone !== 'b');
  // Half of them report a second or two later than the others; one stays unreachable.
  await harness.advance(2, (m) => m.zone !== 'b' || Number(m.id.slice(1)) < 5);
  await harness.advance(12, (m) => m.id !== 'b9');
  assert.deepEqual([...harness.deleted], ['b9']);
});

test('in a partitioned zone with controllers, machines with replicas are deleted shortly before extended leases expire, if the replicas can run elsewhere', async () => {
  for (const lostZones of ['b', 'bc']) {
    const harness = new AutoscalerHarness(20);
    await harness.advance(5, () => true);
    for (const machine of harness.table.all())
      machine.serviceTasks = machine.zone === 'b' && Number(machine.id.slice(1)) < 3 ? 1 : 0;
    harness.extendableUntil = harness.now + 15_000;
    await harness.advance(15 + LEASE_S * 0.75, (m) => !lostZones.includes(m.zone));
    assert.equal(harness.deleted.size, 0);
    await harness.advance(LEASE_S * 0.2, (m) => !lostZones.includes(m.zone));
    assert.deepEqual([...harness.deleted].sort(), lostZones === 'b' ? ['b0', 'b1', 'b2'] : []);
  }
});

test('unreachable machines that the cloud no longer lists are deleted at once, however many, also in a partitioned zone', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(12, () => true);
  for (const machine of harness.table.all())
    if (machine.zone === 'b' || machine.id === 'a1') harness.unlisted.add(machine.id);
  await harness.advance(6, (m) => !harness.unlisted.has(m.id));
  assert.deepEqual([...harness.deleted].sort(), ['a1', ...machineIds('b')]);
});

test('a machine that sends heartbeats but never acknowledges its token is deleted', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(5, () => true);
  for (let i = 0; i < 40; i++) {
    await harness.advance(1, () => true);
    for (const machine of harness.table.all()) {
      const token = harness.table.requestTokenAck(machine, harness.now, LEASE_S * 500);
      if (machine.id !== 'b4') machine.reportedToken = token;
    }
  }
  assert.deepEqual([...harness.deleted], ['b4']);
});

test('when machines of all zones become unreachable at once, the leader considers itself isolated and deletes none', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(5, () => true);
  await harness.advance(30, (m) => Number(m.id.slice(1)) < 5);
  assert.equal(harness.deleted.size, 0);
});

test('an unreachable machine is not deleted while the leader lags, but soon afterwards', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(5, () => true);
  harness.isLagging = true;
  await harness.advance(8, (m) => m.id !== 'a3');
  assert.equal(harness.deleted.size, 0);
  harness.isLagging = false;
  await harness.advance(1.5, (m) => m.id !== 'a3');
  assert.deepEqual([...harness.deleted], ['a3']);
});

test('after a failover, unreachable machines that delay the recovery are deleted within seconds, not after a lease, even if the leader lags or a whole zone without controllers is unreachable', async () => {
  const harness = new AutoscalerHarness(10);
  for (const machine of harness.table.all()) machine.commandFailures = 2;
  harness.isLagging = true;
  await harness.advance(6, (m) => m.zone !== 'c' && m.id !== 'a7');
  assert.deepEqual([...harness.deleted].sort(), ['a7', ...machineIds('c')]);
});

test('after a failover, no machine is deleted in a partitioned zone whose controllers may extend leases', async () => {
  const harness = new AutoscalerHarness(10);
  for (const machine of harness.table.all()) machine.commandFailures = 2;
  await harness.advance(30, (m) => m.zone !== 'b' && m.id !== 'a7');
  assert.deepEqual([...harness.deleted], ['a7']);
});

test('a new leader requests no machines in a partitioned zone and does not count on machines requested there earlier', async () => {
  const harness = new AutoscalerHarness(10);
  // The target is twice the demand plus 100 CPUs; with the 240 CPUs below there would be enough.
  harness.demand = 140;
  for (const machine of harness.table.all()) if (machine.zone === 'c') machine.commandFailures = 1;
  // Requested before the zone was partitioned: 240 CPUs that will not arrive.
  for (let i = 0; i < 30; i++) harness.table.add(`new${i}`, '', TYPE, 'c', false, 0).rentedAt = 0;
  await harness.advance(8, (m) => m.stored && m.zone !== 'c');
  assert.deepEqual([...harness.requestedZones].sort(), ['a', 'b']);
});

test('a new leader detects partitions before it requests machines', async () => {
  const harness = new AutoscalerHarness(10);
  await harness.advance(2, (m) => m.zone !== 'c' && m.id !== 'a0');
  assert.equal(harness.requestedZones.size, 0);
  await harness.advance(2, () => true);
  assert.ok(harness.requestedZones.size > 0);
});

test('without any demand, idle machines are deleted even if cost is not minimized', async () => {
  const harness = new AutoscalerHarness(5);
  await harness.advance(40, () => true);
  assert.equal(harness.deleted.size, 0, 'spare machines are kept while there is demand');
  harness.demand = 0;
  harness.requestedZones.clear();
  await harness.advance(20, () => true);
  assert.equal(harness.deleted.size, 15);
  assert.equal(harness.requestedZones.size, 0, 'no machines are requested either');
});

test('the run time of a task that is already running in its first report is not measured, since its start is unknown', () => {
  const harness = new AutoscalerHarness(1);
  const machine = harness.table.get('a0')!;
  const task = { job: 'run-1', taskNumber: 0, attempt: 1, cause: null };
  const heartbeat = {
    machine: 'a0',
    endpoint: 'a0:1',
    type: 't',
    zone: 'a',
    spot: false,
    incarnation: 1,
    token: 100,
    preemptionNoticeS: null,
  };
  harness.table.applyHeartbeat(
    machine,
    { ...heartbeat, sequence: 1, tasks: [{ ...task, state: 'running' }] },
    1000,
  );
  assert.equal([...machine.attempts.values()][0].runningSince, 0);
  harness.table.applyHeartbeat(
    machine,
    { ...heartbeat, sequence: 2, tasks: [{ ...task, taskNumber: 1, state: 'fetching' }] },
    2000,
  );
  harness.table.applyHeartbeat(
    machine,
    { ...heartbeat, sequence: 3, tasks: [{ ...task, taskNumber: 1, state: 'running' }] },
    3000,
  );
  const second = [...machine.attempts.values()].find(({ taskNumber }) => taskNumber === 1);
  assert.equal(second?.runningSince, 3000);
});
