/** The tasks on the machines whose reports a controller answers for the leader, as these reports tell them. */
import type { Progress } from '../jobs/job-table.js';
import type { Heartbeat } from '../wire/model.js';
import { isNewer } from '../workers/heartbeat-applier.js';
import { MachineNews } from '../workers/machine-news.js';
import type { ProgressReport } from './progress-report.js';

/** The last report of a machine. */
interface ObservedMachine {
  endpoint: string;
  incarnation: number;
  sequence: number;
  arrivedAt: number;
  newsFrom: number;
  /** Number of running tasks by job. */
  running: Map<string, number>;
}

/** The running tasks on all machines whose state is known. */
interface Summary {
  at: number;
  /** Number of machines. */
  machines: number;
  /** Number of running tasks by job. */
  running: Map<string, number>;
}

const NO_JOBS: ReadonlyMap<string, null> = new Map();
/** Age up to which a summary is used again: many users may ask at once. */
const MAX_SUMMARY_AGE_MS = 200;
/** A machine that has sent nothing for longer than this is forgotten. */
const RETENTION_MS = 60_000;

/**
 * Knows of tasks that run, not of tasks that don't: a task may be on another machine as well. As for the leader, the
 * reports of a machine count only once it has answered a request: see `MachineNews`.
 */
export class ObservedTasks {
  private readonly machines = new Map<string, ObservedMachine>();
  private readonly news: MachineNews;
  private summary: Summary | null = null;

  /** `epoch` is different for each process of this controller. */
  constructor(
    private readonly epoch: number,
    heartbeatIntervalS: number,
    private readonly now: () => number,
  ) {
    this.news = new MachineNews(heartbeatIntervalS);
  }

  /** Records a report that is answered in such a way that the worker goes on to report to this controller. */
  recordReport(heartbeat: Heartbeat): void {
    const machine = this.record(heartbeat);
    if (machine) this.news.reportArrived(machine, machine.arrivedAt);
  }

  /** Records the report in the response to a request that was sent at `requestedAt`. */
  recordResponse(heartbeat: Heartbeat, requestedAt: number): void {
    const machine = this.record(heartbeat);
    if (machine) this.news.responseArrived(machine, requestedAt);
  }

  /** Returns null for a report that is not newer than the last one of its machine. */
  private record(heartbeat: Heartbeat): ObservedMachine | null {
    const { machine: id, endpoint, incarnation, sequence, tasks } = heartbeat;
    const previous = this.machines.get(id);
    if (previous && !isNewer(heartbeat, previous, previous.sequence)) return null;
    const running = new Map<string, number>();
    for (const { job, state } of tasks)
      if (state === 'running') running.set(job, (running.get(job) ?? 0) + 1);
    const newsFrom = previous?.newsFrom ?? -Infinity;
    const arrivedAt = this.now();
    const machine = { endpoint, incarnation, sequence, arrivedAt, newsFrom, running };
    this.machines.set(id, machine);
    return machine;
  }

  /** Number of the job's tasks that are known to run. */
  runningTasks(job: string): number {
    return this.currentSummary().running.get(job) ?? 0;
  }

  /** Returns the jobs that are known to run; null if no machine's state is known. */
  report(): ProgressReport | null {
    const { machines, running } = this.currentSummary();
    if (machines === 0) return null;
    const jobs = new Map<string, Progress>();
    for (const [job, count] of running) jobs.set(job, { done: 0, running: count });
    return { epoch: this.epoch, jobs, uncertain: NO_JOBS };
  }

  /** The endpoints of machines that report to this controller, and that have to answer a request before that counts. */
  endpointsToAsk(): string[] {
    const now = this.now();
    return [...this.machines.values()].flatMap((machine) => {
      const isReporting = this.news.isCurrent({ newsFrom: machine.arrivedAt }, false, now);
      return isReporting && !this.news.isCurrent(machine, false, now) ? [machine.endpoint] : [];
    });
  }

  private currentSummary(): Summary {
    const now = this.now();
    if (!this.summary || now - this.summary.at > MAX_SUMMARY_AGE_MS)
      this.summary = this.summarize(now);
    return this.summary;
  }

  private summarize(now: number): Summary {
    const summary: Summary = { at: now, machines: 0, running: new Map() };
    for (const [id, machine] of this.machines) {
      if (now - machine.arrivedAt > RETENTION_MS) this.machines.delete(id);
      if (!this.news.isCurrent(machine, false, now)) continue;
      summary.machines++;
      for (const [job, count] of machine.running)
        summary.running.set(job, (summary.running.get(job) ?? 0) + count);
    }
    return summary;
  }
}
