/** Stores which machines may hold tasks, many machines a record, so that a new leader finds all of them. */
import type { Mutation, Precondition, KeyValue } from '@millring/state-access';
import { type Runtime, sleep } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import { isMap } from '../wire/cbor.js';
import type { Machine } from './machine.js';
import type { MachineTable } from './machine-table.js';

const PREFIX = 'm/';
const PAGE = `${PREFIX}page-`;

export interface MachineRecord {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Fields that another version knows stay in it: the record is rewritten with its page. */
function readRecord(id: unknown, v: unknown): MachineRecord | null {
  if (typeof id !== 'string' || !isMap(v)) return null;
  const { endpoint, type, zone } = v;
  if (typeof endpoint !== 'string' || typeof type !== 'string' || typeof zone !== 'string')
    return null;
  return { ...v, id, endpoint, type, zone, spot: v.spot === true };
}

/** The machines of one record: a page of them, or a single one as earlier versions wrote it. */
export function readMachinePage(p: KeyValue): MachineRecord[] {
  if (!isMap(p.value)) return [];
  const list = Array.isArray(p.value.machines)
    ? p.value.machines.map((v) => readRecord(isMap(v) ? v.id : null, v))
    : [readRecord(p.key.slice(PREFIX.length), p.value)];
  return list.filter((r): r is MachineRecord => r !== null);
}

function pageExtra(p: KeyValue): object {
  if (!isMap(p.value) || !Array.isArray(p.value.machines)) return {};
  return Object.fromEntries(Object.entries(p.value).filter(([field]) => field !== 'machines'));
}

export interface MachineRecordStoreDependencies {
  runtime: Runtime;
  store: StateStore;
  table: MachineTable;
  txnOps: number;
  /** Most bytes of a value, counted as JSON. */
  valueBytes: number;
  isLeader(): boolean;
  leaderPrecondition(): Precondition;
  machinesStored(): void;
}

/** What a page's value holds beside its records. */
const FRAME_BYTES = 32;

class Page {
  readonly machines = new Map<string, MachineRecord>();
  /** Needs to be written; `since` when only machines that are gone have to be taken out. */
  dirty: 'no' | 'added' | { since: number } = 'no';
  /** Pages that took machines over from this one: written before it, or with it. */
  heirs: Page[] = [];
  private bytes: number;

  constructor(
    readonly key: string,
    /** What else another version wrote into it. */
    readonly extra: object,
    /** Guards each write: one that was sent earlier and is applied late would drop machines added since. */
    public version: number,
  ) {
    this.bytes = JSON.stringify(extra).length;
  }

  add(r: MachineRecord): void {
    this.machines.set(r.id, r);
    this.bytes += sizeOf(r);
  }

  remove(id: string): void {
    const r = this.machines.get(id);
    if (r) this.bytes -= sizeOf(r);
    this.machines.delete(id);
  }

  fits(recordBytes: number, limit: number): boolean {
    return this.bytes + recordBytes + FRAME_BYTES <= limit;
  }

  isOver(limit: number): boolean {
    return this.bytes + FRAME_BYTES > limit;
  }
}

function sizeOf(r: MachineRecord): number {
  return JSON.stringify(r).length + 1;
}

/** A page left with machines that are gone costs a probe each after a takeover: rewritten, but not at once. */
const REMOVE_MS = 700;
const PAGES_AT_ONCE = 6;
const LEAST_BYTES = 512;

/**
 * Every machine is in the state service before its first order, and until it is surely gone: so a new leader
 * knows all the machines that may hold tasks. Many machines share a record, since changes are scarce: the
 * first hundreds of machines cost a few of them.
 */
export class MachineRecordStore {
  private writing = false;
  private readonly pages = new Map<string, Page>();
  private readonly pageOf = new Map<string, Page>();
  private nextPage = 0;
  private valueBytes: number;
  private maxPagesPerWrite: number;

  constructor(private readonly deps: MachineRecordStoreDependencies) {
    this.valueBytes = deps.valueBytes;
    this.maxPagesPerWrite = Math.min(PAGES_AT_ONCE, deps.txnOps);
  }

  /** A record found on taking over. A machine in two of them, which were written one after the other, goes from one. */
  load(pair: KeyValue, machines: MachineRecord[]): void {
    const page = new Page(pair.key, pageExtra(pair), pair.version);
    for (const m of machines) {
      if (this.pageOf.has(m.id)) {
        page.dirty = { since: this.deps.runtime.clock.now() };
        continue;
      }
      page.add(m);
      this.pageOf.set(m.id, page);
    }
    this.pages.set(pair.key, page);
    const number = pair.key.startsWith(PAGE) ? Number(pair.key.slice(PAGE.length)) : -1;
    if (number >= this.nextPage) this.nextPage = number + 1;
  }

  /** Nothing is on it any more, and nothing may be put on it before it is stored again. */
  removed(m: Machine): void {
    m.stored = false;
    const page = this.pageOf.get(m.id);
    if (!page) return;
    page.remove(m.id);
    this.pageOf.delete(m.id);
    if (page.dirty === 'no') page.dirty = { since: this.deps.runtime.clock.now() };
  }

