/** Run times of finished tasks, kept per job so that machines can be compared. */

const MAX_SAMPLES_PER_JOB = 64;
const MAX_JOBS = 200;
/** A median of fewer run times is not meaningful. */
const MIN_SAMPLES_FOR_MEDIAN = 3;

interface RunTimeSample {
  /** Index of the machine that ran the task. */
  machine: number;
  runTimeMs: number;
}

/** How many jobs ran slower on a machine than elsewhere, and how many did not. */
export interface MachineComparison {
  slower: number;
  normal: number;
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >> 1];
}

/** Run time at the given position among the samples of all other machines; Infinity if there is none. */
function runTimeElsewhere(sorted: RunTimeSample[], machine: number, position: number): number {
  let remaining = position;
  for (const sample of sorted)
    if (sample.machine !== machine && remaining-- === 0) return sample.runTimeMs;
  return Infinity;
}

/** Run times grouped by machine, in the order of the samples. */
function groupByMachine(samples: RunTimeSample[]): Map<number, number[]> {
  const groups = new Map<number, number[]>();
  for (const { machine, runTimeMs } of samples)
    groups.set(machine, [...(groups.get(machine) ?? []), runTimeMs]);
  return groups;
}

/** Latest run times of each job's finished tasks, by machine. Jobs and machines are given by their index. */
export class RunTimeSamples {
  private readonly byJob = new Map<number, RunTimeSample[]>();
  /** Indexes of terminal jobs that may still have samples, in the order in which they ended. */
  private readonly terminalJobs: number[] = [];

  record(job: number, machine: number, runTimeMs: number): void {
    let samples = this.byJob.get(job);
    if (!samples) {
      samples = [];
      this.byJob.set(job, samples);
    }
    samples.push({ machine, runTimeMs });
    if (samples.length > MAX_SAMPLES_PER_JOB) samples.shift();
  }

  /** The median run time of a job's tasks; null if there are too few samples. */
  medianMs(job: number): number | null {
    const samples = this.byJob.get(job);
    if (!samples || samples.length < MIN_SAMPLES_FOR_MEDIAN) return null;
    return median(samples.map((sample) => sample.runTimeMs));
  }

  /**
   * Counts, per machine, the jobs whose median run time on it is at least `ratio` times their median elsewhere, and the
   * jobs for which it is not. Each job's samples are sorted once, for all machines.
   */
  compareMachines(ratio: number): Map<number, MachineComparison> {
    const comparisons = new Map<number, MachineComparison>();
    for (const samples of this.byJob.values()) {
      const sorted = [...samples].sort((a, b) => a.runTimeMs - b.runTimeMs);
      for (const [machine, runTimes] of groupByMachine(sorted)) {
        const samplesElsewhere = sorted.length - runTimes.length;
        if (samplesElsewhere < MIN_SAMPLES_FOR_MEDIAN) continue;
        const medianHere = runTimes[runTimes.length >> 1];
        const medianElsewhere = runTimeElsewhere(sorted, machine, samplesElsewhere >> 1);
        const comparison = comparisons.get(machine) ?? { slower: 0, normal: 0 };
        if (medianHere >= ratio * medianElsewhere) comparison.slower++;
        else comparison.normal++;
        comparisons.set(machine, comparison);
      }
    }
    return comparisons;
  }

  /**
   * Called when a job has reached a terminal state; bounds the number of jobs with samples. Samples of terminal jobs
   * are still useful, so they are kept until there are too many jobs; those of the jobs that ended first are then
   * removed.
   */
  jobEnded(job: number, isLive: (job: number) => boolean): void {
    this.terminalJobs.push(job);
    while (this.byJob.size > MAX_JOBS) {
      const oldest = this.terminalJobs.shift();
      if (oldest === undefined) return;
      if (!isLive(oldest)) this.byJob.delete(oldest);
    }
  }
}
