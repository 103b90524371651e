/** Records when each id of a changing set was first seen, by the monotonic clock. */
export class FirstSeenTracker {
  private readonly seenAt = new Map<string, number>();

  /** Number of ids recorded. */
  count(): number {
    return this.seenAt.size;
  }

  /** Records the id as first seen at `now`, unless it is recorded already. */
  record(id: string, now: number): void {
    if (!this.seenAt.has(id)) this.seenAt.set(id, now);
  }

  /** Removes the ids that no longer belong to the set. */
  retain(belongs: (id: string) => boolean): void {
    for (const id of this.seenAt.keys()) if (!belongs(id)) this.seenAt.delete(id);
  }

  /** Time in milliseconds since the earliest id was first seen; 0 if there is none. */
  oldestAgeMs(now: number): number {
    return now - Math.min(now, ...this.seenAt.values());
  }

  /** Returns the ids first seen at least `durationMs` ago, in the order in which they were first seen. */
  knownForAtLeast(durationMs: number, now: number): string[] {
    return [...this.seenAt].filter(([, seenAt]) => now - seenAt >= durationMs).map(([id]) => id);
  }
}
