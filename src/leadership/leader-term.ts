/** One term of a leader. A new term starts with empty tables. */
import type { Conversion } from '@millring/rollout';
import { COMPACT_FINISHED_TASKS, FENCED_DUTIES } from '../build.js';
import type { Progress } from '../jobs/job-table.js';
import type { ProgressReport } from '../progress/progress-report.js';
import { combinedConversion } from '../rollout/conversions.js';
import { sleep } from '../runtime.js';
import type { Heartbeat } from '../wire/model.js';
import type { HeartbeatResponse } from './heartbeat-handler.js';
import { JobConditions } from './job-conditions.js';
import { LeaderComponents } from './leader-components.js';
import type { ElectedTerm } from './leader-record.js';
import type { LeaderTermDependencies } from './leader-term-dependencies.js';
import type { LeaseExtensionResponse } from './lease-extension.js';
import { partitionedZones } from './partitioned-zones.js';
import { intentConversion, restoreIntents } from './restored-intents.js';
import { restoreMachines } from './restored-machines.js';
import { type StoredState, logStoredState, readStoredState } from './stored-state.js';
import { TermLifecycle } from './term-lifecycle.js';

/**
 * Reported until all records have been read: the conversion is not known to be done. The count of 1 is a placeholder.
 */
const CONVERSION_UNKNOWN: Conversion = { kind: 'running', remaining: 1 };
const LOAD_RETRY_MS = 200;

/** A leader's term from its election to its end: loads the state that former leaders stored, then serves. */
export class LeaderTerm {
  private readonly lifecycle: TermLifecycle;
  private readonly components: LeaderComponents;
  private readonly conditions: JobConditions;

  constructor(
    private readonly deps: LeaderTermDependencies,
    term: ElectedTerm,
  ) {
    this.lifecycle = new TermLifecycle(term, deps.runtime.log, () => deps.holdsLeadership());
    this.components = new LeaderComponents(deps, this.lifecycle);
    this.conditions = this.createJobConditions();
  }

  private createJobConditions(): JobConditions {
    const { runtime, settings } = this.deps;
    const { jobs, recovery, news, grants } = this.components;
    return new JobConditions({
      epoch: this.lifecycle.epoch,
      jobs,
      recovery,
      news,
      zonesOutOfContact: (now) => partitionedZones(settings, grants, now),
      now: () => runtime.clock.now(),
    });
  }

  /** Loads the stored state, retrying until this succeeds or the term ends, and then starts to serve. */
  async run(): Promise<void> {
    const { clock } = this.deps.runtime;
    let revision = await this.loadStoredState();
    while (revision === null && this.lifecycle.isLoading()) {
      await sleep(clock, LOAD_RETRY_MS);
      revision = await this.loadStoredState();
    }
    if (revision !== null && this.lifecycle.isLoading()) this.serve(revision);
  }

  private serve(revision: number): void {
    const { table, sender, contact, recovery, feed, controlLoop } = this.components;
    this.lifecycle.serve();
    const now = this.deps.runtime.clock.now();
    contact.recordHeartbeat(now);
    recovery.begin(now);
    for (const machine of table.all()) sender.flush(machine, true);
    void feed.follow(revision);
    controlLoop.tick();
  }

  /**
   * Reads all records. Returns the revision after which changes must be followed. Returns null if the state service
   * could not be read or the term has ended.
   */
  private async loadStoredState(): Promise<number | null> {
    const { store, duties, runtime } = this.deps;
    const { epoch, baseToken } = this.lifecycle;
    const beganAt = runtime.clock.now();
    const stored = await readStoredState(
      store,
      duties.mayIntentsExist() ? this.components.intentLog : null,
    );
    if (!stored || !this.lifecycle.isLoading()) return null;
    logStoredState(stored, beganAt, { epoch, token: baseToken }, runtime);
    this.restore(stored);
    return stored.revision;
  }

  private restore({ machines, jobs, finished, intents }: StoredState): void {
    const { table, machineRecords, recovery, autoscaler, completionWriter } = this.components;
    restoreMachines(machines, {
      table,
      machineRecords,
      recovery,
      types: this.deps.types,
      now: this.deps.runtime.clock.now(),
    });
    restoreIntents(intents, this.components.intentLog, autoscaler);
    this.components.feed.load(jobs, finished, {
      finishedRecordFound: (job, recordNumber) => {
        completionWriter.noteWritten(job, recordNumber);
      },
      orphanFound: (key) => {
        completionWriter.recordOrphan(key);
      },
    });
  }

  /** Called when the leadership has ended. */
  end(): void {
    this.lifecycle.end();
  }

  /**
   * Called after a suspension. No other node can have led meanwhile, so the tables are still valid. Heartbeats that
   * were missing during the suspension indicate no failure, so heartbeat timeouts start again.
   */
  resumed(): void {
    const { table, contact, cycles } = this.components;
    const now = this.deps.runtime.clock.now();
    contact.recordHeartbeat(now);
    for (const machine of table.all()) machine.lastHeardAt = Math.max(machine.lastHeardAt, now);
    cycles.request();
  }

  /** How far records of features above the target level have been converted back, while the level is lowered. */
  conversion(targetLevel: number): Conversion {
    if (!this.lifecycle.isServing()) return CONVERSION_UNKNOWN;
    const { completionWriter, intentLog } = this.components;
    return combinedConversion(targetLevel, {
      [COMPACT_FINISHED_TASKS]: () => completionWriter.conversion(),
      [FENCED_DUTIES]: () => intentConversion(intentLog),
    });
  }

  /** Handles a worker's heartbeat. Returns null if this node may not respond: the response would renew the lease. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse | null {
    return this.components.heartbeats.handle(heartbeat);
  }

  /** See `LeaseExtensionHandler`. */
  handleLeaseExtensionRequest(
    peer: string,
    isFromPresentProcess: boolean,
  ): LeaseExtensionResponse | null {
    return this.components.leaseExtensions.handleRequest(peer, isFromPresentProcess);
  }

  /** See `LeaseExtensionHandler`. */
  mayExtendWhileSuspended(heartbeat: Heartbeat, uncontestedUntil: number): boolean {
    return this.components.leaseExtensions.mayExtendWhileSuspended(heartbeat, uncontestedUntil);
  }

  /** Records that the job is cancelled, when this node learned it from another source than the job's record. */
  recordCancellation(id: string): void {
    this.components.intake.recordCancellation(id);
  }

  /** Whether this node may act as the leader now, and has loaded all jobs. */
  isLeading(): boolean {
    return this.lifecycle.isLeader();
  }

  /** What this node knows of all live jobs; null unless it may act as the leader now. */
  progressReport(): ProgressReport | null {
    if (!this.isLeading()) return null;
    return this.conditions.report();
  }

  /** Number of the job's tasks that are known to be finished. */
  finishedTasks(id: string): number {
    return this.components.jobs.get(id)?.finishedCount ?? 0;
  }

  /** The progress of a live job; null if it is not known at present whether a task of it runs. */
  progressOf(id: string): Progress | null {
    return this.conditions.progressOf(id);
  }
}
