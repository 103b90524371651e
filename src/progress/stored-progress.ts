/**
 * The form in which a controller stores its report for controllers that do not hear it: pages with the jobs that run or
 * are uncertain, and a stamp. A stamp confirms that all pages hold what the controller knew when it composed the stamp,
 * or later. There is one report of the leader, and one of each controller that hears machines which the leader does not.
 */
import type { KeyValue } from '@millring/state-access';
import type { Progress } from '../jobs/job-table.js';
import { isMap } from '../wire/cbor.js';
import type { ProgressReport } from './progress-report.js';

/** Prefix of the keys of all reports. */
export const PROGRESS_PREFIX = 'progress/';
/** The source of the leader's report. */
export const LEADER_SOURCE = 'leader';

/** The source of the report of a controller on the machines that it hears. */
export const observerSource = (controller: string): string => `heard-by-${controller}`;
/** The prefix of the keys of a report. */
export const reportPrefix = (source: string): string => `${PROGRESS_PREFIX}${source}/`;
/** The key of a report's stamp. */
export const stampKey = (source: string): string => `${reportPrefix(source)}stamp`;
/** The key of a report's page. */
export const pageKey = (source: string, page: number): string =>
  `${reportPrefix(source)}page-${page}`;

/**
 * Each stamp is composed after the one before it in the same epoch was found stored, and has the next higher sequence.
 * The epoch of an observer's report is different for each of its processes.
 */
export interface ProgressStamp {
  epoch: number;
  sequence: number;
}

/**
 * A job that runs, with the counts at the time when its page was written; or one that is uncertain, with the endpoint of
 * a machine to ask, if there is one.
 */
export type StoredJobProgress = [
  id: string,
  progress: [done: number, running: number] | string | null,
];

/** A stored report. */
export interface StoredProgress {
  source: string;
  stamp: ProgressStamp;
  report: ProgressReport;
}

/** Reads the stamp; null if it is malformed. */
export function readStamp(value: unknown): ProgressStamp | null {
  if (!isMap(value)) return null;
  const { epoch, sequence } = value;
  return typeof epoch === 'number' && typeof sequence === 'number' ? { epoch, sequence } : null;
}

/** Reads a page; malformed entries are skipped. */
export function readPage(value: unknown): StoredJobProgress[] {
  const jobs: unknown = isMap(value) ? value.jobs : null;
  return Array.isArray(jobs) ? jobs.flatMap((entry: unknown) => readEntry(entry) ?? []) : [];
}

function readEntry(entry: unknown): [StoredJobProgress] | null {
  if (!Array.isArray(entry)) return null;
  const [id, progress] = entry as unknown[];
  if (typeof id !== 'string') return null;
  if (!Array.isArray(progress)) return [[id, typeof progress === 'string' ? progress : null]];
  const [done, running] = progress as unknown[];
  return typeof done === 'number' && typeof running === 'number' ? [[id, [done, running]]] : null;
}

/** Reads all reports that have a stamp from one snapshot of the keys with `PROGRESS_PREFIX`. */
export function readStoredProgress(pairs: readonly KeyValue[]): StoredProgress[] {
  const bySource = new Map<string, KeyValue[]>();
  for (const pair of pairs) {
    const source = pair.key.slice(PROGRESS_PREFIX.length, pair.key.lastIndexOf('/'));
    bySource.set(source, [...(bySource.get(source) ?? []), pair]);
  }
  return [...bySource].flatMap(([source, ofSource]) => readReport(source, ofSource) ?? []);
}

function readReport(source: string, pairs: readonly KeyValue[]): StoredProgress | null {
  const stamp = readStamp(pairs.find(({ key }) => key === stampKey(source))?.value);
  if (!stamp) return null;
  const jobs = new Map<string, Progress>();
  const uncertain = new Map<string, string | null>();
  for (const { value } of pairs)
    for (const [id, progress] of readPage(value))
      if (Array.isArray(progress)) jobs.set(id, { done: progress[0], running: progress[1] });
      else uncertain.set(id, progress);
  return { source, stamp, report: { epoch: stamp.epoch, jobs, uncertain } };
}
