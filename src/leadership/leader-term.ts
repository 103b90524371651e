/** What the leader does, for the time of one claim. A new claim starts with empty tables. */
import type { IntentLog } from '@millring/duties';
import type { Conversion } from '@millring/rollout';
import { moneyCounts } from '../settings/money.js';
import { DRIFT, sleep } from '../runtime.js';
import { shareSockets } from '../sockets.js';
import { IntentActions } from '../duties/intent-actions.js';
import { Cloud } from '../autoscaler/cloud.js';
import { demandOf } from '../autoscaler/demand.js';
import { DirectActions } from '../autoscaler/machine-actions.js';
import { Autoscaler } from '../autoscaler/autoscaler.js';
import type { Demand } from '../autoscaler/scaling-plan.js';
import { type Job, JobTable, type Progress } from '../jobs/job-table.js';
import { CompletionWriter } from '../jobs/completion-writer.js';
import { readLive } from '../jobs/records.js';
import { Placement } from '../placement/placement.js';
import { MachineRecordStore } from '../workers/machine-records.js';
import { CommandSender, commandsForHeartbeat } from '../workers/command-sender.js';
import { type Machine } from '../workers/machine.js';
import { MachineTable } from '../workers/machine-table.js';
import { COMPACT_FINISHED_TASKS, FENCED_DUTIES } from '../build.js';
import { conversionTo } from '../rollout/conversions.js';
import type { WorkerCommand, Heartbeat } from '../wire/model.js';
import { LeaseExtensionGrants, leaseExtensionMs } from './lease-extension.js';
import { JobFeed } from './job-feed.js';
import { restoreMachines } from './restored-machines.js';
import { restoreIntents, intentConversion } from './restored-intents.js';
import { partitionedZones, leasesExtendableUntil } from './partitioned-zones.js';
import { EventLoopLag } from './event-loop-lag.js';
import { LeaseMonitor } from './lease-monitor.js';
import { logStoredState, readStoredState } from './stored-state.js';
import { FailoverRecovery } from './failover-recovery.js';
import type { LeaderTermDependencies } from './leader-term-dependencies.js';
import { WorkerContact } from './worker-contact.js';
import { type LeadershipTerm, TOKENS_PER_EPOCH } from './leadership.js';

const TICK_MS = 200;
/** What is stored is not all read yet. */
const REBUILDING: Conversion = { kind: 'running', remaining: 1 };
const REBUILD_RETRY_MS = 200;

/** rebuilding: reading the records. serving: acting. over: the claim has ended, nothing may be done any more. */
type LeaderTermState = 'recovering' | 'serving' | 'ended';

export class LeaderTerm {
  private state: LeaderTermState = 'recovering';
  private readonly baseToken: number;
  private readonly jobs = new JobTable();
  private readonly table: MachineTable;
  private readonly sender: CommandSender;
  private readonly machineRecords: MachineRecordStore;
  private readonly completionWriter: CompletionWriter;
  private readonly intents: IntentLog;
  private readonly autoscaler: Autoscaler;
  private readonly placement: Placement;
  private requestCount = 0;
  private cycleScheduled = false;
  /** How long the last pass took: the next one waits for longer than that. */
  private lastCycleMs = 0;
  private readonly eventLoopLag: EventLoopLag;
  private readonly contact: WorkerContact;
  private readonly recovery: FailoverRecovery;
  private readonly feed: JobFeed;
  private readonly leaseMonitor: LeaseMonitor;
  private readonly leaseExtensionMs: number;
  private readonly grants: LeaseExtensionGrants;

