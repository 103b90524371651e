/** Remembers since when each of a changing set of names has been known, by the steady clock. */
export class FirstSeenTracker {
  private readonly seenAt = new Map<string, number>();

  /** How many names are remembered. */
  count(): number {
    return this.seenAt.size;
  }

  /** Remembers the name from now on, unless it is remembered already. */
  record(name: string, now: number): void {
    if (!this.seenAt.has(name)) this.seenAt.set(name, now);
  }

  /** Forgets the names that no longer belong to the set. */
  retain(belongs: (name: string) => boolean): void {
    for (const name of this.seenAt.keys()) if (!belongs(name)) this.seenAt.delete(name);
  }

  /** For how long the name seen first has been known; 0 if there is none. */
  oldestAgeMs(now: number): number {
    return now - Math.min(now, ...this.seenAt.values());
  }

  /** The names known for at least `durationMs`, in the order in which they were first seen. */
  knownForAtLeast(durationMs: number, now: number): string[] {
    return [...this.seenAt]
      .filter(([, seenAt]) => now - seenAt >= durationMs)
      .map(([name]) => name);
  }
}
