/** One record with many machines, with the content that is to be stored. */
import type { Mutation } from '@millring/state-access';
import { type MachineRecord, sizeOf } from './machine-records.js';

/** Size of a page's value without its records, in bytes of JSON. */
const PAGE_OVERHEAD_BYTES = 32;

/**
 * Changes of a page that are neither stored nor in a write in progress. A write of removals alone can be delayed;
 * `since` is the time of the first of them.
 */
export type UnstoredChanges =
  { kind: 'none' } | { kind: 'additions' } | { kind: 'removals'; since: number };

const NONE: UnstoredChanges = { kind: 'none' };
const ADDITIONS: UnstoredChanges = { kind: 'additions' };

/** The machines of one record, and the changes that have to be written. */
export class MachinePage {
  readonly machines = new Map<string, MachineRecord>();
  /** Pages that machines of this one were moved to: they are written before this page, or with it. */
  splitOff: MachinePage[] = [];
  private unstored: UnstoredChanges = NONE;
  private bytes: number;

  constructor(
    readonly key: string,
    /** Unknown fields (written by other versions); written back as they were read. */
    private readonly unknownFields: object,
    /**
     * Version that each write requires. Without it, an earlier write that is applied late would drop machines that were
     * added since.
     */
    public version: number,
  ) {
    this.bytes = JSON.stringify(unknownFields).length;
  }

  /** Adds a machine that is already stored in this page. */
  load(record: MachineRecord): void {
    this.machines.set(record.id, record);
    this.bytes += sizeOf(record);
  }

  add(record: MachineRecord): void {
    this.load(record);
    this.unstored = ADDITIONS;
  }

  /** Removes a machine without marking the page to be written. */
  take(id: string): void {
    const record = this.machines.get(id);
    if (record) this.bytes -= sizeOf(record);
    this.machines.delete(id);
  }

  fits(recordBytes: number, maxBytes: number): boolean {
    return this.bytes + recordBytes + PAGE_OVERHEAD_BYTES <= maxBytes;
  }

  exceeds(maxBytes: number): boolean {
    return this.bytes + PAGE_OVERHEAD_BYTES > maxBytes;
  }

  hasAdditions(): boolean {
    return this.unstored.kind === 'additions';
  }

  /** Whether the page has no unstored changes, apart from those in a write in progress. */
  isClean(): boolean {
    return this.unstored.kind === 'none';
  }

  /** Whether the page has to be written: at once for additions, and after `removalDelayMs` for removals. */
  isDue(now: number, removalDelayMs: number): boolean {
    if (this.unstored.kind === 'removals') return now - this.unstored.since >= removalDelayMs;
    return this.unstored.kind === 'additions';
  }

  /** Marks that machines have to be removed from the stored record. */
  markRemovals(now: number): void {
    if (this.unstored.kind === 'none') this.unstored = { kind: 'removals', since: now };
  }

  /**
   * Marks the page as clean when a write begins. Returns the changes that the write contains, which `writeFailed` needs
   * if the write fails.
   */
  beginWrite(): UnstoredChanges {
    const before = this.unstored;
    this.unstored = NONE;
    return before;
  }

  /** Marks the changes that the failed write contained as unstored again. */
  writeFailed(before: UnstoredChanges): void {
    if (this.unstored.kind !== 'additions') this.unstored = before;
  }

  /** Returns the mutation that makes the stored record equal to this page. */
  mutation(): Mutation {
    const machines = [...this.machines.values()];
    if (machines.length === 0) return { remove: this.key };
    return { put: this.key, value: { ...this.unknownFields, machines } };
  }
}

/**
 * Returns at most `maxPages` pages for the next write. A page is written together with the pages split off from it, or
 * after them if they are too many for one write, so that every reader finds each machine.
 */
export function selectPages(due: readonly MachinePage[], maxPages: number): MachinePage[] {
  const selected: MachinePage[] = [];
  for (const page of due) {
    if (selected.includes(page)) continue;
    const splitOff = page.splitOff.filter(
      (splitOffPage) => !splitOffPage.isClean() && !selected.includes(splitOffPage),
    );
    const room = maxPages - selected.length;
    if (splitOff.length < room) selected.push(...splitOff, page);
    else if (splitOff.length >= maxPages) selected.push(...splitOff.slice(0, room));
    if (selected.length >= maxPages) return selected;
  }
  return selected;
}
