/** Creates and connects the components of a leader's term. */
import type { IntentLog } from '@millring/duties';
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import { demandOf } from '../autoscaler/demand.js';
import { CompletionWriter } from '../jobs/completion-writer.js';
import { JobTable } from '../jobs/job-table.js';
import { Placement } from '../placement/placement.js';
import { allocateSockets } from '../http/socket-allocation.js';
import { CommandSender } from '../workers/command-sender.js';
import type { Machine } from '../workers/machine.js';
import { MachineNews } from '../workers/machine-news.js';
import { MachineRecordStore } from '../workers/machine-record-store.js';
import { MachineTable } from '../workers/machine-table.js';
import { ControlLoop, TICK_MS } from './control-loop.js';
import { CycleScheduler } from './cycle-scheduler.js';
import { EventLoopLag } from './event-loop-lag.js';
import { FailoverRecovery } from './failover-recovery.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { JobFeed } from './job-feed.js';
import { JobIntake } from './job-intake.js';
import { createAutoscaler } from './leader-autoscaler.js';
import type { LeaderTermDependencies } from './leader-term-dependencies.js';
import { LeaseExtensionGrants, leaseExtensionMs } from './lease-extension.js';
import { LeaseExtensionHandler } from './lease-extension-handler.js';
import { LeaseMonitor } from './lease-monitor.js';
import type { TermLifecycle } from './term-lifecycle.js';
import { WorkerContact } from './worker-contact.js';

/**
 * The tables of one term, which are empty at first, and the components that act on them. Components refer to each
 * other, so callbacks look up components that are created later: no callback is called before the term runs.
 */
export class LeaderComponents {
  readonly jobs = new JobTable();
  readonly contact: WorkerContact;
  readonly table: MachineTable;
  readonly recovery: FailoverRecovery;
  readonly cycles: CycleScheduler;
  readonly feed: JobFeed;
  readonly sender: CommandSender;
  readonly machineRecords: MachineRecordStore;
  readonly completionWriter: CompletionWriter;
  readonly intentLog: IntentLog;
  readonly autoscaler: Autoscaler;
  readonly intake: JobIntake;
  readonly heartbeats: HeartbeatHandler;
  readonly leaseExtensions: LeaseExtensionHandler;
  readonly controlLoop: ControlLoop;
  readonly grants: LeaseExtensionGrants;
  readonly news: MachineNews;
  private readonly placement: Placement;
  private readonly leaseMonitor: LeaseMonitor;
  private readonly eventLoopLag: EventLoopLag;
  private readonly leaseMs: number;
  private readonly leaseExtensionMs: number;

  constructor(
    private readonly deps: LeaderTermDependencies,
    private readonly lifecycle: TermLifecycle,
  ) {
    const { runtime, settings } = deps;
    const now = runtime.clock.now();
    this.leaseMs = settings.leaseS * 1000;
    this.leaseExtensionMs = leaseExtensionMs(settings.cancelS, settings.leaseS);
    this.contact = new WorkerContact(settings.heartbeatIntervalS, now);
    this.eventLoopLag = new EventLoopLag(TICK_MS, now, runtime.log);
    this.grants = new LeaseExtensionGrants(this.leaseExtensionMs, now);
    this.news = new MachineNews(settings.heartbeatIntervalS);
    this.table = this.createMachineTable();
    this.recovery = this.createRecovery();
    this.cycles = new CycleScheduler(runtime.clock, lifecycle, (beganAt) =>
      this.controlLoop.runSchedulingCycle(beganAt),
    );
    this.feed = this.createJobFeed();
    this.sender = this.createCommandSender();
    this.machineRecords = this.createMachineRecordStore();
    this.completionWriter = this.createCompletionWriter();
    this.intentLog = this.openIntentLog();
    this.autoscaler = this.createAutoscaler();
    this.placement = this.createPlacement();
    this.intake = this.createJobIntake();
    this.heartbeats = this.createHeartbeatHandler();
    this.leaseMonitor = this.createLeaseMonitor();
    this.leaseExtensions = this.createLeaseExtensionHandler();
    this.controlLoop = this.createControlLoop();
  }

  private createMachineTable(): MachineTable {
    return new MachineTable(this.lifecycle.baseToken, this.leaseMs, (id) => this.jobs.get(id), {
      attemptAdded: (attempt) => {
        this.placement.attemptAdded(attempt);
      },
      fenceRequired: () => {
        this.cycles.request();
      },
      attemptEnded: (attempt) => {
        this.placement.attemptEnded(attempt);
        this.cycles.request();
      },
    });
  }

  private createRecovery(): FailoverRecovery {
    const { log } = this.deps.runtime;
    return new FailoverRecovery(this.table, this.leaseMs, log, () => this.jobs.size());
  }

  private createJobFeed(): JobFeed {
    const { runtime, store } = this.deps;
    return new JobFeed({
      runtime,
      store,
      jobs: this.jobs,
      isServing: () => this.lifecycle.isServing(),
      liveRecordStored: (id, value, version) => {
        this.intake.upsertJob(id, value, version);
      },
      liveRecordRemoved: (job) => {
        this.intake.liveRecordRemoved(job);
      },
      jobsChanged: () => {
        this.cycles.request();
      },
    });
  }

