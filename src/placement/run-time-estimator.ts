/** Learns run times by class of jobs, and corrects the owners' estimates by them. */
import { type Histogram, build } from 'hdr-histogram-js';

const MAX_MS = 24 * 3600 * 1000;
const BIAS_UNIT = 1000;

/** Run times learned per class, and per job how long its tasks take, on each machine and in all. */
export class RunTimeEstimator {
  private readonly byClass = new Map<string, Histogram>();
  private readonly bias = new Map<string, Histogram>();

  private histogram(): Histogram {
    return build({
      bitBucketSize: 32,
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_MS,
      numberOfSignificantValueDigits: 2,
      useWebAssembly: false,
    });
  }

  /** Owners' estimates are wrong by much, on some days all in one direction: that bias is learnt, too. */
  record(cls: string, ms: number, estimateMs: number): void {
    this.add(this.byClass, cls, ms);
    if (estimateMs > 0) this.add(this.bias, cls, (ms / estimateMs) * BIAS_UNIT);
  }

  private add(map: Map<string, Histogram>, cls: string, value: number): void {
    let h = map.get(cls);
    if (!h) map.set(cls, (h = this.histogram()));
    h.recordValue(Math.max(1, Math.min(MAX_MS, Math.round(value))));
  }

  /** What a task of the class is expected to take, given its owner's estimate. */
  expectedMs(cls: string, estimateMs: number): number {
    const h = this.bias.get(cls);
    const bias = h && h.totalCount >= 20 ? h.getValueAtPercentile(50) / BIAS_UNIT : 1;
    return estimateMs > 0 ? estimateMs * bias : (this.medianMs(cls) ?? 0);
  }

  /** The median of a class in milliseconds, or null with fewer than `least` samples. */
  medianMs(cls: string, least = 5): number | null {
    const h = this.byClass.get(cls);
    return h && h.totalCount >= least ? h.getValueAtPercentile(50) : null;
  }
}
