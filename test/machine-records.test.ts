/** The store of machine records alone, outside a controller, with a state service whose requests can be delayed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IGNORED_ATTEMPT_EVENTS } from './sim/attempt-events.js';
import { Cluster } from './sim/cluster.js';
import { clientRuntime } from './sim/client-runtime.js';
import { StateStore } from '../src/state-store/client.js';
import { MachineRecordStore } from '../src/workers/machine-record-store.js';
import { type Machine } from '../src/workers/machine.js';
import { MachineTable } from '../src/workers/machine-table.js';

/** Creates a store that always acts as the leader's, on a table of machines and a simulated state service. */
function machineRecordsFixture(): {
  cluster: Cluster;
  table: MachineTable;
  machineRecords: MachineRecordStore;
  add: (id: string) => Machine;
  stored: () => string[];
} {
  const cluster = new Cluster({ seed: 19, ordinaryUp: 0 });
  const runtime = clientRuntime(cluster);
  cluster.network.lossRate = 0;
  cluster.network.repeatRate = 0;
  cluster.state.putDirectly('boss', {});
  const store = new StateStore(runtime, { address: 'state:1', nodes: 1, rps: 100, writeRps: 50 });
  const table = new MachineTable(1, 8000, () => undefined, IGNORED_ATTEMPT_EVENTS);
  const type = {
    name: 't',
    cpus: 8,
    gpus: 0,
    memoryGb: 8,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 1,
    bootS: 1,
    zones: ['a'],
  };
  const machineRecords = new MachineRecordStore({
    runtime,
    store,
    table,
    maxMutations: 12,
    maxValueBytes: 4096,
    isLeader: () => true,
    leaderPrecondition: () => ({ key: 'boss', version: cluster.state.items.get('boss')!.version }),
    machinesStored: () => undefined,
  });
  const add = (id: string): Machine => {
    const machine = table.add(id, `${id}:1`, type, 'a', false, 0);
    machine.reported = true;
    machineRecords.tick();
    return machine;
  };
  const stored = (): string[] => {
    const page = cluster.state.value('m/page-0') as { machines: { id: string }[] };
    return page.machines.map((m) => m.id).sort();
  };
  return { cluster, table, machineRecords, add, stored };
}

test('a page write that is applied late does not overwrite machines stored since', async () => {
  const { cluster, table, machineRecords, add, stored } = machineRecordsFixture();
  // The first write is delayed in the network and times out; it arrives after the second has been applied.
  cluster.network.partitions.push({
    a: (host) => host === 'n9:80',
    b: () => true,
    until: cluster.clock.time + 6000,
    mode: 'hold',
  });
  add('i-1');
  await cluster.run(2.4);
  cluster.network.partitions = [];
  add('i-2');
  for (let step = 0; step < 35; step++) {
    machineRecords.tick();
    await cluster.run(0.2);
  }
  assert.deepEqual(stored(), ['i-1', 'i-2']);
  assert.deepEqual(
    [...table.all()].map((m) => m.stored),
    [true, true],
  );
});

test('a removed machine counts as stored only after it has been written again', async () => {
  const { cluster, machineRecords, add, stored } = machineRecordsFixture();
  const run = async (seconds: number): Promise<void> => {
    for (let step = 0; step < seconds * 5; step++) {
      machineRecords.tick();
      await cluster.run(0.2);
    }
  };
  add('i-1');
  await run(1);
  const machine = add('i-2');
  // Removed while the write that contains it is in flight.
  machineRecords.removeRecord(machine);
  machine.reported = false;
  await run(1);
  assert.equal(machine.stored, false);
  await run(8);
  assert.deepEqual(stored(), ['i-1']);
  machine.reported = true;
  await run(2);
  assert.equal(machine.stored, true);
  assert.deepEqual(stored(), ['i-1', 'i-2']);
  machineRecords.removeRecord(machine);
  assert.equal(machine.stored, false);
});
