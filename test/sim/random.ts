/** Random numbers for simulated runs. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random number generator of one run, determined by its seed. */
export class SeededRandom {
  private readonly rng;

  constructor(seed: number) {
    this.rng = xoroshiro128plus(seed);
  }

  /** Returns an integer from `from` to `to`, both included. */
  int(from: number, to: number): number {
    return uniformInt(this.rng, from, to);
  }

  /** Returns a number of at least 0 and less than 1. */
  unit(): number {
    return this.int(0, 2 ** 30 - 1) / 2 ** 30;
  }

  between(from: number, to: number): number {
    return from + (to - from) * this.unit();
  }

  chance(probability: number): boolean {
    return this.unit() < probability;
  }

  pick<T>(list: T[]): T {
    return list[this.int(0, list.length - 1)];
  }
}
