/** Puts the stored machines of former leaders into a new leader's table. */
import type { KeyValue } from '@millring/state-access';
import type { MachineRecordStore } from '../workers/machine-record-store.js';
import { readMachinePage } from '../workers/machine-records.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { MachineType } from '../wire/model.js';
import type { FailoverRecovery } from './failover-recovery.js';

/** Where the machines go. */
export interface RestoredMachinesDependencies {
  table: MachineTable;
  machineRecords: MachineRecordStore;
  recovery: FailoverRecovery;
  types: readonly MachineType[];
  now: number;
}

/**
 * Each machine has to be reconciled before old jobs are acted on, since it may hold tasks of a former leader. Machines
 * of a type that the cloud does not offer any more are skipped.
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
