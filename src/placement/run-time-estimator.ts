/** Learns run times by job class, and corrects the owners' estimates with them. */
import { type Histogram, build } from 'hdr-histogram-js';

const MAX_RUN_TIME_MS = 24 * 3600 * 1000;
const SIGNIFICANT_DIGITS = 2;
/** Histograms hold integers, so the ratio of run time to estimate is recorded in thousandths. */
const BIAS_UNIT = 1000;
const MIN_SAMPLES_FOR_BIAS = 20;
const MIN_SAMPLES_FOR_MEDIAN = 5;

function newHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RUN_TIME_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

function recordIn(histograms: Map<string, Histogram>, jobClass: string, value: number): void {
  let histogram = histograms.get(jobClass);
  if (!histogram) {
    histogram = newHistogram();
    histograms.set(jobClass, histogram);
  }
  histogram.recordValue(Math.max(1, Math.min(MAX_RUN_TIME_MS, Math.round(value))));
}

/** The run times of finished tasks by job class, and the bias of the owners' estimates. */
export class RunTimeEstimator {
  private readonly runTimes = new Map<string, Histogram>();
  private readonly biases = new Map<string, Histogram>();

  /**
   * Records a run time, and its ratio to the owner's estimate, by which `expectedMs` corrects later estimates: owners'
   * estimates can be far off, on some days all in the same direction.
   */
  record(jobClass: string, runTimeMs: number, estimateMs: number): void {
    recordIn(this.runTimes, jobClass, runTimeMs);
    if (estimateMs > 0) recordIn(this.biases, jobClass, (runTimeMs / estimateMs) * BIAS_UNIT);
  }

  /** Expected run time of a task of the class, given its owner's estimate (0: none). Returns 0 if nothing is known. */
  expectedMs(jobClass: string, estimateMs: number): number {
    if (estimateMs > 0) return estimateMs * this.bias(jobClass);
    return this.medianMs(jobClass) ?? 0;
  }

  private bias(jobClass: string): number {
    const histogram = this.biases.get(jobClass);
    if (!histogram || histogram.totalCount < MIN_SAMPLES_FOR_BIAS) return 1;
    return histogram.getValueAtPercentile(50) / BIAS_UNIT;
  }

  /** The median run time of a class; null if there are too few samples. */
  medianMs(jobClass: string): number | null {
    const histogram = this.runTimes.get(jobClass);
    if (!histogram || histogram.totalCount < MIN_SAMPLES_FOR_MEDIAN) return null;
    return histogram.getValueAtPercentile(50);
  }
}
