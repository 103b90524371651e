/** The recovery after a failover with many machines: its cost, and the precedence of leases over new tasks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FailoverRecovery } from '../src/leadership/failover-recovery.js';
import type { Machine } from '../src/workers/machine.js';
import type { TaskAttempt } from '../src/workers/task-attempt.js';
import { TrackedMachine } from '../src/workers/tracked-machine.js';
import type { MachineType } from '../src/wire/model.js';
import type { MachineTable } from '../src/workers/machine-table.js';
import { quietLog } from './sim/quiet-log.js';

const MACHINES = 4000;
const LEASE_MS = 20_000;
const TYPE: MachineType = {
  name: 'm',
  cpus: 16,
  gpus: 0,
  memoryGb: 64,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.3,
  bootS: 20,
  zones: ['a'],
};

/** Returns machines in the order in which they were stored, a recovery that awaits them, and the number of reads. */
function recoveryAwaitingMachines(): {
  machines: Machine[];
  recovery: FailoverRecovery;
  reads: () => number;
} {
  const machines = Array.from(
    { length: MACHINES },
    (_, i) => new TrackedMachine<TaskAttempt>(i, `i-${i}`, `i-${i}:1`, TYPE, 'a', false, 100, 0),
  );
  const byId = new Map(machines.map((m) => [m.id, m]));
  let reads = 0;
  for (const machine of machines) {
    let awaited = false;
    Object.defineProperty(machine, 'awaitingReconciliation' satisfies keyof Machine, {
      get: () => {
        reads++;
        return awaited;
      },
      set: (value: boolean) => (awaited = value),
    });
  }
  const table = {
    get: (id: string) => byId.get(id),
    size: () => byId.size,
  } satisfies Partial<MachineTable> as unknown as MachineTable;
  const recovery = new FailoverRecovery(table, LEASE_MS, quietLog, () => 0);
  for (const machine of machines) recovery.expectReconciliation(machine);
  return { machines, recovery, reads: () => reads };
}

// A heartbeat must not read every machine: that would be 16 million reads at the time when a new leader is busiest.
test('a recovery with 4,000 machines checks each machine once, in whatever order the machines report', () => {
  for (const inReverse of [false, true]) {
    const { machines, recovery, reads } = recoveryAwaitingMachines();
    if (inReverse) machines.reverse();
    machines.forEach((machine, i) => {
      assert.equal(recovery.isComplete(), false, `${i} machines have reported`);
      machine.awaitingReconciliation = false;
      assert.equal(recovery.tryComplete(0), i === MACHINES - 1);
    });
    assert.ok(recovery.isComplete());
    // One read per report, one per machine, and one count of all machines for the log.
    assert.ok(reads() <= 3 * MACHINES, `${reads()} reads`);
  }
});

// A congested new leader must renew leases before it starts tasks of new jobs. In one incident it started 1285 of these
// while 971 other tasks were lost because no controller renewed their leases.
test('while a recovering leader is congested, lease renewals take precedence over new tasks for half a lease at most', () => {
  const { machines, recovery } = recoveryAwaitingMachines();
  const beganAt = 5000;
  recovery.begin(beganAt);
  assert.equal(recovery.mayPlace(true, beganAt + 100), false);
  assert.equal(
    recovery.mayPlace(false, beganAt + 100),
    true,
    'placement does not wait while the controller keeps up',
  );
  assert.equal(recovery.mayPlace(true, beganAt + LEASE_MS / 2 + 1), true);
  for (const machine of machines) machine.awaitingReconciliation = false;
  assert.ok(recovery.tryComplete(beganAt + 200));
  assert.equal(recovery.mayPlace(true, beganAt + 200), true, 'every machine is known');
});
