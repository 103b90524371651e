/** Stores which machines may have tasks, many machines per record, so that a new leader finds all of them. */
import type {
  CompareAndSwapResult,
  KeyValue,
  Mutation,
  Precondition,
} from '@millring/state-access';
import { type Runtime, sleep } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import type { Machine } from './machine.js';
import { type MachinePage, selectPages } from './machine-page.js';
import { MachinePages } from './machine-pages.js';
import { type MachineRecord, recordOf } from './machine-records.js';
import type { MachineTable } from './machine-table.js';

/** Dependencies of the store of machine records. */
export interface MachineRecordStoreDependencies {
  runtime: Runtime;
  store: StateStore;
  table: MachineTable;
  /** Maximum number of mutations of one compare-and-swap. */
  maxMutations: number;
  /** Maximum size of a value, in bytes of JSON. */
  maxValueBytes: number;
  isLeader(): boolean;
  leaderPrecondition(): Precondition;
  /** Called when further machines are stored, so that commands may be sent to them. */
  machinesStored(): void;
}

/** Delay of removals: a machine that no longer exists, but is still stored, only costs a probe after a failover. */
const REMOVAL_DELAY_MS = 700;
const MAX_PAGES_PER_WRITE = 6;
const MIN_VALUE_BYTES = 512;
const READ_RETRY_MS = 200;

/**
 * Keeps every machine in the state service from before its first command until it is guaranteed to have no tasks, so
 * that a new leader knows all machines that may have tasks. Many machines share a record, since the rate of mutations
 * is limited: storing the first hundreds of machines takes a few mutations.
 */
export class MachineRecordStore {
  private writing = false;
  private readonly pages = new MachinePages();
  /** Maximum size of a page's value, in bytes of JSON; reduced after a write was refused because of its size. */
  private maxValueBytes: number;
  private maxPagesPerWrite: number;

  constructor(private readonly deps: MachineRecordStoreDependencies) {
    this.maxValueBytes = deps.maxValueBytes;
    this.maxPagesPerWrite = Math.min(MAX_PAGES_PER_WRITE, deps.maxMutations);
  }

  /** Adds a page that was stored before this leader's term. */
  load(stored: KeyValue, records: MachineRecord[]): void {
    this.pages.load(stored, records, this.deps.runtime.clock.now());
  }

  /**
   * Removes the record of a machine that has no tasks any more. The machine itself may still exist; no task may be
   * placed on it before it is stored again.
   */
  removeRecord(machine: Machine): void {
    machine.stored = false;
    this.pages.remove(machine.id, this.deps.runtime.clock.now());
  }

  /** Writes the pages that are due, unless a write is in progress. */
  tick(): void {
    if (this.writing || !this.deps.isLeader()) return;
    const now = this.deps.runtime.clock.now();
    for (const machine of this.deps.table.all())
      if (!machine.stored && machine.reported && !this.pages.pageOf(machine.id))
        this.pages.add(recordOf(machine), this.maxValueBytes);
    const due = this.pages.due(now, REMOVAL_DELAY_MS);
    for (const page of due)
      if (page.exceeds(this.maxValueBytes)) this.pages.split(page, this.maxValueBytes);
    const selected = selectPages(due, this.maxPagesPerWrite);
    if (selected.length > 0) void this.write(selected);
  }

  private async write(pages: MachinePage[]): Promise<void> {
    const written = pages.flatMap((page) => [...page.machines.keys()]);
    const mutations = pages.map((page) => page.mutation());
    const preconditions = pages.map(({ key, version }) => ({ key, version }));
    const before = pages.map((page) => page.beginWrite());
    this.writing = true;
    const result = await this.deps.store.compareAndSwap(
      [this.deps.leaderPrecondition(), ...preconditions],
      mutations,
    );
    if (result.kind !== 'committed') {
      if (result.kind === 'invalid') this.shrink(pages);
      pages.forEach((page, i) => {
        page.writeFailed(before[i]);
      });
      // A rejected write is guaranteed not to be executed. After any other failure, only a read provides the versions
      // that the next write must require.
      if (result.kind !== 'rejected') for (const page of pages) await this.reloadVersion(page);
      this.writing = false;
      return;
    }
    this.writing = false;
    this.committed(pages, mutations, written, result);
    this.deps.machinesStored();
    this.tick();
  }

  private committed(
    pages: MachinePage[],
    mutations: Mutation[],
    written: string[],
    { revision }: Extract<CompareAndSwapResult, { kind: 'committed' }>,
  ): void {
    mutations.forEach((mutation, i) => {
      pages[i].splitOff = [];
      pages[i].version = 'remove' in mutation ? 0 : revision;
    });
    // A machine that was removed during the write does not count as stored: it has no page now, or another one, and its
    // former page is due again.
    for (const id of written) {
      const machine = this.deps.table.get(id);
      const page = this.pages.pageOf(id);
      if (machine && page && pages.includes(page)) machine.stored = true;
    }
    for (const page of pages) this.pages.dropIfEmpty(page);
  }

  /** Reduces the pages per write, or their size, after a write was refused although it was within the known limits. */
  private shrink(pages: MachinePage[]): void {
    if (pages.length > 1) this.maxPagesPerWrite = pages.length >> 1;
    else this.maxValueBytes = Math.max(MIN_VALUE_BYTES, this.maxValueBytes / 2);
  }

  private async reloadVersion(page: MachinePage): Promise<void> {
    while (this.deps.isLeader()) {
      const result = await this.deps.store.get(page.key);
      if (result.kind !== 'unavailable') {
        page.version = result.kind === 'found' ? result.entry.version : 0;
        return;
      }
      await sleep(this.deps.runtime.clock, READ_RETRY_MS);
    }
  }
}
