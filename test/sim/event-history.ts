/** The changes that watches of the state service can still ask for. */
import type { RecordEvent } from './wire/state.js';

const KEPT_EVENTS = 10_000;

/** Keeps the latest changes, in the order of their revisions. */
export class EventHistory {
  private events: RecordEvent[] = [];

  add(event: RecordEvent): void {
    this.events.push(event);
  }

  /** Forgets the oldest changes beyond those that are kept. */
  compact(): void {
    if (this.events.length > KEPT_EVENTS) this.events = this.events.slice(-KEPT_EVENTS);
  }

  /** Changes since this revision may be forgotten. */
  isCompacted(revision: number): boolean {
    return this.events.length >= KEPT_EVENTS && revision < this.events[0].version;
  }

  /** Changes after the revision to keys with the prefix. */
  after(prefix: string, revision: number): RecordEvent[] {
    return this.events.filter(({ key, version }) => version > revision && key.startsWith(prefix));
  }

  /** All that was put under the key. */
  valuesOf(key: string): unknown[] {
    return this.events.flatMap((event) =>
      event.kind === 'put' && event.key === key ? [event.value] : [],
    );
  }
}
