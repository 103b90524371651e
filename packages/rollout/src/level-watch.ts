/** Follows the stored cluster level. */
import type { Environment, StateAccess, WatchEvent } from '@millring/state-access';
import { pause } from './pause.js';
import { type ClusterLevel, INITIAL_LEVEL, LEVEL_KEY, parseClusterLevel } from './records.js';

/** The level as it was read last. */
export interface KnownLevel {
  level: ClusterLevel;
  /** Of the record; 0: no level is stored. */
  version: number;
}

/** What following the level needs of the participant. */
export interface LevelWatchDependencies {
  environment: Environment;
  store: StateAccess;
  /** The watch ends once this is false. */
  isActive(): boolean;
  /** A level was read that is newer than all before. */
  onLevel(known: KnownLevel): void;
  /** The stored level can't be told: nothing may rest on the one read last. */
  onUnreadable(reason: string): void;
  /** Called after each change that the watch has reported. */
  onChange(): void;
}

const WATCH_TIMEOUT_MS = 10_000;
const LEVEL_DELETED = 'the cluster level is gone from the state service';

/** Never goes back to an older version of the record. */
export class LevelWatch {
  private known: KnownLevel | null = null;

  constructor(private readonly deps: LevelWatchDependencies) {}

  /** Null before the first successful `read`. */
  current(): KnownLevel | null {
    return this.known;
  }

  /** Reads the level once; false if the state service did not answer. */
  async read(): Promise<boolean> {
    const read = await this.deps.store.get(LEVEL_KEY);
    if (read.kind === 'unavailable') return false;
    if (read.kind === 'found') this.applyRecord(read.entry.value, read.entry.version);
    // A record that was there and is gone tells nothing of the level.
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
