/** Distributes the jobs of a controller's reports over pages, so that a change of a job's condition changes one page. */
import type { KeyValue } from '@millring/state-access';
import type { ProgressReport } from './progress-report.js';
import { type StoredJobProgress, pageKey, readPage } from './stored-progress.js';

/** Space that a page needs beside its entries, in bytes of JSON. */
const PAGE_OVERHEAD_BYTES = 20;

interface Page {
  entries: Map<string, StoredJobProgress>;
  /** Size of the entries as JSON, in bytes. */
  bytes: number;
  /** Whether the stored page is as this one; false also if the outcome of a write is unknown. */
  isStored: boolean;
}

/** A page to be written. */
export interface PageWrite {
  page: number;
  key: string;
  value: { jobs: StoredJobProgress[] };
}

/** The pages of one report. A job stays on its page as long as it runs or is uncertain, and fits. */
export class ProgressPages {
  private readonly pages: Page[] = [];
  private readonly pageOfJob = new Map<string, number>();
  private readonly maxBytes: number;

  /** `maxValueBytes`: maximum size of a value in the state service. */
  constructor(
    private readonly source: string,
    maxValueBytes: number,
  ) {
    this.maxBytes = maxValueBytes - PAGE_OVERHEAD_BYTES;
  }

  /** Takes over the pages that an earlier leader, or an earlier process, has stored. */
  load(pairs: readonly KeyValue[]): void {
    const values = new Map(pairs.map(({ key, value }) => [key, value]));
    for (let page = 0; values.has(pageKey(this.source, page)); page++) {
      const entries = readPage(values.get(pageKey(this.source, page)));
      this.pages.push({ entries: new Map(), bytes: 0, isStored: true });
      // The limit of a value may have been higher: then the last entries get other pages.
      for (const entry of entries) if (this.fits(page, entry)) this.add(page, entry);
      this.pages[page].isStored = this.pages[page].entries.size === entries.length;
    }
  }

  /** Brings the pages up to date. The counts of a job are only updated together with a change of conditions. */
  update({ jobs, uncertain }: ProgressReport): void {
    for (const id of this.pageOfJob.keys())
      if (!uncertain.has(id) && (jobs.get(id)?.running ?? 0) === 0) this.remove(id);
    for (const [id, { done, running }] of jobs)
      if (running > 0 && !uncertain.has(id)) this.put([id, [done, running]]);
    for (const entry of uncertain) this.put(entry);
  }

  private put(entry: StoredJobProgress): void {
    const [id, progress] = entry;
    const page = this.pageOfJob.get(id);
    const previous = page === undefined ? undefined : this.pages[page].entries.get(id);
    if (previous && isSameCondition(previous[1], progress)) return;
    this.remove(id);
    this.add(page !== undefined && this.fits(page, entry) ? page : this.pageFor(entry), entry);
  }

  private remove(id: string): void {
    const position = this.pageOfJob.get(id);
    const page = position === undefined ? undefined : this.pages[position];
    const entry = page?.entries.get(id);
    if (!page || !entry) return;
    page.bytes -= bytesOf(entry);
    page.entries.delete(id);
    page.isStored = false;
    this.pageOfJob.delete(id);
  }

  private add(position: number, entry: StoredJobProgress): void {
    const page = this.pages[position];
    page.entries.set(entry[0], entry);
    page.bytes += bytesOf(entry);
    page.isStored = false;
    this.pageOfJob.set(entry[0], position);
  }

  private fits(page: number, entry: StoredJobProgress): boolean {
    return this.pages[page].bytes + bytesOf(entry) <= this.maxBytes;
  }

  private pageFor(entry: StoredJobProgress): number {
    const position = this.pages.findIndex((_page, index) => this.fits(index, entry));
    if (position >= 0) return position;
    this.pages.push({ entries: new Map(), bytes: 0, isStored: false });
    return this.pages.length - 1;
  }

  /** The pages that differ from what is stored. */
  changed(): PageWrite[] {
    return this.pages.flatMap(({ entries, isStored }, page) =>
      isStored
        ? []
        : [{ page, key: pageKey(this.source, page), value: { jobs: [...entries.values()] } }],
    );
  }

  /** Records that these pages, as they are now, were stored. */
  markStored(writes: readonly PageWrite[]): void {
    for (const { page } of writes) this.pages[page].isStored = true;
  }
}

/** Size of an entry and the comma after it. */
function bytesOf(entry: StoredJobProgress): number {
  return Buffer.byteLength(JSON.stringify(entry)) + 1;
}

function isSameCondition(previous: StoredJobProgress[1], next: StoredJobProgress[1]): boolean {
  return previous === next || (Array.isArray(previous) && Array.isArray(next));
}
