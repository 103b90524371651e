/** Stores which machines may hold tasks, many machines a record, so that a new leader finds all of them. */
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

/** What the store of machine records needs. */
export interface MachineRecordStoreDependencies {
  runtime: Runtime;
  store: StateStore;
  table: MachineTable;
  /** Most mutations of one compare-and-swap. */
  txnOps: number;
  /** Most bytes of a value, counted as JSON. */
  valueBytes: number;
  isLeader(): boolean;
  leaderPrecondition(): Precondition;
  /** Commands may be sent to further machines. */
  machinesStored(): void;
}

/** A page left with machines that are gone costs a probe each after a failover: rewritten, but not at once. */
const REMOVAL_DELAY_MS = 700;
const MAX_PAGES_PER_WRITE = 6;
const MIN_VALUE_BYTES = 512;
const READ_RETRY_MS = 200;

/**
 * Every machine is in the state service before its first command, and until it is surely gone: so a new leader
 * knows all the machines that may hold tasks. Many machines share a record, since mutations are scarce: the
 * first hundreds of machines cost a few of them.
 */
export class MachineRecordStore {
  private writing = false;
  private readonly pages = new MachinePages();
  /** Smaller once a write was refused for its size. */
  private valueBytes: number;
  private maxPagesPerWrite: number;

  constructor(private readonly deps: MachineRecordStoreDependencies) {
    this.valueBytes = deps.valueBytes;
    this.maxPagesPerWrite = Math.min(MAX_PAGES_PER_WRITE, deps.txnOps);
  }

  /** A page found on becoming the leader. */
  load(stored: KeyValue, records: MachineRecord[]): void {
    this.pages.load(stored, records, this.deps.runtime.clock.now());
  }

  /** Nothing is on it any more, and nothing may be put on it before it is stored again. */
  removed(machine: Machine): void {
    machine.stored = false;
    this.pages.remove(machine.id, this.deps.runtime.clock.now());
  }

  /** Writes what is due, unless a write is under way. */
  tick(): void {
    if (this.writing || !this.deps.isLeader()) return;
    const now = this.deps.runtime.clock.now();
    for (const machine of this.deps.table.all())
      if (!machine.stored && machine.reported && !this.pages.pageOf(machine.id))
        this.pages.add(recordOf(machine), this.valueBytes);
    const due = this.pages.due(now, REMOVAL_DELAY_MS);
    for (const page of due)
      if (page.isOver(this.valueBytes)) this.pages.split(page, this.valueBytes);
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
      // Unless it was surely not executed, only a read tells what the next write must rest on.
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
    // One that was taken out meanwhile has made its page due again, and may be on its way to another page.
    for (const id of written) {
      const machine = this.deps.table.get(id);
      const page = this.pages.pageOf(id);
      if (machine && page && pages.includes(page)) machine.stored = true;
    }
    for (const page of pages) this.pages.dropIfEmpty(page);
  }

  /** Too large, though within the limits that we know: fewer pages at a time, or smaller ones. */
  private shrink(pages: MachinePage[]): void {
    if (pages.length > 1) this.maxPagesPerWrite = pages.length >> 1;
    else this.valueBytes = Math.max(MIN_VALUE_BYTES, this.valueBytes / 2);
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