  constructor(
    private readonly deps: LeaderTermDependencies,
    private readonly term: LeadershipTerm,
  ) {
    const { runtime, settings } = deps;
    this.baseToken = term.epoch * TOKENS_PER_EPOCH;
    const now = runtime.clock.now();
    this.contact = new WorkerContact(settings.reportS, now);
    this.eventLoopLag = new EventLoopLag(TICK_MS, now, runtime.log);
    this.leaseExtensionMs = leaseExtensionMs(settings.cancelS, settings.leaseS);
    this.grants = new LeaseExtensionGrants(this.leaseExtensionMs, now);
    this.table = new MachineTable(
      this.baseToken,
      settings.leaseS * 1000,
      (id) => this.jobs.get(id),
      {
        attemptAdded: (e) => {
          this.placement.attemptAdded(e);
        },
        attemptEnded: (e) => {
          this.placement.attemptEnded(e);
          this.scheduleCycle();
        },
      },
    );
    this.recovery = new FailoverRecovery(this.table, settings.leaseS * 1000, runtime.log, () =>
      this.jobs.size(),
    );
    this.feed = this.createJobFeed();
    this.sender = this.createCommandSender();
    this.machineRecords = this.createMachineRecordStore();
    this.completionWriter = this.createCompletionWriter();
    this.intents = deps.duties.intentLog({
      active: () => this.state !== 'ended',
      leaderGuard: () => deps.termPrecondition(),
      requestName: () => this.requestName(),
    });
    this.autoscaler = this.createAutoscaler();
    this.placement = this.createPlacement();
    this.leaseMonitor = new LeaseMonitor({
      table: this.table,
      sender: this.sender,
      machineRecords: this.machineRecords,
      log: runtime.log,
      autoscaler: this.autoscaler,
      leaseExtensionMs: this.leaseExtensionMs,
      extendableUntil: () => this.grants.extendableUntil(),
    });
  }

  private createJobFeed(): JobFeed {
    const { runtime, store } = this.deps;
    return new JobFeed({
      runtime,
      store,
      jobs: this.jobs,
      isActive: () => this.state === 'serving',
      recordStored: (id, value, version) => {
        this.upsertJob(id, value, version);
      },
      recordRemoved: (job) => {
        this.jobRemoved(job);
      },
      jobsChanged: () => {
        this.scheduleCycle();
      },
    });
  }

  private createCommandSender(): CommandSender {
    const { runtime, settings, operator } = this.deps;
    return new CommandSender({
      runtime,
      table: this.table,
      isLeader: () => this.leads(),
      timeoutMs: operator.command_timeout_ms,
      maxInFlight: shareSockets(settings.sockets).requests,
      applyHeartbeat: (m, r) => {
        this.applyHeartbeat(m, r);
      },
      mayStart: () => this.deps.cancellationsAreFresh(),
    });
  }

  private createMachineRecordStore(): MachineRecordStore {
    const { runtime, settings, store } = this.deps;
    return new MachineRecordStore({
      runtime,
      store,
      table: this.table,
      txnOps: settings.txnOps,
      valueBytes: settings.valueKb * 1024,
      isLeader: () => this.leads(),
      leaderPrecondition: () => this.deps.termPrecondition(),
      machinesStored: () => {
        this.scheduleCycle();
      },
    });
  }

  private createCompletionWriter(): CompletionWriter {
    const { runtime, settings, store } = this.deps;
    return new CompletionWriter({
      runtime,
      store,
      jobs: this.jobs,
      txnOps: settings.txnOps,
      writeRps: settings.stateWriteRps,
      valueBytes: settings.valueKb * 1024,
      isLeader: () => this.leads(),
      leaderPrecondition: () => this.deps.termPrecondition(),
      segmentPrecondition: () => this.deps.segmentPrecondition(),
      hasNoAttempts: (job) =>
        (job.createdInThisTerm || this.recovery.isComplete()) && job.attempts.size === 0,
      jobEnded: (job) => {
        this.forgetJob(job);
      },
    });
  }

