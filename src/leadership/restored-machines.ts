/** Adds the machines that former leaders stored to a new leader's table. */
import type { KeyValue } from '@millring/state-access';
import type { MachineRecordStore } from '../workers/machine-record-store.js';
import { readMachinePage } from '../workers/machine-records.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { MachineType } from '../wire/model.js';
import type { FailoverRecovery } from './failover-recovery.js';

/** The components that the machines are added to, and the input for it. */
export interface RestoredMachinesDependencies {
  table: MachineTable;
  machineRecords: MachineRecordStore;
  recovery: FailoverRecovery;
  types: readonly MachineType[];
  now: number;
}

/**
 * Each machine must be reconciled before the leader acts on jobs that were created before its term, since it may run
 * their tasks.
 * Machines of a type that the cloud no longer offers are skipped.
 */
export function restoreMachines(
  pages: readonly KeyValue[],
  deps: RestoredMachinesDependencies,
): void {
  for (const page of pages) restorePage(page, deps);
}

function restorePage(
  page: KeyValue,
  { table, machineRecords, recovery, types, now }: RestoredMachinesDependencies,
): void {
  const records = readMachinePage(page);
  machineRecords.load(page, records);
  for (const { id, endpoint, type: typeName, zone, spot } of records) {
    const type = types.find((known) => known.name === typeName);
    if (!type || table.get(id)) continue;
    const machine = table.add(id, endpoint, type, zone, spot, now);
    machine.stored = true;
    recovery.expectReconciliation(machine);
  }
}
