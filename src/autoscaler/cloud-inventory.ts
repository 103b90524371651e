/** Keeps the machine table consistent with the cloud's list of machines. */
import type { Runtime } from '../runtime.js';
import type { ListedMachine, MachineType } from '../wire/model.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import { mustHaveBooted } from './boot-timeout.js';
import type { Cloud } from './cloud.js';
import type { MachineDeletion } from './machine-deletion.js';

/** Dependencies of the cloud inventory on the leader and its settings. */
export interface CloudInventoryDependencies {
  runtime: Runtime;
  cloud: Cloud;
  table: MachineTable;
  types: MachineType[];
  /** Maximum age of the data in the cloud's list, in seconds. */
  listLagS: number;
  isLeader(): boolean;
}

const MIN_LIST_INTERVAL_MS = 3000;
const LIST_AGE_SLACK_MS = 1000;

/** Adds unknown machines, marks machines that are missing from the list, and has failed machines deleted. */
export class CloudInventory {
  private lastReadAt = -Infinity;
  private isReading = false;

  /** `startedAt` is the time at which the leader's term began. */
  constructor(
    private readonly deps: CloudInventoryDependencies,
    private readonly deletion: MachineDeletion,
    private readonly startedAt: number,
  ) {}

  /** Reads the list again once the interval has passed. The interval depends on the lag and the length of the list. */
  readIfDue(now: number): void {
    if (now - this.lastReadAt > this.intervalMs() && !this.isReading) void this.read(now);
  }

  private intervalMs(): number {
    const lagIntervalMs = Math.max(MIN_LIST_INTERVAL_MS, this.deps.listLagS * 500);
    return Math.max(lagIntervalMs, this.deps.cloud.minListIntervalMs());
  }

  private async read(requestedAt: number): Promise<void> {
    const { cloud, runtime } = this.deps;
    this.isReading = true;
    this.lastReadAt = requestedAt;
    const list = await cloud.listMachines(() => this.deps.isLeader());
    this.isReading = false;
    if (!list || !this.deps.isLeader()) return;
    const now = runtime.clock.now();
    const failed: Machine[] = [];
    for (const listed of list) {
      if (this.deletion.isDeleted(listed.id)) continue;
      const machine = this.record(listed, now);
      if (machine && listed.state === 'failed') failed.push(machine);
    }
    this.markUnlisted(requestedAt, now);
    if (failed.length > 0) void this.deletion.delete(failed, 'reclaim', 'failed');
  }

  /** Returns null if the catalog does not contain the machine's type. */
  private record(listed: ListedMachine, now: number): Machine | null {
    const machine = this.deps.table.get(listed.id) ?? this.add(listed, now);
    if (!machine) return null;
    machine.listedAt = now;
    if (!machine.endpoint) machine.endpoint = listed.endpoint;
    return machine;
  }

  private add(listed: ListedMachine, now: number): Machine | null {
    const { table, types } = this.deps;
    const type = types.find((candidate) => candidate.name === listed.type);
    if (!type) return null;
    const machine = table.add(listed.id, listed.endpoint, type, listed.zone, listed.spot, now);
    machine.rentedAt = now - listed.ageS * 1000;
    // The machine has been up for long enough to be stored, but is not: a former leader removed its record when its
    // lease expired. It may become reachable again.
    machine.leaseExpired = listed.state === 'running' && mustHaveBooted(listed.ageS, type.bootS);
    return machine;
  }

  /**
   * Marks the machines that the list does not contain although they must have existed when it was requested. The
   * maximum age of the list counts back from `requestedAt`, not from `now`: a long list takes seconds to read, so its
   * first page may describe a time before `requestedAt`.
   */
  private markUnlisted(requestedAt: number, now: number): void {
    const maxListAgeMs = 2 * this.deps.listLagS * 1000 + LIST_AGE_SLACK_MS;
    for (const machine of this.deps.table.all())
      machine.unlisted =
        machine.listedAt !== now &&
        requestedAt - (machine.rentedAt ?? this.startedAt) > maxListAgeMs;
  }
}