  private createCommandSender(): CommandSender {
    const { runtime, settings, operator } = this.deps;
    return new CommandSender({
      runtime,
      table: this.table,
      isLeader: () => this.lifecycle.isLeader(),
      timeoutMs: operator.command_timeout_ms,
      maxInFlight: allocateSockets(settings.maxSockets).maxRequestsToWorkers,
      applyHeartbeat: (machine, heartbeat, requestedAt) => {
        this.heartbeats.handleResponse(machine, heartbeat, requestedAt);
      },
      cancellationsAreFresh: () => this.deps.cancellationsAreFresh(),
    });
  }

  private createMachineRecordStore(): MachineRecordStore {
    const { runtime, settings, store } = this.deps;
    return new MachineRecordStore({
      runtime,
      store,
      table: this.table,
      maxMutations: settings.maxTransactionOps,
      maxValueBytes: settings.maxValueKb * 1024,
      isLeader: () => this.lifecycle.isLeader(),
      leaderPrecondition: () => this.deps.leaderPrecondition(),
      machinesStored: () => {
        this.cycles.request();
      },
    });
  }

  private createCompletionWriter(): CompletionWriter {
    const { runtime, settings, store } = this.deps;
    return new CompletionWriter({
      runtime,
      store,
      jobs: this.jobs,
      maxMutations: settings.maxTransactionOps,
      writesPerS: settings.stateWritesPerS,
      maxValueBytes: settings.maxValueKb * 1024,
      isLeader: () => this.lifecycle.isLeader(),
      leaderPrecondition: () => this.deps.leaderPrecondition(),
      segmentPrecondition: () => this.deps.segmentPrecondition(),
      hasNoAttempts: (job) =>
        (job.createdInThisTerm || this.recovery.isComplete()) && job.attempts.size === 0,
      jobBecameTerminal: (job) => {
        this.intake.forgetJob(job);
      },
    });
  }

  private openIntentLog(): IntentLog {
    return this.deps.duties.intentLog({
      isActive: () => !this.lifecycle.hasEnded(),
      leaderPrecondition: () => this.deps.leaderPrecondition(),
      nextRequestName: () => this.lifecycle.nextRequestName(this.deps.settings.node),
    });
  }

  private createAutoscaler(): Autoscaler {
    const { clock } = this.deps.runtime;
    return createAutoscaler(this.deps, {
      lifecycle: this.lifecycle,
      table: this.table,
      intentLog: this.intentLog,
      grants: this.grants,
      leaseExtensionMs: this.leaseExtensionMs,
      demand: () => demandOf(this.jobs.all(), this.placement, this.deps.types),
      waitingTasks: () => this.placement.waitingTasks(),
      isLagging: () => this.eventLoopLag.isLagging(clock.now()) || this.sender.isCongested(),
      machineDeleted: (machine) => {
        this.forgetMachine(machine);
      },
    });
  }

  private forgetMachine(machine: Machine): void {
    this.table.remove(machine, this.deps.runtime.clock.now());
    this.machineRecords.removeRecord(machine);
    this.cycles.request();
  }

  private createPlacement(): Placement {
    const { runtime, settings, operator } = this.deps;
    return new Placement({
      runtime,
      settings,
      operator,
      jobs: this.jobs,
      table: this.table,
      attemptBase: this.lifecycle.baseToken,
      recoveryComplete: () => this.recovery.isComplete(),
      wallMs: () => this.deps.wallMs(),
      isUnreachable: (machine) => this.autoscaler.isUnreachable(machine, runtime.clock.now()),
    });
  }

  private createJobIntake(): JobIntake {
    return new JobIntake({
      clock: this.deps.runtime.clock,
      lifecycle: this.lifecycle,
      jobs: this.jobs,
      placement: this.placement,
      cycles: this.cycles,
      isCancelled: (id) => this.deps.isCancelled(id),
    });
  }

  private createHeartbeatHandler(): HeartbeatHandler {
    return new HeartbeatHandler({
      clock: this.deps.runtime.clock,
      lifecycle: this.lifecycle,
      table: this.table,
      types: this.deps.types,
      leaseMs: this.leaseMs,
      autoscaler: this.autoscaler,
      placement: this.placement,
      recovery: this.recovery,
      contact: this.contact,
      cycles: this.cycles,
      news: this.news,
      holdsLeadership: () => this.deps.holdsLeadership(),
    });
  }

  private createLeaseMonitor(): LeaseMonitor {
    return new LeaseMonitor({
      table: this.table,
      sender: this.sender,
      machineRecords: this.machineRecords,
      log: this.deps.runtime.log,
      autoscaler: this.autoscaler,
      news: this.news,
      leaseExtensionMs: this.leaseExtensionMs,
      leasesExtendableUntil: () => this.grants.extendableUntil(),
    });
  }

  private createLeaseExtensionHandler(): LeaseExtensionHandler {
    return new LeaseExtensionHandler({
      clock: this.deps.runtime.clock,
      lifecycle: this.lifecycle,
      table: this.table,
      leaseMonitor: this.leaseMonitor,
      grants: this.grants,
      extensionMs: this.leaseExtensionMs,
    });
  }

  private createControlLoop(): ControlLoop {
    return new ControlLoop({
      clock: this.deps.runtime.clock,
      lifecycle: this.lifecycle,
      table: this.table,
      sender: this.sender,
      machineRecords: this.machineRecords,
      completionWriter: this.completionWriter,
      autoscaler: this.autoscaler,
      placement: this.placement,
      recovery: this.recovery,
      leaseMonitor: this.leaseMonitor,
      cycles: this.cycles,
      contact: this.contact,
      eventLoopLag: this.eventLoopLag,
      cancellationsAreFresh: () => this.deps.cancellationsAreFresh(),
      resign: (reason) => {
        this.deps.resign(reason);
      },
    });
  }
}
