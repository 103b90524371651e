/** Stores a controller's reports while other controllers need them. */
import type { Mutation, Precondition } from '@millring/state-access';
import { type Clock, sleep } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import type { ProgressReport } from './progress-report.js';
import { ProgressPages } from './progress-pages.js';
import { type ProgressStamp, readStamp, reportPrefix, stampKey } from './stored-progress.js';

/** Interval between two stamps, if the share of the write limit allows it. */
const WRITE_INTERVAL_MS = 400;
/** Share of the state service's write limit that one controller may use for stamps and pages. */
const WRITE_LIMIT_SHARE = 0.25;

/** Dependencies of the writer. */
export interface ProgressWriterDependencies {
  clock: Clock;
  store: Pick<StateStore, 'scan' | 'compareAndSwap'>;
  source: string;
  /** What this controller knows, or null if nobody needs it. */
  report(): ProgressReport | null;
  /** Preconditions of every write, beside that on the stamp. */
  preconditions(): Precondition[];
  maxValueBytes: number;
  /** Maximum number of mutations in a transaction. */
  maxMutations: number;
  /** Limit of the state service on mutations per second. */
  writesPerS: number;
}

/** What the writer knows of the stored stamp and pages; valid in one epoch, and as long as all outcomes are known. */
interface StoredBasis {
  epoch: number;
  /** Version of the stamp; 0 if there is none. */
  stampVersion: number;
  /** Sequence of the stamp; 0 if it is of an earlier epoch. */
  sequence: number;
  pages: ProgressPages;
}

/**
 * Writes pages and stamps while there is a report. Each stamp is conditional on the one before it, whose version the
 * writer learned from a response: a stamp that is applied late changes nothing once the next was stored.
 */
export class ProgressWriter {
  private basis: StoredBasis | null = null;

  constructor(private readonly deps: ProgressWriterDependencies) {}

  /** Writes until the process ends. */
  async run(): Promise<void> {
    const { clock, writesPerS } = this.deps;
    for (;;) {
      const mutations = await this.writeIfNeeded();
      const shareMs = (1000 * mutations) / (writesPerS * WRITE_LIMIT_SHARE);
      await sleep(clock, Math.max(WRITE_INTERVAL_MS, shareMs));
    }
  }

  /** Returns the number of mutations that were sent. */
  private async writeIfNeeded(): Promise<number> {
    let report = this.deps.report();
    if (report && !this.basis) {
      this.basis = await this.readBasis(report.epoch);
      // The age of a stamp rests on this: it is composed after the previous one was found stored.
      report = this.deps.report();
    }
    if (this.basis && report?.epoch === this.basis.epoch) return this.write(this.basis, report);
    this.basis = null;
    return 0;
  }

  private async readBasis(epoch: number | null): Promise<StoredBasis | null> {
    const { store, source, maxValueBytes } = this.deps;
    const snapshot = await store.scan(reportPrefix(source));
    if (!snapshot || epoch === null) return null;
    const entry = snapshot.pairs.find(({ key }) => key === stampKey(source));
    const stamp = readStamp(entry?.value);
    const pages = new ProgressPages(source, maxValueBytes);
    pages.load(snapshot.pairs);
    const sequence = stamp?.epoch === epoch ? stamp.sequence : 0;
    return { epoch, stampVersion: entry?.version ?? 0, sequence, pages };
  }

  /**
   * Writes as many changed pages as a transaction may hold. The sequence of the stamp rises only if these are all. The
   * stamp is written in any case, so that its version rises: a transaction that is held up changes nothing later.
   */
  private async write(basis: StoredBasis, report: ProgressReport): Promise<number> {
    const { store, source, maxMutations } = this.deps;
    basis.pages.update(report);
    const changed = basis.pages.changed();
    const writes = changed.slice(0, maxMutations - 1);
    const sequence = basis.sequence + (writes.length === changed.length ? 1 : 0);
    const stamp: ProgressStamp = { epoch: basis.epoch, sequence };
    const mutations: Mutation[] = writes.map(({ key, value }) => ({ put: key, value }));
    mutations.push({ put: stampKey(source), value: stamp });
    const result = await store.compareAndSwap(
      [...this.deps.preconditions(), { key: stampKey(source), version: basis.stampVersion }],
      mutations,
    );
    if (result.kind === 'committed') {
      basis.pages.markStored(writes);
      Object.assign(basis, { sequence, stampVersion: result.revision });
    } else if (result.kind !== 'rejected') this.basis = null;
    return mutations.length;
  }
}
