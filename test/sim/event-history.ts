/** The changes of records that watches of the simulated state service can still read. */
import type { RecordEvent } from './wire/state.js';

/** Number of changes that are guaranteed to be kept. */
const KEPT_EVENTS = 10_000;

/** Keeps the latest changes, in the order of their revisions. */
export class EventHistory {
  private events: RecordEvent[] = [];

  add(event: RecordEvent): void {
    this.events.push(event);
  }

  /** Removes the oldest changes beyond the last `KEPT_EVENTS`. */
  compact(): void {
    if (this.events.length > KEPT_EVENTS) this.events = this.events.slice(-KEPT_EVENTS);
  }

  /** Whether changes after this revision may have been removed. */
  isCompacted(revision: number): boolean {
    return this.events.length >= KEPT_EVENTS && revision < this.events[0].version;
  }

  /** Returns the changes after the revision to keys with the prefix. */
  after(prefix: string, revision: number): RecordEvent[] {
    return this.events.filter(({ key, version }) => version > revision && key.startsWith(prefix));
  }

  /** Returns all values that were put under the key, oldest first. */
  valuesOf(key: string): unknown[] {
    return this.events.flatMap((event) =>
      event.kind === 'put' && event.key === key ? [event.value] : [],
    );
  }
}
