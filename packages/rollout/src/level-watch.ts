/** Follows changes of the cluster's stored feature level. */
import type { Environment, StateAccess, WatchEvent } from '@millring/state-access';
import { pause } from './pause.js';
import { type ClusterLevel, INITIAL_LEVEL, LEVEL_KEY, parseClusterLevel } from './records.js';

/** The level at the last read. */
export interface KnownLevel {
  level: ClusterLevel;
  /** Version of the level's record; 0 if no level is stored. */
  version: number;
}

/** Dependencies of the watch on the participant. */
export interface LevelWatchDependencies {
  environment: Environment;
  store: StateAccess;
  /** Returns whether the watch should continue. The watch ends once this is false. */
  isActive(): boolean;
  /** Called when a level is read that is not older than the one before. */
  onLevel(known: KnownLevel): void;
  /** Called when the stored level can't be determined. Nothing may then depend on the level at the last read. */
  onUnreadable(reason: string): void;
  /** Called after each change that the watch reports. */
  onChange(): void;
}

const WATCH_TIMEOUT_MS = 10_000;
const LEVEL_DELETED = 'the cluster level is gone from the state service';

/** Keeps the latest level. Never returns to an older version of the record. */
export class LevelWatch {
  private known: KnownLevel | null = null;

  constructor(private readonly deps: LevelWatchDependencies) {}

  /** Returns the level at the last read; null before the first successful `read`. */
  current(): KnownLevel | null {
    return this.known;
  }

  /** Reads the level once. Returns false if the state service did not respond. */
  async read(): Promise<boolean> {
    const read = await this.deps.store.get(LEVEL_KEY);
    if (read.kind === 'unavailable') return false;
    if (read.kind === 'found') this.applyRecord(read.entry.value, read.entry.version);
    // If a record existed before and has been deleted, the level is unknown.
    else if (this.known && this.known.version > 0) this.deps.onUnreadable(LEVEL_DELETED);
    else this.applyLevel({ level: INITIAL_LEVEL, version: 0 });
    return true;
  }

  /** Watches for changes until `isActive` is false. */
  async run(): Promise<void> {
    const { environment, store } = this.deps;
    while (this.deps.isActive()) {
      const response = await store.watch(LEVEL_KEY, this.known?.version ?? 0, WATCH_TIMEOUT_MS);
      if (response.kind === 'unavailable') await pause(environment);
      else if (response.kind === 'compacted') await this.read();
      else for (const event of response.events) this.applyEvent(event);
    }
  }

  private applyEvent(event: WatchEvent): void {
    if (event.key !== LEVEL_KEY) return;
    if (event.deleted) this.deps.onUnreadable(LEVEL_DELETED);
    else this.applyRecord(event.value, event.version);
    this.deps.onChange();
  }

  private applyRecord(value: unknown, version: number): void {
    if (this.known && version <= this.known.version) return;
    const parsed = parseClusterLevel(value);
    if (parsed.kind === 'valid') this.applyLevel({ level: parsed.value, version });
    else this.deps.onUnreadable(`the cluster level can't be read (${parsed.reason})`);
  }

  private applyLevel(known: KnownLevel): void {
    this.known = known;
    this.deps.onLevel(known);
  }
}
