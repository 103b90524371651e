/** Reads the stored state of a job; the result is at least as recent as the request for it. */
import type { StateStore } from '../state-store/client.js';
import type { CachedJob, JobCache } from './job-cache.js';
import { type TerminalJobRecord, terminalKey, readTerminal } from './records.js';

/**
 * The stored state of a job. `ended`: the job is terminal. `absent`: it was never accepted. `unavailable`: the state
 * service cannot be read now, or the terminal record is invalid.
 */
export type StoredJob =
  | ({ kind: 'live' } & CachedJob)
  | ({ kind: 'ended' } & TerminalJobRecord)
  | { kind: 'absent' }
  | { kind: 'unavailable' };

const MAX_CACHED_TERMINAL_JOBS = 5000;

/** Reads jobs with linearizable reads. */
export class JobLookup {
  /** Cache of terminal jobs only, since they never change again. */
  private readonly terminalById = new Map<string, TerminalJobRecord>();

  constructor(
    private readonly cache: JobCache,
    private readonly store: StateStore,
  ) {}

  isKnownTerminal(id: string): boolean {
    return this.terminalById.has(id);
  }

  /**
   * Reads the live record first. A job moves from live to terminal in one compare-and-swap, so a job that has neither
   * record, read in this order, was never accepted. The other order could miss a job that moves between the reads.
   */
  async find(id: string): Promise<StoredJob> {
    const cached = this.terminalById.get(id);
    if (cached) return { kind: 'ended', ...cached };
    if (!(await this.cache.refresh())) return { kind: 'unavailable' };
    const live = this.cache.get(id);
    if (live) return { kind: 'live', ...live };
    const terminal = await this.store.get(terminalKey(id));
    if (terminal.kind !== 'found') return { kind: terminal.kind };
    const record = readTerminal(terminal.entry.value);
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
