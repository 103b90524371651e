/** Composes what a controller does to know the progress of jobs, and to let other controllers know it. */
import type { Precondition } from '@millring/state-access';
import type { Runtime } from '../runtime.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import { MachineInquiry } from './machine-inquiry.js';
import { JobProgress, type LeaderProgress } from './job-progress.js';
import { ObservedTasks } from './observed-tasks.js';
import { ProgressReader } from './progress-reader.js';
import type { ProgressReport } from './progress-report.js';
import { ProgressWriter } from './progress-writer.js';
import { LEADER_SOURCE, observerSource } from './stored-progress.js';

/** A peer that has received nothing from this controller for longer than this does not hear it. */
const PEER_SILENCE_MS = 1200;

/** The term in which this node leads. */
interface ReportingTerm extends LeaderProgress {
  /** Null unless this node may act as the leader now. */
  progressReport(): ProgressReport | null;
}

/** Dependencies of `ProgressExchange`. */
export interface ProgressExchangeDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  store: StateStore;
  /** Different for each process of this controller. */
  processEpoch: number;
  /** The term in which this node leads, or null; the leadership may be suspended. */
  term(): ReportingTerm | null;
  /** Name of the controller that leads as far as this one knows; null if none is known. */
  leaderName(): string | null;
  /** Precondition that holds as long as this node's term has not ended. */
  leaderPrecondition(): Precondition;
  /** Time by this process's clock of the latest message to the peer that it is known to have received. */
  acknowledgedAt(peer: string): number;
}

/** The progress of jobs as one controller knows it, and the reports that it stores for others. */
export class ProgressExchange {
  readonly jobs: JobProgress;
  readonly observed: ObservedTasks;
  private readonly leaderReports: ProgressWriter;
  private readonly observerReports: ProgressWriter;
  private readonly inquiry: MachineInquiry;

  constructor(private readonly deps: ProgressExchangeDependencies) {
    const { runtime, settings, store } = deps;
    const { clock, log } = runtime;
    this.observed = new ObservedTasks(deps.processEpoch, settings.heartbeatIntervalS, () =>
      clock.now(),
    );
    this.jobs = new JobProgress({
      clock,
      log,
      reader: new ProgressReader(clock, store),
      observed: this.observed,
      term: () => deps.term(),
      leaderName: () => deps.leaderName(),
    });
    this.inquiry = new MachineInquiry(runtime, this.observed, () => this.endpointsToAsk());
    this.leaderReports = this.createWriter(
      LEADER_SOURCE,
      () => this.leaderReport(),
      () => [deps.leaderPrecondition()],
    );
    this.observerReports = this.createWriter(
      observerSource(settings.node),
      () => this.observerReport(),
      () => [],
    );
  }

  /** Runs until the process ends. */
  run(): void {
    void this.jobs.run();
    void this.inquiry.run();
    void this.leaderReports.run();
    void this.observerReports.run();
  }

  private createWriter(
    source: string,
    report: () => ProgressReport | null,
    preconditions: () => Precondition[],
  ): ProgressWriter {
    const { runtime, settings, store } = this.deps;
    return new ProgressWriter({
      clock: runtime.clock,
      store,
      source,
      report,
      preconditions,
      maxValueBytes: settings.maxValueKb * 1024,
      maxMutations: settings.maxTransactionOps,
      writesPerS: settings.stateWritesPerS,
    });
  }

  /** The leader's report, as long as a peer does not hear this leader. */
  private leaderReport(): ProgressReport | null {
    const { runtime, settings } = this.deps;
    const now = runtime.clock.now();
    const isUnheard = settings.peers.some(
      ({ name }) => now - this.deps.acknowledgedAt(name) > PEER_SILENCE_MS,
    );
    return isUnheard ? (this.deps.term()?.progressReport() ?? null) : null;
  }

  /** The machines that tell what the leader can't know. At a takeover none is asked. */
  private endpointsToAsk(): Set<string> {
    const reporting = this.jobs.dependsOnStoredReports() ? this.observed.endpointsToAsk() : [];
    return new Set([...this.jobs.endpointsToAsk(), ...reporting]);
  }

  /** What this follower hears, as long as there is a leader that does not hear it: at a takeover nobody reads it. */
  private observerReport(): ProgressReport | null {
    return this.jobs.dependsOnStoredReports() ? this.observed.report() : null;
  }
}
