/** Finds out what is stored of a job at the moment of a question. */
import type { StateStore } from '../state-store/client.js';
import type { CachedJob, JobCache } from './job-cache.js';
import { type TerminalJobRecord, terminalKey, readTerminal } from './records.js';

/** What is stored of a job. `absent`: it was never accepted. `unavailable`: the state service can't tell now. */
export type StoredJob =
  | ({ kind: 'live' } & CachedJob)
  | ({ kind: 'ended' } & TerminalJobRecord)
  | { kind: 'absent' }
  | { kind: 'unavailable' };

const MAX_CACHED_TERMINAL_JOBS = 5000;

/** Reads jobs as fresh as the question. */
export class JobLookup {
  /** Only ended jobs are kept in memory: they never change again. */
  private readonly terminalById = new Map<string, TerminalJobRecord>();

  constructor(
    private readonly cache: JobCache,
    private readonly store: StateStore,
  ) {}

  isKnownTerminal(id: string): boolean {
    return this.terminalById.has(id);
  }

  /**
   * The live record is read first. A job moves from live to ended in one compare-and-swap, so one that is missing
   * from both, read in this order, was never accepted; the other order could miss a job on its way.
   */
  async find(id: string): Promise<StoredJob> {
    const cached = this.terminalById.get(id);
    if (cached) return { kind: 'ended', ...cached };
    if (!(await this.cache.refresh())) return { kind: 'unavailable' };
    const live = this.cache.get(id);
    if (live) return { kind: 'live', ...live };
    const ended = await this.store.get(terminalKey(id));
    if (ended.kind !== 'found') return { kind: ended.kind };
    const record = readTerminal(ended.entry.value);
    if (!record) return { kind: 'unavailable' };
    this.cacheTerminal(id, record);
    return { kind: 'ended', ...record };
  }

  private cacheTerminal(id: string, record: TerminalJobRecord): void {
    const oldest = this.terminalById.keys().next();
    if (this.terminalById.size >= MAX_CACHED_TERMINAL_JOBS && !oldest.done)
      this.terminalById.delete(oldest.value);
    this.terminalById.set(id, record);
  }
}
