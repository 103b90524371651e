/** What a controller knows of the progress of live jobs, from its own term as leader or from reports of others. */
import type { Progress } from '../jobs/job-table.js';
import { type Clock, type Log, sleep } from '../runtime.js';
import { StateMachine, type Transitions } from '../state-machine.js';
import type { ObservedTasks } from './observed-tasks.js';
import type { DatedReport, ProgressReader } from './progress-reader.js';
import type { ProgressReport } from './progress-report.js';
import { MAX_REPORT_AGE_MS, ReportedProgress } from './reported-progress.js';
import { LEADER_SOURCE } from './stored-progress.js';

/** Stored reports are read while the latest one from the leader itself is older than this. */
const READ_AFTER_MS = 1000;
const READ_INTERVAL_MS = 400;
/** Stored reports are read for this time after a user asked for a job of which the leader is uncertain. */
const READ_AFTER_QUERY_MS = 10_000;
/** Users wait for 2 s for the response to a poll. */
const MAX_WAIT_MS = 1500;
const WAIT_STEP_MS = 50;
/** Maximum number of requests that wait at a time: each occupies a socket. */
const MAX_WAITING = 100;

/**
 * - `current`: this node leads, or has a report that is not too old.
 * - `outdated`: the progress of jobs is not known here.
 */
type ProgressState = 'current' | 'outdated';

const TRANSITIONS: Transitions<ProgressState> = {
  current: ['outdated'],
  outdated: ['current'],
};

/** The part of a leader's term that knows the progress of its jobs. */
export interface LeaderProgress {
  /** Whether the node may act as the leader now, and has loaded all jobs. */
  isLeading(): boolean;
  /** Null if it is not known at present whether a task of the job runs. */
  progressOf(id: string): Progress | null;
  /** Number of the job's tasks that are known to be finished. */
  finishedTasks(id: string): number;
}

/** Dependencies of `JobProgress`. */
export interface JobProgressDependencies {
  clock: Clock;
  log: Log;
  reader: Pick<ProgressReader, 'read' | 'reset'>;
  observed: Pick<ObservedTasks, 'runningTasks'>;
  /** The term in which this node leads, or null; the leadership may be suspended. */
  term(): LeaderProgress | null;
  /** Name of the controller that leads as far as this one knows; null if none is known. */
  leaderName(): string | null;
}

/** Tells the progress of a job as of at most 3 s ago, or that it is not known. */
export class JobProgress {
  private readonly reported = new ReportedProgress();
  /** By source, what other controllers hear of machines that the leader does not hear. */
  private readonly observedElsewhere = new Map<string, ReportedProgress>();
  private waiting = 0;
  /** Time after which the latest report that came from the leader itself was composed. */
  private heardLeaderAt = -Infinity;
  /** When a user last asked for a job whose progress the leader did not know, or did not tell. */
  private unknownToLeaderAt = -Infinity;
  /** Where the latest report came from. */
  private source = 'none';
  private readonly stateMachine: StateMachine<ProgressState>;

  constructor(private readonly deps: JobProgressDependencies) {
    this.stateMachine = new StateMachine('job progress', TRANSITIONS, 'outdated', {
      beforeTransition: (_from, to, cause) => {
        this.deps.log.info({ state: to, cause }, 'progress of jobs');
      },
    });
  }

  /** Watches the age of the reports, and reads stored ones when they are needed. Runs until the process ends. */
  async run(): Promise<void> {
    const { clock, reader } = this.deps;
    for (;;) {
      if (this.needsStoredReports()) for (const dated of await reader.read()) this.record(dated);
      else reader.reset();
      this.updateState();
      await sleep(clock, READ_INTERVAL_MS);
    }
  }

  /** The endpoints of machines that the leader does not hear, and on which jobs ran of which it is uncertain. */
  endpointsToAsk(): Set<string> {
    return this.isLeading() ? new Set() : this.reported.endpointsToAsk(this.deps.clock.now());
  }

  /** Whether this controller has a current report of the leader, but only because the leader stores it. */
  dependsOnStoredReports(): boolean {
    const now = this.deps.clock.now();
    if (this.isLeading() || now - this.heardLeaderAt <= READ_AFTER_MS) return false;
    return this.reported.ageMs(now) <= MAX_REPORT_AGE_MS;
  }

  private needsStoredReports(): boolean {
    const now = this.deps.clock.now();
    if (now - this.unknownToLeaderAt <= READ_AFTER_QUERY_MS) return true;
    return !this.isLeading() && now - this.heardLeaderAt > READ_AFTER_MS;
  }

  private record({ source, report, composedAfter }: DatedReport): void {
    if (source === LEADER_SOURCE) {
      this.source = 'state service';
      this.reported.record(report, composedAfter);
      return;
    }
    const observed = this.observedElsewhere.get(source) ?? new ReportedProgress();
    this.observedElsewhere.set(source, observed);
    // The epochs of an observer's processes are in no order.
    observed.record({ ...report, epoch: null }, composedAfter);
  }

  /** Records a report that the leader sent, and that it composed after `composedAfter` by this controller's clock. */
  recordReport(report: ProgressReport, composedAfter: number): void {
    this.source = 'leader';
    this.heardLeaderAt = Math.max(this.heardLeaderAt, composedAfter);
    this.reported.record(report, composedAfter);
    this.updateState();
  }

  private isLeading(): boolean {
    return this.leadingTerm() !== null;
  }

  private updateState(): void {
    if (this.isLeading()) {
      this.stateMachine.transitionTo('current', 'this controller leads');
      return;
    }
    const isCurrent = this.reported.ageMs(this.deps.clock.now()) <= MAX_REPORT_AGE_MS;
    if (isCurrent) this.stateMachine.transitionTo('current', `report from ${this.source}`);
    else this.stateMachine.transitionTo('outdated', this.causeOfAge());
  }

  private causeOfAge(): string {
    const leader = this.deps.leaderName();
    return leader === null ? 'no leader is known' : `no report from ${leader}`;
  }

  /** The progress of a live job; null if it is not known now. */
  progressOf(id: string): Progress | null {
    const now = this.deps.clock.now();
    const term = this.leadingTerm();
    const known = term ? term.progressOf(id) : this.reported.progressOf(id, now);
    if (known) return known;
    this.unknownToLeaderAt = now;
    const running = this.observedRunning(id, now);
    if (running === 0) return null;
    return { done: term ? term.finishedTasks(id) : this.reported.finishedTasks(id), running };
  }

  private leadingTerm(): LeaderProgress | null {
    const term = this.deps.term();
    return term?.isLeading() ? term : null;
  }

  /** Number of the job's tasks that run on machines which this controller or another follower hears. */
  private observedRunning(id: string, now: number): number {
    let running = this.deps.observed.runningTasks(id);
    for (const reported of this.observedElsewhere.values())
      running += reported.progressOf(id, now)?.running ?? 0;
    return running;
  }

  /** Waits until the progress of a job is known, but no longer than the user does. */
  async untilKnown(id: string): Promise<void> {
    const { clock } = this.deps;
    if (this.waiting >= MAX_WAITING) return;
    this.waiting++;
    const deadline = clock.now() + MAX_WAIT_MS;
    while (this.progressOf(id) === null && clock.now() < deadline) await sleep(clock, WAIT_STEP_MS);
    this.waiting--;
  }
}
