/** Records when each name of a changing set was first seen, by the steady clock. */
export class FirstSeenTracker {
  private readonly seenAt = new Map<string, number>();

  /** Number of names recorded. */
  count(): number {
    return this.seenAt.size;
  }

  /** Records the name as first seen at `now`, unless it is recorded already. */
  record(name: string, now: number): void {
    if (!this.seenAt.has(name)) this.seenAt.set(name, now);
  }

  /** Removes the names that no longer belong to the set. */
  retain(belongs: (name: string) => boolean): void {
    for (const name of this.seenAt.keys()) if (!belongs(name)) this.seenAt.delete(name);
  }

  /** Time in milliseconds since the earliest name was first seen; 0 if there is none. */
  oldestAgeMs(now: number): number {
    return now - Math.min(now, ...this.seenAt.values());
  }

  /** Returns the names first seen at least `durationMs` ago, in the order in which they were first seen. */
  knownForAtLeast(durationMs: number, now: number): string[] {
    return [...this.seenAt]
      .filter(([, seenAt]) => now - seenAt >= durationMs)
      .map(([name]) => name);
  }
}