  private createAutoscaler(): Autoscaler {
    const { runtime, settings, operator } = this.deps;
    const cloud = new Cloud(runtime, settings.cloud, settings.cloudRps);
    return new Autoscaler({
      runtime,
      cloud,
      actions: this.createMachineActions(cloud),
      table: this.table,
      operator,
      types: this.deps.types,
      saveMoney: moneyCounts(settings, operator),
      reportS: settings.reportS,
      listLagS: settings.listLagS,
      isLeader: () => this.leads(),
      demand: () => this.demand(),
      cutZones: () => partitionedZones(settings, this.grants, runtime.clock.now()),
      keptUntil: (zone) =>
        leasesExtendableUntil(zone, settings, this.grants, this.leaseExtensionMs),
      homeZones: new Set([settings.zone, ...settings.peers.map((p) => p.zone)]),
      leaseS: settings.leaseS,
      behind: () => this.eventLoopLag.isLagging(runtime.clock.now()) || this.sender.isCongested(),
      gone: (m) => {
        this.table.remove(m, runtime.clock.now());
        this.machineRecords.removed(m);
        this.scheduleCycle();
      },
    });
  }

  private createMachineActions(cloud: Cloud): IntentActions {
    const { settings, duties } = this.deps;
    return new IntentActions({
      log: this.intents,
      direct: new DirectActions(cloud, () => this.requestName()),
      usesIntents: () => duties.usesIntents(),
      valueBytes: settings.valueKb * 1024,
    });
  }

  /** Never used twice, by any node. */
  private requestName(): string {
    return `${this.deps.settings.node}-${this.term.epoch}-${this.requestCount++}`;
  }

  private createPlacement(): Placement {
    const { runtime, settings, operator } = this.deps;
    return new Placement({
      runtime,
      settings,
      operator,
      jobs: this.jobs,
      table: this.table,
      attemptBase: this.baseToken,
      recoveryComplete: () => this.recovery.isComplete(),
      wallMs: () => this.deps.wallMs(),
      isSilent: (m) => this.autoscaler.isSilent(m, runtime.clock.now()),
    });
  }

  /** How much of what is stored above the target is left, while the cluster's level is lowered. */
  conversion(target: number): Conversion {
    if (this.state !== 'serving') return REBUILDING;
    return conversionTo(target, {
      [COMPACT_FINISHED_TASKS]: () => this.completionWriter.conversion(),
      [FENCED_DUTIES]: () => intentConversion(this.intents),
    });
  }

  /** Is this node entitled to act at this very moment? */
  private leads(): boolean {
    return this.state === 'serving' && this.deps.isLeader();
  }

  private transitionTo(next: LeaderTermState): void {
    const token = this.baseToken;
    this.deps.runtime.log.info(
      { from: this.state, to: next, claim: this.term.epoch, token },
      'leader term',
    );
    this.state = next;
  }

  end(): void {
    this.transitionTo('ended');
  }

  /** After a pause nobody else can have led: the tables still stand, but silence meanwhile means nothing. */
  resumed(): void {
    const now = this.deps.runtime.clock.now();
    this.contact.recordHeartbeat(now);
    for (const m of this.table.all()) m.lastHeardAt = Math.max(m.lastHeardAt, now);
    this.scheduleCycle();
  }

  async run(): Promise<void> {
    const { clock } = this.deps.runtime;
    let since = await this.rebuild();
    while (since === null && this.isRebuilding()) {
      await sleep(clock, REBUILD_RETRY_MS);
      since = await this.rebuild();
    }
    if (since === null || !this.isRebuilding()) return;
    this.transitionTo('serving');
    const now = clock.now();
    this.contact.recordHeartbeat(now);
    this.recovery.begin(now);
    for (const m of this.table.all()) this.sender.flush(m, true);
    void this.feed.follow(since);
    this.tick();
  }

  private isRebuilding(): boolean {
    return this.state === 'recovering';
  }

