/** The time of the simulated deployments. */
import type { Clock } from '../../src/runtime.js';

interface TimedEvent {
  at: number;
  order: number;
  callback: () => void;
  isCancelled: boolean;
}

/** Virtual time: events run in order, and everything that they cause at once is done before the next. */
export class VirtualClock {
  private heap: TimedEvent[] = [];
  private order = 0;
  time = 0;

  after(ms: number, callback: () => void): () => void {
    const event: TimedEvent = {
      at: this.time + Math.max(0, ms),
      order: this.order++,
      callback,
      isCancelled: false,
    };
    this.push(event);
    return () => {
      event.isCancelled = true;
    };
  }

  /** The clock of one host: it may run fast or slow by a little. */
  hostClock(rate: number, isAlive: () => boolean): Clock {
    return {
      now: () => this.time * rate,
      after: (ms, callback) =>
        this.after(ms / rate, () => {
          if (isAlive()) callback();
        }),
    };
  }

  private isBefore(one: TimedEvent, other: TimedEvent): boolean {
    return one.at < other.at || (one.at === other.at && one.order < other.order);
  }

  private push(event: TimedEvent): void {
    const heap = this.heap;
    heap.push(event);
    for (let i = heap.length - 1; i > 0;) {
      const parent = (i - 1) >> 1;
      if (!this.isBefore(heap[i], heap[parent])) break;
      [heap[i], heap[parent]] = [heap[parent], heap[i]];
      i = parent;
    }
  }

  private pop(): TimedEvent | undefined {
    const heap = this.heap;
    const top = heap[0];
    const last = heap.pop();
    if (heap.length > 0 && last) {
      heap[0] = last;
      for (let i = 0; ;) {
        let earliest = i;
        for (const child of [2 * i + 1, 2 * i + 2])
          if (child < heap.length && this.isBefore(heap[child], heap[earliest])) earliest = child;
        if (earliest === i) break;
        [heap[i], heap[earliest]] = [heap[earliest], heap[i]];
        i = earliest;
      }
    }
    return top;
  }

  /** `check` looks at the invariants after each step. */
  async runUntil(end: number, check: () => void): Promise<void> {
    while (this.heap.length > 0 && this.heap[0].at <= end) {
      const event = this.pop()!;
      if (event.isCancelled) continue;
      this.time = event.at;
      event.callback();
      await new Promise<void>((done) => setImmediate(done));
      check();
    }
    this.time = end;
  }
}
