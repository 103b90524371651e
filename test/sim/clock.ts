/** Virtual time of simulated deployments. */
import type { Clock } from '../../src/runtime.js';
import { SeededRandom } from './random.js';

/** The latest reading of a process's clock at its start. */
const MAX_CLOCK_ORIGIN_MS = 300;
/** A timer is never so short that the clock, which is rounded, shows the same time when it fires. */
const MIN_TIMER_MS = 0.001;
/** Origins have random numbers of their own, so that they leave those of the simulation as they are. */
const ORIGINS_SEED = 1;

interface TimedEvent {
  at: number;
  /** Orders events at the same time by when they were scheduled. */
  order: number;
  callback: () => void;
  isCancelled: boolean;
}

/** Runs events in the order of their virtual times; all immediate effects of an event complete before the next one. */
export class VirtualClock {
  private heap: TimedEvent[] = [];
  private order = 0;
  private readonly origins = new SeededRandom(ORIGINS_SEED);
  /** Current time in milliseconds. */
  time = 0;

  /** Runs the callback after this time; returns a function that cancels it. */
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

  /**
   * Returns the monotonic clock of a process that starts now. It runs slightly fast or slow, at `rate` times the virtual
   * time, and begins anew with each process, whatever an earlier process of the same host has read from its clock.
   */
  processClock(rate: number, isAlive: () => boolean): Clock {
    const startedAt = this.time;
    const originMs = this.origins.between(0, MAX_CLOCK_ORIGIN_MS);
    return {
      now: () => originMs + (this.time - startedAt) * rate,
      after: (ms, callback) =>
        this.after(Math.max(ms, MIN_TIMER_MS) / rate, () => {
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

  /** Runs all events until `end`, and `check` after each of them. */
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
