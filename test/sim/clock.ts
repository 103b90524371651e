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
    const e: Event = { at: this.time + Math.max(0, ms), order: this.order++, fn, off: false };
    this.push(e);
    return () => {
      e.off = true;
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

  private push(e: Event): void {
    const h = this.heap;
    h.push(e);
    for (let i = h.length - 1; i > 0;) {
      const p = (i - 1) >> 1;
      if (!this.less(h[i], h[p])) break;
      [h[i], h[p]] = [h[p], h[i]];
      i = p;
    }
  }

  private pop(): Event | undefined {
    const h = this.heap;
    const top = h[0];
    const last = h.pop();
    if (h.length > 0 && last) {
      h[0] = last;
      for (let i = 0; ;) {
        let s = i;
        for (const c of [2 * i + 1, 2 * i + 2]) if (c < h.length && this.less(h[c], h[s])) s = c;
        if (s === i) break;
        [h[i], h[s]] = [h[s], h[i]];
        i = s;
      }
    }
    return top;
  }

  /** `check` looks at the rules after each step. */
  async runUntil(end: number, check: () => void): Promise<void> {
    while (this.heap.length > 0 && this.heap[0].at <= end) {
      const e = this.pop()!;
      if (e.off) continue;
      this.time = e.at;
      e.fn();
      await new Promise<void>((done) => setImmediate(done));
      check();
    }
    this.time = end;
  }
}
