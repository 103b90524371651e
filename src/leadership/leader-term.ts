/** What the leader does, for the time of one claim. A new claim starts with empty tables. */
import type { KeyValue } from '@millring/state-access';
import type { IntentLog } from '@millring/duties';
import type { Conversion } from '@millring/rollout';
import { moneyCounts } from '../settings/money.js';
import { DRIFT, sleep } from '../runtime.js';
import { shareSockets } from '../sockets.js';
import { IntentActions } from '../duties/intent-actions.js';
import { Cloud } from '../fleet/cloud.js';
import { demandOf } from '../fleet/demand.js';
import { DirectActions } from '../fleet/machine-actions.js';
import { Fleet } from '../fleet/fleet.js';
import type { Demand } from '../fleet/plan.js';
import { type Job, JobTable, type Progress } from '../jobs/job-table.js';
import { CompletionWriter } from '../jobs/completion-writer.js';
import { readLive } from '../jobs/records.js';
import { Placement } from '../placement/placement.js';
import { MachineRecordStore, readMachinePage } from '../workers/machine-records.js';
import { CommandSender, commandsForReport } from '../workers/commands.js';
import { type Machine } from '../workers/machine.js';
import { MachineTable } from '../workers/machine-table.js';
import { COMPACT_FINISHED_TASKS, FENCED_DUTIES } from '../build.js';
import { conversionTo } from '../rollout/conversions.js';
import type { WorkerCommand, WorkerReport } from '../wire/model.js';
import { LeaseExtensionGrants, leaseExtensionMs } from './lease-extension.js';
import { JobFeed } from './job-feed.js';
import { adoptIntents, openIntents } from './adopted-intents.js';
import { cutZones, keptUntil } from './zone-contact.js';
import { Lateness } from './lateness.js';
import { LeaseWatch } from './lease-watch.js';
import { logStoredState, readStoredState } from './stored-state.js';
import { Takeover } from './takeover.js';
import type { LeaderTermDeps } from './leader-term-dependencies.js';
import { WorkerContact } from './worker-contact.js';
import { type Claim, TOKEN_SPAN } from './leadership.js';

const TICK_MS = 200;
/** What is stored is not all read yet. */
const REBUILDING: Conversion = { kind: 'running', remaining: 1 };
const REBUILD_RETRY_MS = 200;

/** rebuilding: reading the records. serving: acting. over: the claim has ended, nothing may be done any more. */
type LeaderTermState = 'rebuilding' | 'serving' | 'over';

export class LeaderTerm {
  private state: LeaderTermState = 'rebuilding';
  private readonly baseToken: number;
  private readonly jobs = new JobTable();
  private readonly table: MachineTable;
  private readonly sender: CommandSender;
  private readonly registry: MachineRecordStore;
  private readonly completionWriter: CompletionWriter;
  private readonly intents: IntentLog;
  private readonly fleet: Fleet;
  private readonly placement: Placement;
  private requests = 0;
  private woken = false;
  /** How long the last pass took: the next one waits for longer than that. */
  private passMs = 0;
  private readonly lateness: Lateness;
  private readonly contact: WorkerContact;
  private readonly takeover: Takeover;
  private readonly feed: JobFeed;
  private readonly leaseWatch: LeaseWatch;
  private readonly leaseExtensionMs: number;
  private readonly grants: LeaseExtensionGrants;

