/**
 * Detects stragglers, machines that run tasks slowly. The paper (section 5.5, Listing 2) leaves detection open. Workers
 * report no CPU use, so a machine is flagged when tasks of several jobs run longer on it than the same jobs elsewhere.
 */
import type { Job } from '../jobs/job-table.js';
import type { Machine } from '../workers/machine.js';
import type { TaskAttempt } from '../workers/task-attempt.js';

const MAX_SAMPLES_PER_JOB = 64;
const MAX_JOBS = 200;
/** A median of fewer run times says too little. */
const MIN_SAMPLES_FOR_MEDIAN = 3;

interface RunTimeSample {
  /** Index of the machine that ran the task. */
  machine: number;
  runTimeMs: number;
}

/** How many jobs ran slower on a machine than elsewhere, and how many did not. */
interface MachineComparison {
  slower: number;
  normal: number;
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >> 1];
}

/** Of the samples of all other machines, the one at this position. */
function runTimeElsewhere(sorted: RunTimeSample[], machine: number, position: number): number {
  let remaining = position;
  for (const sample of sorted)
    if (sample.machine !== machine && remaining-- === 0) return sample.runTimeMs;
  return Infinity;
}

/** By machine, its run times in the order of the samples. */
function groupByMachine(samples: RunTimeSample[]): Map<number, number[]> {
  const groups = new Map<number, number[]>();
  for (const { machine, runTimeMs } of samples)
    groups.set(machine, [...(groups.get(machine) ?? []), runTimeMs]);
  return groups;
}

/** Run times of finished tasks by job and machine, both given by their index: the latest ones of each job. */
export class RunTimeSamples {
  private readonly byJob = new Map<number, RunTimeSample[]>();

  record(job: number, machine: number, runTimeMs: number): void {
    let samples = this.byJob.get(job);
    if (!samples) {
      samples = [];
      this.byJob.set(job, samples);
    }
    samples.push({ machine, runTimeMs });
    if (samples.length > MAX_SAMPLES_PER_JOB) samples.shift();
  }

  /** The median run time of a job's tasks; null with too few samples. */
  medianMs(job: number): number | null {
    const samples = this.byJob.get(job);
    if (!samples || samples.length < MIN_SAMPLES_FOR_MEDIAN) return null;
    return median(samples.map((sample) => sample.runTimeMs));
  }

  /**
   * Per machine, how many jobs ran longer on it, by the ratio, than the same jobs elsewhere; and how many did
   * not. Each job's samples are sorted once, for all machines.
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

  forget(job: number): void {
    this.byJob.delete(job);
  }

  jobCount(): number {
    return this.byJob.size;
  }
}

/**
 * Bounds the number of jobs. Samples of ended jobs are still worth something, so they are kept until there are too
 * many; the oldest of `ended` then go, and are removed from it.
 */
export function evictOldestSamples(
  samples: RunTimeSamples,
  isLive: (job: number) => boolean,
  ended: number[],
): void {
  while (samples.jobCount() > MAX_JOBS) {
    const job = ended.shift();
    if (job === undefined) return;
    if (!isLive(job)) samples.forget(job);
  }
}

/** Machines on which at least `minJobs` jobs ran longer than elsewhere, and more did so than did not. */
export function detectStragglers(
  samples: RunTimeSamples,
  ratio: number,
  minJobs: number,
): Set<number> {
  const stragglers = new Set<number>();
  for (const [machine, { slower, normal }] of samples.compareMachines(ratio))
    if (slower >= minJobs && slower > normal) stragglers.add(machine);
  return stragglers;
}

/** Does the task run, and is it in the first half of its usual run time? */
function isYoung(attempt: TaskAttempt, usualMs: number, now: number): boolean {
  const { state, runningSince } = attempt;
  return state === 'running' && runningSince !== 0 && now - runningSince < usualMs / 2;
}

/** A gang moves whole or not at all. */
function isWholeGangYoung(gang: Job, usualMs: number, now: number): boolean {
  for (const attempts of gang.attempts.values())
    for (const attempt of attempts) if (!isYoung(attempt, usualMs, now)) return false;
  return true;
}

function isWorthMoving(
  attempt: TaskAttempt,
  job: Job,
  usualMs: (job: Job) => number | null,
  now: number,
): boolean {
  if (job.spec.kind === 'service' || attempt.stop || job.moved.has(attempt.taskNumber))
    return false;
  if (attempt.state !== 'running' || attempt.runningSince === 0) return false;
  const usual = usualMs(job);
  if (usual === null || !isYoung(attempt, usual, now)) return false;
  return job.spec.kind !== 'gang' || isWholeGangYoung(job, usual, now);
}

/** The youngest task of a straggler that is worth moving: in its first half, and not moved before. */
export function selectTaskToMove(
  machine: Machine,
  usualMs: (job: Job) => number | null,
  now: number,
): TaskAttempt | null {
  let youngest: TaskAttempt | null = null;
  for (const attempt of machine.attempts.values()) {
    if (!attempt.job || !isWorthMoving(attempt, attempt.job, usualMs, now)) continue;
    if (!youngest || attempt.runningSince > youngest.runningSince) youngest = attempt;
  }
  return youngest;
}
