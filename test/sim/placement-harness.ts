/** A placement alone, over a machine table whose machines are all reachable; nothing is sent. */
import type { JobTable } from '../../src/jobs/job-table.js';
import { Placement } from '../../src/placement/placement.js';
import type { Log } from '../../src/runtime.js';
import { defaultOperatorSettings } from '../../src/settings/operator.js';
import type { PlatformSettings } from '../../src/settings/platform.js';
import type { MachineType } from '../../src/wire/model.js';
import type { Machine } from '../../src/workers/machine.js';
import { MachineTable } from '../../src/workers/machine-table.js';
import { quietLog } from './quiet-log.js';

/** The base token of the table, which all machines have reported. */
const TOKEN = 100;
const LEASE_MS = 10_000;

/** Creates a placement at time 0, whose clock does not advance. */
export function createPlacement(
  jobs: JobTable,
  settings: Partial<PlatformSettings>,
  log: Log = quietLog,
): { table: MachineTable; placement: Placement } {
  const table: MachineTable = new MachineTable(TOKEN, LEASE_MS, (id) => jobs.get(id), {
    attemptAdded: (attempt) => {
      placement.attemptAdded(attempt);
    },
    fenceRequired: () => undefined,
    attemptEnded: (attempt) => {
      placement.attemptEnded(attempt);
    },
  });
  const placement: Placement = new Placement({
    runtime: {
      clock: { now: () => 0, after: () => () => undefined },
      http: { send: () => Promise.reject(new Error('nothing is sent')) },
      log,
      random: () => 0.5,
    },
    settings: { objectives: [], ...settings } as PlatformSettings,
    operator: defaultOperatorSettings(),
    jobs,
    table,
    attemptBase: 0,
    recoveryComplete: () => true,
    isUnreachable: () => false,
    wallMs: () => 0,
  });
  return { table, placement };
}

/** Adds machines `m0`, `m1` and so on, in zone `a`, that have reported the token. */
export function addMachines(table: MachineTable, count: number, type: MachineType): Machine[] {
  return Array.from({ length: count }, (_, i) =>
    Object.assign(table.add(`m${i}`, `m${i}:1`, type, 'a', false, 0), {
      stored: true,
      reported: true,
      reportedToken: TOKEN,
    } satisfies Partial<Machine>),
  );
}