  /** Reads all records; the revision to follow changes from, or null if the state service could not be read. */
  private async rebuild(): Promise<number | null> {
    const { store, duties, runtime } = this.deps;
    const began = runtime.clock.now();
    const stored = await readStoredState(store, duties.areKnown() ? this.intents : null);
    if (!stored || !this.isRebuilding()) return null;
    logStoredState(stored, began, { claim: this.term.epoch, token: this.baseToken }, runtime);
    restoreMachines(stored.machines, {
      table: this.table,
      machineRecords: this.machineRecords,
      recovery: this.recovery,
      types: this.deps.types,
      now: runtime.clock.now(),
    });
    restoreIntents(stored.intents, this.intents, this.autoscaler);
    this.feed.load(
      stored.jobs,
      stored.finished,
      (job, chunk) => {
        this.completionWriter.noteWritten(job, chunk);
      },
      (key) => {
        this.completionWriter.leftOver(key);
      },
    );
    return stored.revision;
  }

  private upsertJob(id: string, value: unknown, version: number): void {
    const r = readLive(value);
    if (!r || r.spec.id !== id) return;
    const known = this.jobs.get(id);
    if (known && known.version >= version) return;
    const fresh = version > this.term.epoch && !r.cancelled;
    const job = known ?? this.jobs.add(r.spec, version, r.at, fresh, this.deps.runtime.clock.now());
    job.version = version;
    if (!known) this.placement.jobAdded(job);
    if (r.cancelled || this.deps.isCancelled(id)) this.markCancelled(job);
  }

  /** Only a leader removes live records, once all is done: here our own write, whose answer was lost. */
  private jobRemoved(job: Job): void {
    job.ended = 'yes';
    this.forgetJob(job);
  }

  /** Told by our own write or by the watch, whichever comes first. */
  private forgetJob(job: Job): void {
    if (this.jobs.get(job.spec.id) !== job) return;
    this.jobs.remove(job);
    this.placement.jobEnded(job);
    this.scheduleCycle();
  }

  private demand(): Demand {
    const wanted = (job: Job): number => this.placement.wantedCpus(job);
    return demandOf(this.jobs.all(), wanted, this.placement.serviceCpusPerSecond(), this.deps.types);
  }

  /**
   * Events come in bunches: one pass serves them all. Passes leave most of the processor to whatever else waits,
   * so that a renewal or a report is never behind more than one of them.
   */
  private scheduleCycle(): void {
    if (this.cycleScheduled || this.state !== 'serving') return;
    this.cycleScheduled = true;
    this.deps.runtime.clock.after(4 + 4 * this.lastCycleMs, () => {
      this.cycleScheduled = false;
      this.runCycle();
    });
  }

  private runCycle(): void {
    if (this.state !== 'serving' || !this.deps.isLeader()) return;
    const began = this.deps.runtime.clock.now();
    const mayPlace = this.recovery.mayPlace(this.sender.isCongested(), began);
    const more =
      mayPlace && this.deps.cancellationsAreFresh() && this.placement.runSchedulingCycle();
    this.sender.flushPending(false);
    this.lastCycleMs = Math.min(100, this.deps.runtime.clock.now() - began);
    if (more) this.scheduleCycle();
  }

  private tick(): void {
    if (this.state === 'ended') return;
    const { runtime } = this.deps;
    const now = runtime.clock.now();
    this.sender.timerFired(this.eventLoopLag.timerFired(now));
    if (this.leads()) {
      this.leaseMonitor.expire(now);
      if (this.recovery.check(now)) this.scheduleCycle();
      this.machineRecords.tick();
      this.completionWriter.tick();
      this.autoscaler.tick();
      this.placement.tick(now);
      this.placement.round();
      this.scheduleCycle();
      this.sender.flushPending(true);
      this.leaseMonitor.probe(now);
      if (this.contact.isLost(this.table.storedCount(), this.eventLoopLag.isLagging(now), now))
        this.deps.resign('no worker is heard');
    }
    runtime.clock.after(TICK_MS, () => {
      this.tick();
    });
  }