  constructor(
    private readonly deps: LeaderTermDeps,
    private readonly claim: Claim,
  ) {
    const { world, settings } = deps;
    this.baseToken = claim.revision * TOKEN_SPAN;
    const now = world.clock.now();
    this.contact = new WorkerContact(settings.reportS, now);
    this.lateness = new Lateness(TICK_MS, now, world.log);
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
        attemptGone: (e) => {
          this.placement.attemptGone(e);
          this.wake();
        },
      },
    );
    this.takeover = new Takeover(this.table, settings.leaseS * 1000, world.log, () =>
      this.jobs.size(),
    );
    this.feed = this.createJobFeed();
    this.sender = this.createCommandSender();
    this.registry = this.createMachineRecordStore();
    this.completionWriter = this.createCompletionWriter();
    this.intents = deps.duties.intentLog({
      active: () => this.state !== 'over',
      leaderGuard: () => deps.guard(),
      requestName: () => this.requestName(),
    });
    this.fleet = this.createFleet();
    this.placement = this.createPlacement();
    this.leaseWatch = new LeaseWatch({
      table: this.table,
      sender: this.sender,
      registry: this.registry,
      log: world.log,
      fleet: this.fleet,
      leaseExtensionMs: this.leaseExtensionMs,
      keptUntil: () => this.grants.keptUntil(),
    });
  }

  private createJobFeed(): JobFeed {
    const { world, store } = this.deps;
    return new JobFeed({
      world,
      store,
      jobs: this.jobs,
      active: () => this.state === 'serving',
      stored: (id, value, version) => {
        this.takeJob(id, value, version);
      },
      removed: (job) => {
        this.jobRemoved(job);
      },
      changed: () => {
        this.wake();
      },
    });
  }

  private createCommandSender(): CommandSender {
    const { world, settings, operator } = this.deps;
    return new CommandSender({
      world,
      table: this.table,
      leads: () => this.leads(),
      timeoutMs: operator.command_timeout_ms,
      mostInflight: shareSockets(settings.sockets).requests,
      report: (m, r) => {
        this.applyReport(m, r);
      },
      mayStart: () => this.deps.informed(),
    });
  }

  private createMachineRecordStore(): MachineRecordStore {
    const { world, settings, store } = this.deps;
    return new MachineRecordStore({
      world,
      store,
      table: this.table,
      txnOps: settings.txnOps,
      valueBytes: settings.valueKb * 1024,
      leads: () => this.leads(),
      leaderGuard: () => this.deps.guard(),
      stored: () => {
        this.wake();
      },
    });
  }

  private createCompletionWriter(): CompletionWriter {
    const { world, settings, store } = this.deps;
    return new CompletionWriter({
      world,
      store,
      jobs: this.jobs,
      txnOps: settings.txnOps,
      writeRps: settings.stateWriteRps,
      valueBytes: settings.valueKb * 1024,
      leads: () => this.leads(),
      leaderGuard: () => this.deps.guard(),
      segmentGuard: () => this.deps.segmentGuard(),
      surelyEmpty: (job) => (job.fresh || this.takeover.isComplete()) && job.attempts.size === 0,
      ended: (job) => {
        this.close(job);
      },
    });
  }

  private createFleet(): Fleet {
    const { world, settings, operator } = this.deps;
    const cloud = new Cloud(world, settings.cloud, settings.cloudRps);
    return new Fleet({
      world,
      cloud,
      actions: this.createMachineActions(cloud),
      table: this.table,
      operator,
      types: this.deps.types,
      saveMoney: moneyCounts(settings, operator),
      reportS: settings.reportS,
      listLagS: settings.listLagS,
      leads: () => this.leads(),
      demand: () => this.demand(),
      cutZones: () => cutZones(settings, this.grants, world.clock.now()),
      keptUntil: (zone) => keptUntil(zone, settings, this.grants, this.leaseExtensionMs),
      homeZones: new Set([settings.zone, ...settings.peers.map((p) => p.zone)]),
      leaseS: settings.leaseS,
      behind: () => this.lateness.isBehind(world.clock.now()) || this.sender.isCongested(),
      gone: (m) => {
        this.table.remove(m, world.clock.now());
        this.registry.removed(m);
        this.wake();
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
    return `${this.deps.settings.node}-${this.claim.revision}-${this.requests++}`;
  }

  private createPlacement(): Placement {
    const { world, settings, operator } = this.deps;
    return new Placement({
      world,
      settings,
      operator,
      jobs: this.jobs,
      table: this.table,
      attemptBase: this.baseToken,
      oldJobsOpen: () => this.takeover.isComplete(),
      wallMs: () => this.deps.wallMs(),
      isSilent: (m) => this.fleet.isSilent(m, world.clock.now()),
    });
  }

  /** How much of what is stored above the target is left, while the cluster's level is lowered. */
  conversion(target: number): Conversion {
    if (this.state !== 'serving') return REBUILDING;
    return conversionTo(target, {
      [COMPACT_FINISHED_TASKS]: () => this.completionWriter.conversion(),
      [FENCED_DUTIES]: () => openIntents(this.intents),
    });
  }

  /** Is this node entitled to act at this very moment? */
  private leads(): boolean {
    return this.state === 'serving' && this.deps.leads();
  }

  private become(next: LeaderTermState): void {
    const token = this.baseToken;
    this.deps.world.log.info(
      { from: this.state, to: next, claim: this.claim.revision, token },
      'leader term',
    );
    this.state = next;
  }

  end(): void {
    this.become('over');
  }

  /** After a pause nobody else can have led: the tables still stand, but silence meanwhile means nothing. */
  resumed(): void {
    const now = this.deps.world.clock.now();
    this.contact.heard(now);
    for (const m of this.table.all()) m.heardAt = Math.max(m.heardAt, now);
    this.wake();
  }

  async run(): Promise<void> {
    const { clock } = this.deps.world;
    let since = await this.rebuild();
    while (since === null && this.isRebuilding()) {
      await sleep(clock, REBUILD_RETRY_MS);
      since = await this.rebuild();
    }
    if (since === null || !this.isRebuilding()) return;
    this.become('serving');
    const now = clock.now();
    this.contact.heard(now);
    this.takeover.begin(now);
    for (const m of this.table.all()) this.sender.flush(m, true);
    void this.feed.follow(since);
    this.tick();
  }

  private isRebuilding(): boolean {
    return this.state === 'rebuilding';
  }

  /** Reads all records; the revision to follow changes from, or null if the state service could not be read. */
  private async rebuild(): Promise<number | null> {
    const { store, duties, world } = this.deps;
    const began = world.clock.now();
    const stored = await readStoredState(store, duties.areKnown() ? this.intents : null);
    if (!stored || !this.isRebuilding()) return null;
    logStoredState(stored, began, { claim: this.claim.revision, token: this.baseToken }, world);
    for (const pair of stored.machines) this.loadMachines(pair);
    adoptIntents(stored.intents, this.intents, this.fleet);
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

  private loadMachines(pair: KeyValue): void {
    const records = readMachinePage(pair);
    this.registry.load(pair, records);
    for (const record of records) {
      const type = this.deps.types.find((t) => t.name === record.type);
      if (!type || this.table.get(record.id)) continue;
      const now = this.deps.world.clock.now();
      const m = this.table.add(record.id, record.endpoint, type, record.zone, record.spot, now);
      m.stored = true;
      this.takeover.expect(m);
    }
  }

  private takeJob(id: string, value: unknown, version: number): void {
    const r = readLive(value);
    if (!r || r.spec.id !== id) return;
    const known = this.jobs.get(id);
    if (known && known.version >= version) return;
    const fresh = version > this.claim.revision && !r.cancelled;
    const job = known ?? this.jobs.add(r.spec, version, r.at, fresh, this.deps.world.clock.now());
    job.version = version;
    if (!known) this.placement.accepted(job);
    if (r.cancelled || this.deps.isCancelled(id)) this.markCancelled(job);
  }

  /** Only a leader removes live records, once all is done: here our own write, whose answer was lost. */
  private jobRemoved(job: Job): void {
    job.ended = 'yes';
    this.close(job);
  }

  /** Told by our own write or by the watch, whichever comes first. */
  private close(job: Job): void {
    if (this.jobs.get(job.spec.id) !== job) return;
    this.jobs.remove(job);
    this.placement.ended(job);
    this.wake();
  }

  private demand(): Demand {
    const wanted = (job: Job): number => this.placement.wantedCpus(job);
    return demandOf(this.jobs.all(), wanted, this.placement.arriving(), this.deps.types);
  }

  /**
   * Events come in bunches: one pass serves them all. Passes leave most of the processor to whatever else waits,
   * so that a renewal or a report is never behind more than one of them.
   */
  private wake(): void {
    if (this.woken || this.state !== 'serving') return;
    this.woken = true;
    this.deps.world.clock.after(4 + 4 * this.passMs, () => {
      this.woken = false;
      this.act();
    });
  }

  private act(): void {
    if (this.state !== 'serving' || !this.deps.leads()) return;
    const began = this.deps.world.clock.now();
    const mayPlace = this.takeover.mayPlace(this.sender.isCongested(), began);
    const more = mayPlace && this.deps.informed() && this.placement.pass();
    this.sender.flushDue(false);
    this.passMs = Math.min(100, this.deps.world.clock.now() - began);
    if (more) this.wake();
  }

  private tick(): void {
    if (this.state === 'over') return;
    const { world } = this.deps;
    const now = world.clock.now();
    this.sender.timerFired(this.lateness.timerFired(now));
    if (this.leads()) {
      this.leaseWatch.expire(now);
      if (this.takeover.check(now)) this.wake();
      this.registry.tick();
      this.completionWriter.tick();
      this.fleet.tick();
      this.placement.tick(now);
      this.placement.round();
      this.wake();
      this.sender.flushDue(true);
      this.leaseWatch.probe(now);
      if (this.contact.isLost(this.table.storedCount(), this.lateness.isBehind(now), now))
        this.deps.handOver('no worker is heard');
    }
    world.clock.after(TICK_MS, () => {
      this.tick();
    });
  }

  private applyReport(m: Machine, r: WorkerReport): void {
    const now = this.deps.world.clock.now();
    const fresh = r.session > m.session || (r.session === m.session && r.seq > m.seq);
    if (!fresh || !this.table.holds(m)) return;
    m.heardAt = now;
    this.contact.heard(now);
    const wasUsable = m.certain();
    this.table.apply(m, r, now);
    // It has told what it holds.
    if (m.certain()) m.suspect = false;
    this.placement.reported(m);
    if (this.takeover.check(now)) this.wake();
    // Room that was freed has woken us already: see `left`.
    if (!wasUsable && m.certain()) this.wake();
  }

  /** A worker's report: the answer's token and orders, or null if this node may not answer. */
  beat(r: WorkerReport): { token: number; orders: WorkerCommand[] } | null {
    if (!this.deps.leads()) return null;
    const now = this.deps.world.clock.now();
    if (this.state !== 'serving') return { token: this.baseToken, orders: [] };
    if (this.fleet.isGone(r.machine)) return { token: this.baseToken, orders: [] };
    let m = this.table.get(r.machine);
    if (!m) {
      const type = this.deps.types.find((t) => t.name === r.type);
      if (!type) return null;
      m = this.table.add(r.machine, r.endpoint, type, r.zone, r.spot, now);
    }
    // A late copy tells nothing, and its answer renews nothing: neither may look as if it did.
    if (r.session < m.session || (r.session === m.session && r.seq <= m.reportSeq)) return null;
    m.renewedAt = now;
    if (m.commandFailures > 0) m.nextSendAt = Math.min(m.nextSendAt, now);
    this.applyReport(m, r);
    if (r.session === m.session) m.reportSeq = r.seq;
    const orders = m.stored ? commandsForReport(m, this.table, now) : [];
    return { token: this.table.ask(m, now, this.deps.settings.leaseS * 500), orders };
  }

  /** A follower asks whether it may keep leases. */
  asked(from: string): { revision: number; keep: boolean } | null {
    if (this.state !== 'serving' || !this.deps.leads()) return null;
    const now = this.deps.world.clock.now();
    const keep = this.leaseWatch.mayOthersExtend(now);
    this.grants.asked(from, keep, now);
    return { revision: this.claim.revision, keep };
  }

  /**
   * While paused this node may keep leases as a follower may, counted from when nobody can have claimed after it:
   * a new leader takes it that former ones keep no longer than that from its own claim.
   */
  mayExtendWhilePaused(r: WorkerReport, unclaimedUntil: number): boolean {
    const now = this.deps.world.clock.now();
    if (this.state !== 'serving' || now - unclaimedUntil >= this.leaseExtensionMs / DRIFT)
      return false;
    if (Math.floor(r.token / TOKEN_SPAN) !== this.claim.revision) return false;
    const m = this.table.get(r.machine);
    if (m) m.renewedAt = now;
    return true;
  }

  /** Called off, as this node knows otherwise than by the watch, which may be late. */
  cancelledElsewhere(id: string): void {
    const job = this.jobs.get(id);
    if (job && this.state === 'serving') this.markCancelled(job);
  }

  private markCancelled(job: Job): void {
    if (job.cancelled) return;
    job.cancelled = true;
    this.placement.cancelled(job);
    this.wake();
  }

  progress(): [string, Progress][] {
    return this.jobs.progress();
  }

  progressFor(id: string): Progress | undefined {
    return this.jobs.progressOf(id);
  }
}
