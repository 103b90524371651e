import { type Histogram, build } from 'hdr-histogram-js';

const MAX_MS = 24 * 3600 * 1000;

/** Run times learned per class, and per job how long its tasks take, on each machine and in all. */
export class RunTimes {
  private readonly byClass = new Map<string, Histogram>();

  private histogram(): Histogram {
    return build({
      bitBucketSize: 32,
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_MS,
      numberOfSignificantValueDigits: 2,
      useWebAssembly: false,
    });
  }

  record(cls: string, ms: number): void {
    let h = this.byClass.get(cls);
    if (!h) this.byClass.set(cls, (h = this.histogram()));
    h.recordValue(Math.max(1, Math.min(MAX_MS, Math.round(ms))));
  }

  /** The median of a class in milliseconds, or null with fewer than `least` samples. */
  usual(cls: string, least = 5): number | null {
    const h = this.byClass.get(cls);
    return h && h.totalCount >= least ? h.getValueAtPercentile(50) : null;
  }
}