  /** Measured once: a large fleet has many pages, and hundreds of its machines come up within a second. */
  private withRoom(r: MachineRecord): Page {
    const bytes = sizeOf(r);
    for (const p of this.pages.values())
      if (p.key.startsWith(PAGE) && p.fits(bytes, this.valueBytes)) return p;
    return this.newPage();
  }

  private newPage(): Page {
    const page = new Page(PAGE + String(this.nextPage++), {}, 0);
    this.pages.set(page.key, page);
    return page;
  }

  tick(): void {
    if (this.writing || !this.deps.isLeader()) return;
    const now = this.deps.runtime.clock.now();
    for (const m of this.deps.table.all()) {
      if (m.stored || !m.reported || this.pageOf.has(m.id)) continue;
      const record = {
        id: m.id,
        endpoint: m.endpoint,
        type: m.type.name,
        zone: m.zone,
        spot: m.spot,
      };
      const page = this.withRoom(record);
      page.add(record);
      this.pageOf.set(m.id, page);
      page.dirty = 'added';
    }
    const due = [...this.pages.values()]
      .filter((p) => p.dirty === 'added' || (p.dirty !== 'no' && now - p.dirty.since >= REMOVE_MS))
      .sort((a, b) => Number(b.dirty === 'added') - Number(a.dirty === 'added'));
    for (const p of due) if (p.isOver(this.valueBytes)) this.split(p);
    const batch = this.batch(due);
    if (batch.length > 0) void this.write(batch);
  }

  /** A page stored under higher limits comes apart into such as may be written now. */
  private split(page: Page): void {
    const limit = this.valueBytes;
    for (const r of [...page.machines.values()].reverse()) {
      if (!page.isOver(limit)) return;
      page.remove(r.id);
      const bytes = sizeOf(r);
      let heir = page.heirs.find((h) => h.fits(bytes, limit));
      if (!heir) {
        heir = this.newPage();
        page.heirs.push(heir);
      }
      heir.add(r);
      heir.dirty = 'added';
      this.pageOf.set(r.id, heir);
    }
  }

  /** A page goes with its heirs, so that every reader finds each machine; if these are too many, after them. */
  private batch(due: Page[]): Page[] {
    const { maxPagesPerWrite } = this;
    const out: Page[] = [];
    for (const page of due) {
      if (out.includes(page)) continue;
      const heirs = page.heirs.filter((h) => h.dirty !== 'no' && !out.includes(h));
      const room = maxPagesPerWrite - out.length;
      if (heirs.length < room) out.push(...heirs, page);
      else if (heirs.length >= maxPagesPerWrite) out.push(...heirs.slice(0, room));
      if (out.length >= maxPagesPerWrite) return out;
    }
    return out;
  }

  private async write(pages: Page[]): Promise<void> {
    const written = pages.flatMap((p) => [...p.machines.keys()]);
    const changes = pages.map((p): Mutation => {
      const machines = [...p.machines.values()];
      return machines.length === 0
        ? { remove: p.key }
        : { put: p.key, value: { ...p.extra, machines } };
    });
    const guards = pages.map((p) => ({ key: p.key, version: p.version }));
    const before = pages.map((p) => p.dirty);
    for (const p of pages) p.dirty = 'no';
    this.writing = true;
    const r = await this.deps.store.compareAndSwap(
      [this.deps.leaderPrecondition(), ...guards],
      changes,
    );
    if (r.kind === 'invalid') this.shrink(pages);
    if (r.kind !== 'committed') {
      pages.forEach((p, i) => (p.dirty = p.dirty === 'added' ? 'added' : before[i]));
      // Unless it was surely not executed, only a read tells what to guard the next write with.
      if (r.kind !== 'rejected') for (const p of pages) await this.learnVersion(p);
      this.writing = false;
      return;
    }
    this.writing = false;
    for (const p of pages) p.heirs = [];
    changes.forEach((c, i) => (pages[i].version = 'remove' in c ? 0 : r.revision));
    // One that was taken out meanwhile has made its page dirty again, and may be on its way to another page.
    for (const id of written) {
      const m = this.deps.table.get(id);
      const page = this.pageOf.get(id);
      if (m && page && pages.includes(page)) m.stored = true;
    }
    for (const p of pages) if (p.machines.size === 0 && p.dirty === 'no') this.pages.delete(p.key);
    this.deps.machinesStored();
    this.tick();
  }

  /** Too large, though within the limits that we know: fewer pages at a time, or smaller ones. */
  private shrink(pages: Page[]): void {
    if (pages.length > 1) this.maxPagesPerWrite = pages.length >> 1;
    else this.valueBytes = Math.max(LEAST_BYTES, this.valueBytes / 2);
  }

  private async learnVersion(p: Page): Promise<void> {
    while (this.deps.isLeader()) {
      const r = await this.deps.store.get(p.key);
      if (r.kind !== 'unavailable') {
        p.version = r.kind === 'found' ? r.entry.version : 0;
        return;
      }
      await sleep(this.deps.runtime.clock, 200);
    }
  }
}
