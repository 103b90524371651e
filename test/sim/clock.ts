import type { Clock } from '../../src/runtime.js';

interface Event {
  at: number;
  order: number;
  fn: () => void;
  off: boolean;
}

/** Virtual time: events run in order, and everything that they cause at once is done before the next. */
export class VirtualClock {
  private heap: Event[] = [];
  private order = 0;
  time = 0;

  after(ms: number, fn: () => void): () => void {
    const event: Event = { at: this.time + Math.max(0, ms), order: this.order++, fn, off: false };
    this.push(event);
    return () => {
      event.off = true;
    };
  }

  /** The clock of one host: it may run fast or slow by a little. */
  host(rate: number, alive: () => boolean): Clock {
    return {
      now: () => this.time * rate,
      after: (ms, fn) =>
        this.after(ms / rate, () => {
          if (alive()) fn();
        }),
    };
  }

  private less(a: Event, b: Event): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private push(event: Event): void {
    const heap = this.heap;
    heap.push(event);
    for (let i = heap.length - 1; i > 0;) {
      const p = (i - 1) >> 1;
      if (!this.less(heap[i], heap[p])) break;
      [heap[i], heap[p]] = [heap[p], heap[i]];
      i = p;
    }
  }

  private pop(): Event | undefined {
    const heap = this.heap;
    const top = heap[0];
    const last = heap.pop();
    if (heap.length > 0 && last) {
      heap[0] = last;
      for (let i = 0; ;) {
        let second = i;
        for (const c of [2 * i + 1, 2 * i + 2])
          if (c < heap.length && this.less(heap[c], heap[second])) second = c;
        if (second === i) break;
        [heap[i], heap[second]] = [heap[second], heap[i]];
        i = second;
      }
    }
    return top;
  }

  /** `check` looks at the rules after each step. */
  async runUntil(end: number, check: () => void): Promise<void> {
    while (this.heap.length > 0 && this.heap[0].at <= end) {
      const event = this.pop()!;
      if (event.off) continue;
      this.time = event.at;
      event.fn();
      await new Promise<void>((done) => setImmediate(done));
      check();
    }
    this.time = end;
  }
}
