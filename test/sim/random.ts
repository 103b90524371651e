import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random for one run. */
export class SeededRandom {
  private readonly rng;

  constructor(seed: number) {
    this.rng = xoroshiro128plus(seed);
  }

  int(from: number, to: number): number {
    return uniformInt(this.rng, from, to);
  }

  unit(): number {
    return this.int(0, 2 ** 30 - 1) / 2 ** 30;
  }

  between(a: number, b: number): number {
    return a + (b - a) * this.unit();
  }

  chance(p: number): boolean {
    return this.unit() < p;
  }

  pick<T>(list: T[]): T {
    return list[this.int(0, list.length - 1)];
  }
}
