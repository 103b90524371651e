/** All pages of machine records, and the page of each machine. */
import type { KeyValue } from '@millring/state-access';
import { MachinePage } from './machine-page.js';
import {
  type MachineRecord,
  unknownFieldsOf,
  isPageKey,
  pageKey,
  pageNumberOf,
  sizeOf,
} from './machine-records.js';

/** All pages. Each machine is in exactly one of them. */
export class MachinePages {
  private readonly byKey = new Map<string, MachinePage>();
  private readonly byMachine = new Map<string, MachinePage>();
  private nextNumber = 0;

  /**
   * Adds a stored page. A machine that is already in another page, since the two were written one after the other, is
   * dropped from this one.
   */
  load(stored: KeyValue, records: MachineRecord[], now: number): void {
    const page = new MachinePage(stored.key, unknownFieldsOf(stored), stored.version);
    for (const record of records) {
      if (this.byMachine.has(record.id)) {
        page.markRemovals(now);
        continue;
      }
      page.load(record);
      this.byMachine.set(record.id, page);
    }
    this.byKey.set(stored.key, page);
    const number = isPageKey(stored.key) ? pageNumberOf(stored.key) : NaN;
    if (number >= this.nextNumber) this.nextNumber = number + 1;
  }

  pageOf(machineId: string): MachinePage | undefined {
    return this.byMachine.get(machineId);
  }

  add(record: MachineRecord, maxBytes: number): void {
    this.put(record, this.pageWithRoom(sizeOf(record), maxBytes));
  }

  remove(machineId: string, now: number): void {
    const page = this.byMachine.get(machineId);
    if (!page) return;
    page.take(machineId);
    page.markRemovals(now);
    this.byMachine.delete(machineId);
  }

  /** Returns the pages to be written now, those with new machines first. */
  due(now: number, removalDelayMs: number): MachinePage[] {
    return [...this.byKey.values()]
      .filter((page) => page.isDue(now, removalDelayMs))
      .sort((one, other) => Number(other.hasAdditions()) - Number(one.hasAdditions()));
  }

  /** Splits a page that was stored under a higher size limit into pages that fit the present one. */
  split(page: MachinePage, maxBytes: number): void {
    for (const record of [...page.machines.values()].reverse()) {
      if (!page.exceeds(maxBytes)) return;
      page.take(record.id);
      const bytes = sizeOf(record);
      let splitOffPage = page.splitOff.find((candidate) => candidate.fits(bytes, maxBytes));
      if (!splitOffPage) {
        splitOffPage = this.newPage();
        page.splitOff.push(splitOffPage);
      }
      this.put(record, splitOffPage);
    }
  }

  /** Drops a page without machines once its removal is stored. */
  dropIfEmpty(page: MachinePage): void {
    if (page.machines.size === 0 && page.isClean()) this.byKey.delete(page.key);
  }

  private put(record: MachineRecord, page: MachinePage): void {
    page.add(record);
    this.byMachine.set(record.id, page);
  }

  private pageWithRoom(recordBytes: number, maxBytes: number): MachinePage {
    for (const page of this.byKey.values())
      if (isPageKey(page.key) && page.fits(recordBytes, maxBytes)) return page;
    return this.newPage();
  }

  private newPage(): MachinePage {
    const page = new MachinePage(pageKey(this.nextNumber++), {}, 0);
    this.byKey.set(page.key, page);
    return page;
  }
}