  private applyHeartbeat(m: Machine, r: Heartbeat): void {
    const now = this.deps.runtime.clock.now();
    const fresh =
      r.incarnation > m.incarnation ||
      (r.incarnation === m.incarnation && r.sequence > m.lastSequence);
    if (!fresh || !this.table.contains(m)) return;
    m.lastHeardAt = now;
    this.contact.recordHeartbeat(now);
    const wasUsable = m.isReconciled();
    this.table.applyHeartbeat(m, r, now);
    // It has told what it holds.
    if (m.isReconciled()) m.awaitingReconciliation = false;
    this.placement.heartbeatApplied(m);
    if (this.recovery.check(now)) this.scheduleCycle();
    // Room that was freed has woken us already: see `left`.
    if (!wasUsable && m.isReconciled()) this.scheduleCycle();
  }

  /** A worker's report: the answer's token and orders, or null if this node may not answer. */
  handleHeartbeat(r: Heartbeat): { token: number; orders: WorkerCommand[] } | null {
    if (!this.deps.isLeader()) return null;
    const now = this.deps.runtime.clock.now();
    if (this.state !== 'serving') return { token: this.baseToken, orders: [] };
    if (this.autoscaler.isGone(r.machine)) return { token: this.baseToken, orders: [] };
    let m = this.table.get(r.machine);
    if (!m) {
      const type = this.deps.types.find((t) => t.name === r.type);
      if (!type) return null;
      m = this.table.add(r.machine, r.endpoint, type, r.zone, r.spot, now);
    }
    // A late copy tells nothing, and its answer renews nothing: neither may look as if it did.
    if (
      r.incarnation < m.incarnation ||
      (r.incarnation === m.incarnation && r.sequence <= m.lastHeartbeatSequence)
    )
      return null;
    m.leaseRenewedAt = now;
    if (m.commandFailures > 0) m.nextSendAt = Math.min(m.nextSendAt, now);
    this.applyHeartbeat(m, r);
    if (r.incarnation === m.incarnation) m.lastHeartbeatSequence = r.sequence;
    const orders = m.stored ? commandsForHeartbeat(m, this.table, now) : [];
    return { token: this.table.requestTokenAck(m, now, this.deps.settings.leaseS * 500), orders };
  }

  /** A follower asks whether it may keep leases. */
  handleLeaseExtensionRequest(from: string): { revision: number; keep: boolean } | null {
    if (this.state !== 'serving' || !this.deps.isLeader()) return null;
    const now = this.deps.runtime.clock.now();
    const keep = this.leaseMonitor.mayOthersExtend(now);
    this.grants.recordRequest(from, keep, now);
    return { revision: this.term.epoch, keep };
  }

  /**
   * While paused this node may keep leases as a follower may, counted from when nobody can have claimed after it:
   * a new leader takes it that former ones keep no longer than that from its own claim.
   */
  mayExtendWhilePaused(r: Heartbeat, unclaimedUntil: number): boolean {
    const now = this.deps.runtime.clock.now();
    if (this.state !== 'serving' || now - unclaimedUntil >= this.leaseExtensionMs / DRIFT)
      return false;
    if (Math.floor(r.token / TOKENS_PER_EPOCH) !== this.term.epoch) return false;
    const m = this.table.get(r.machine);
    if (m) m.leaseRenewedAt = now;
    return true;
  }

  /** Called off, as this node knows otherwise than by the watch, which may be late. */
  recordCancellation(id: string): void {
    const job = this.jobs.get(id);
    if (job && this.state === 'serving') this.markCancelled(job);
  }

  private markCancelled(job: Job): void {
    if (job.jobCancelled) return;
    job.jobCancelled = true;
    this.placement.jobCancelled(job);
    this.scheduleCycle();
  }

  progress(): [string, Progress][] {
    return this.jobs.progress();
  }

  progressOf(id: string): Progress | undefined {
    return this.jobs.progressOf(id);
  }
}
