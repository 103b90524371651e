/** One stored record with many machines, as the leader wants it to be. */
import type { Mutation } from '@millring/state-access';
import { type MachineRecord, sizeOf } from './machine-records.js';

/** What a page's value holds beside its records, counted as JSON. */
const FRAME_BYTES = 32;

/** What of a page is not stored yet. Mere removals can wait; `since`: when the first of them came. */
export type UnstoredChanges =
  { kind: 'none' } | { kind: 'additions' } | { kind: 'removals'; since: number };

const NONE: UnstoredChanges = { kind: 'none' };
const ADDITIONS: UnstoredChanges = { kind: 'additions' };

/** The machines of one record, and what of them has to be written. */
export class MachinePage {
  readonly machines = new Map<string, MachineRecord>();
  /** Pages that took machines over from this one: written before it, or with it. */
  splitOff: MachinePage[] = [];
  private unstored: UnstoredChanges = NONE;
  private bytes: number;

  constructor(
    readonly key: string,
    /** Written back as they were read. */
    private readonly foreignFields: object,
    /** Precondition of each write: one that was sent earlier and is applied late would drop machines added since. */
    public version: number,
  ) {
    this.bytes = JSON.stringify(foreignFields).length;
  }

  /** A machine that is stored here already. */
  load(record: MachineRecord): void {
    this.machines.set(record.id, record);
    this.bytes += sizeOf(record);
  }

  add(record: MachineRecord): void {
    this.load(record);
    this.unstored = ADDITIONS;
  }

  /** Takes a machine out. This alone marks nothing to be written. */
  take(id: string): void {
    const record = this.machines.get(id);
    if (record) this.bytes -= sizeOf(record);
    this.machines.delete(id);
  }

  fits(recordBytes: number, maxBytes: number): boolean {
    return this.bytes + recordBytes + FRAME_BYTES <= maxBytes;
  }

  isOver(maxBytes: number): boolean {
    return this.bytes + FRAME_BYTES > maxBytes;
  }

  hasAdditions(): boolean {
    return this.unstored.kind === 'additions';
  }

  isStored(): boolean {
    return this.unstored.kind === 'none';
  }

  /** It has to be written: at once for additions, and after a while for removals. */
  isDue(now: number, removalDelayMs: number): boolean {
    if (this.unstored.kind === 'removals') return now - this.unstored.since >= removalDelayMs;
    return this.unstored.kind === 'additions';
  }

  /** Machines have to be taken out of the stored record. */
  markRemovals(now: number): void {
    if (this.unstored.kind === 'none') this.unstored = { kind: 'removals', since: now };
  }

  /** A write of it begins. What was not stored is given back, for the case that the write fails. */
  beginWrite(): UnstoredChanges {
    const before = this.unstored;
    this.unstored = NONE;
    return before;
  }

  writeFailed(before: UnstoredChanges): void {
    if (this.unstored.kind !== 'additions') this.unstored = before;
  }

  /** The write that makes the stored record equal to this page. */
  mutation(): Mutation {
    const machines = [...this.machines.values()];
    if (machines.length === 0) return { remove: this.key };
    return { put: this.key, value: { ...this.foreignFields, machines } };
  }
}

/**
 * The pages of the next write, at most so many. A page goes with those that were split off from it, so that every
 * reader finds each machine; if these are too many, after them.
 */
export function selectPages(due: readonly MachinePage[], maxPages: number): MachinePage[] {
  const selected: MachinePage[] = [];
  for (const page of due) {
    if (selected.includes(page)) continue;
    const splitOff = page.splitOff.filter((part) => !part.isStored() && !selected.includes(part));
    const room = maxPages - selected.length;
    if (splitOff.length < room) selected.push(...splitOff, page);
    else if (splitOff.length >= maxPages) selected.push(...splitOff.slice(0, room));
    if (selected.length >= maxPages) return selected;
  }
  return selected;
}
