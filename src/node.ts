/** One controller node: what it answers, apart from sockets, so that tests can run whole clusters in a simulation. */
import type { Build } from '@millring/rollout';
import type { OperatorSettings } from './settings/operator.js';
import type { PlatformSettings } from './settings/platform.js';
import { type Runtime, sleep } from './runtime.js';
import { Cloud } from './autoscaler/cloud.js';
import { type Answer, JobsApi } from './jobs/api.js';
import type { Progress } from './jobs/job-table.js';
import { JobCache } from './jobs/job-cache.js';
import { LeaderTerm } from './leadership/leader-term.js';
import {
  REQUEST_INTERVAL_MS,
  LeaseExtender,
  leaseExtensionMs,
} from './leadership/lease-extension.js';
import type { LeadershipTerm } from './leadership/leader-record.js';
import { Leadership } from './leadership/leadership.js';
import { Cancellations } from './jobs/cancellations.js';
import { Attestations } from './peers/attestations.js';
import { BUILD, COMPACT_FINISHED_TASKS } from './build.js';
import type { PeerMessage } from './peers/peer-messages.js';
import { ControllerDuties } from './duties/controller-duties.js';
import { ControllerRollout } from './rollout/controller-rollout.js';
import { type StateStore, createStateStore } from './state-store/client.js';
import type { Body } from './wire/cbor.js';
import { catalogBody, readMachineTypes } from './wire/cloud.js';
import { readHeartbeat, redirectBody, heartbeatResponse } from './wire/workers.js';
import type { MachineType, WorkerCommand, Heartbeat } from './wire/model.js';

const MACHINE_TYPES_KEY = 'catalog';
/** Of the state service's requests, for answering questions. */
const CACHE_REQUEST_SHARE = 0.35;
/** Unserved for so long while others are served: not a passing fault. */
const UNAVAILABLE_ALONE_MS = 1500;
const PEER_STATUS_MAX_AGE_MS = 1500;
const PROGRESS_INTERVAL_MS = 700;
/** Every node reads what was cancelled so often, whether or not it leads. */
const CANCELLATION_READ_INTERVAL_MS = 1000;
/** Cancellations older than a valid claim can make them stop all starts: after a pause they are read first. */
const CANCELLATIONS_MAX_AGE_MS = 4000;
const UNAVAILABLE: Answer = { status: 503, body: {}, retryAfterS: 1 };

export class ControllerNode {
  readonly api: JobsApi;
  readonly leadership: Leadership;
  readonly rollout: ControllerRollout;
  private readonly duties: ControllerDuties;
  private readonly store: StateStore;
  private readonly cloud: Cloud;
  private term: LeaderTerm | null = null;
  private types: MachineType[] | null = null;
  private progress = new Map<string, Progress>();
  private probing = false;
  private readonly leaseExtender: LeaseExtender;
  /** What the other nodes last told of the state service. */
  private readonly peerAvailability = new Map<string, { served: boolean; at: number }>();
  private readonly jobCache: JobCache;
  private readonly cancellations: Cancellations;
  private readonly attestations: Attestations;

  constructor(
    private readonly runtime: Runtime,
    private readonly settings: PlatformSettings,
    private readonly operator: OperatorSettings,
    private readonly wallMs: () => number,
    private readonly broadcast: (m: PeerMessage) => void,
    build: Build = BUILD,
  ) {
    const process = `${wallMs()}-${runtime.random()}`;
    this.store = createStateStore(runtime, settings);
    this.cancellations = new Cancellations(settings.cancelS, settings.leaseS, () =>
      runtime.clock.now(),
    );
    this.cancellations.onNew((id) => this.term?.recordCancellation(id));
    this.attestations = new Attestations(
      settings.node,
      process,
      settings.peers.map((p) => p.name),
      () => runtime.clock.now(),
    );
    this.jobCache = new JobCache(
      runtime,
      this.store,
      (1000 * settings.nodes) / (settings.stateRps * CACHE_REQUEST_SHARE),
      (id) => {
        this.cancellations.record(id);
      },
      (sent) => {
        this.cancellations.advanceWatermark(sent);
      },
    );
    this.leaseExtender = new LeaseExtender(leaseExtensionMs(settings.cancelS, settings.leaseS));
    this.cloud = new Cloud(runtime, settings.cloud, settings.cloudRps);
    this.rollout = new ControllerRollout({
      runtime,
      settings,
      operator,
      store: this.store,
      build,
      process,
      wallMs,
      broadcast,
      onExcluded: () => void this.leadership.resign('the stored state cannot be read'),
    });
    this.duties = new ControllerDuties({
      runtime,
      settings,
      operator,
      store: this.store,
      rollout: this.rollout,
      process,
      wallMs,
      leader: () => this.leadership.leaderName(),
    });
    this.leadership = this.createLeadership();
    this.api = new JobsApi({
      settings,
      store: this.store,
      cache: this.jobCache,
      mayServe: () => this.rollout.mayServe(),
      types: () => this.types,
      progress: (id) => this.term?.progressOf(id) ?? this.progress.get(id),
      beforeConfirm: (id) => {
        this.beforeConfirm(id);
      },
      wallMs,
      log: runtime.log,
    });
  }

  run(): void {
    void Promise.all([this.loadMachineTypes(), this.rollout.join()]).then(() => {
      this.leadership.run();
      this.duties.run();
    });
    this.broadcastProgress();
    this.broadcastStatus();
    void this.readCancellations();
  }

  private createLeadership(): Leadership {
    const { runtime, settings, operator, store } = this;
    const events = {
      elected: (claim: LeadershipTerm): void => {
        this.startTerm(claim);
      },
      deposed: (): void => {
        this.term?.end();
        this.term = null;
      },
      resumed: (): void => this.term?.resumed(),
    };
    return new Leadership(runtime, settings, operator.leader_lease_ms, store, events, () =>
      this.rollout.mayServe(),
    );
  }

  private async readCancellations(): Promise<void> {
    for (;;) {
      await this.jobCache.refresh();
      await sleep(this.runtime.clock, CANCELLATION_READ_INTERVAL_MS);
    }
  }

  /** A user is told: from here on nothing of the job may start, so whoever may lead hears of it first. */
  private beforeConfirm(id: string): void {
    this.attestations.recordConfirmation(id);
    if (this.cancellations.has(id)) return;
    this.cancellations.record(id);
    this.broadcast({ t: 'cancelled', from: this.settings.node, id });
  }

  /**
   * A node that the state service alone does not serve can only refuse: users are better off elsewhere. In an
   * outage for all there is no elsewhere, and nodes that stay healthy serve again at once when it ends.
   */
  healthy(): boolean {
    return this.unhealthyReason() === null;
  }

  /** Null while requests can be taken. */
  unhealthyReason(): string | null {
    if (!this.rollout.mayServe()) return this.rollout.reason();
    if (this.types === null) return 'the machine types are not known yet';
    return this.isUnavailableAlone() ? 'the state service does not serve this controller' : null;
  }

  private isUnavailableAlone(): boolean {
    if (this.store.unavailableForMs() < UNAVAILABLE_ALONE_MS) return false;
    const now = this.runtime.clock.now();
    const told = [...this.peerAvailability.values()].filter(
      (p) => now - p.at < PEER_STATUS_MAX_AGE_MS,
    );
    return told.length === 0 ? this.settings.peers.length > 0 : told.some((p) => p.served);
  }

  private startTerm(claim: LeadershipTerm): void {
    const { runtime, settings, operator, store, wallMs, leadership } = this;
    const term = new LeaderTerm(
      {
        runtime,
        settings,
        operator,
        store,
        types: this.types ?? [],
        wallMs,
        isLeader: () => leadership.isLeader() && leadership.currentTerm() === claim,
        termPrecondition: () => leadership.termPrecondition(),
        isCancelled: (id) => this.cancellations.has(id),
        cancellationsAreFresh: () => this.cancellations.ageMs() < CANCELLATIONS_MAX_AGE_MS,
        segmentPrecondition: () => this.rollout.writePrecondition(COMPACT_FINISHED_TASKS),
        duties: this.duties,
        resign: (why) => void leadership.resign(why),
      },
      claim,
    );
    this.term = term;
    void term.run();
    this.rollout.coordinate({
      isLeader: () => leadership.isLeader() && leadership.currentTerm() === claim,
      isActive: () => leadership.currentTerm() === claim,
      leaderPrecondition: () => leadership.termPrecondition(),
      conversion: (target) => term.conversion(target),
    });
  }

  /** The catalog, from the cloud, or as a node last kept it when the cloud can't be reached. */
  private async loadMachineTypes(): Promise<void> {
    while (this.types === null) {
      const kept = await this.store.get(MACHINE_TYPES_KEY);
      if (kept.kind === 'found') {
        this.types = readMachineTypes(kept.entry.value as Body);
        if (this.types) return;
      }
      const fresh = await this.cloud.listMachineTypes();
      if (fresh) {
        this.types = fresh;
        void this.store.compareAndSwap([], [{ put: MACHINE_TYPES_KEY, value: catalogBody(fresh) }]);
        return;
      }
      await sleep(this.runtime.clock, 300 + this.runtime.random() * 300);
    }
  }

  private broadcastProgress(): void {
    if (this.term && this.leadership.isLeader())
      this.broadcast({ t: 'progress', from: this.settings.node, jobs: this.term.progress() });
    this.runtime.clock.after(PROGRESS_INTERVAL_MS, () => {
      this.broadcastProgress();
    });
  }

  private broadcastStatus(): void {
    const { clock } = this.runtime;
    const served = this.store.unavailableForMs() === 0;
    // Nobody else may ask while users are elsewhere and the watches hang.
    if (!served && !this.probing) {
      this.probing = true;
      void this.store.get(MACHINE_TYPES_KEY).then(() => (this.probing = false));
    }
    this.broadcast({ t: 'served', from: this.settings.node, served });
    const { leadership } = this;
    this.broadcast(
      this.attestations.attest(leadership.highestSeenEpoch(), leadership.isCandidate()),
    );
    if (!this.term) this.broadcast({ t: 'ask', from: this.settings.node, at: clock.now() });
    clock.after(REQUEST_INTERVAL_MS, () => {
      this.broadcastStatus();
    });
  }

  handlePeerMessage(m: PeerMessage): void {
    switch (m.t) {
      case 'progress':
        if (!this.term) this.progress = new Map(m.jobs);
        return;
      case 'ask': {
        const grant = this.term?.handleLeaseExtensionRequest(m.from);
        if (grant)
          this.broadcast({
            t: 'grant',
            from: this.settings.node,
            to: m.from,
            at: m.at,
            revision: grant.epoch,
            keep: grant.mayExtend,
          });
        return;
      }
      case 'served':
        this.peerAvailability.set(m.from, { served: m.served, at: this.runtime.clock.now() });
        return;
      case 'grant':
        if (m.to === this.settings.node)
          this.leaseExtender.recordGrant(
            { epoch: m.revision, mayExtend: m.keep },
            m.at,
            this.runtime.clock.now(),
          );
        return;
      case 'cancelled':
        this.cancellations.record(m.id);
        return;
      case 'build':
        this.rollout.recordBuild(m);
        return;
      case 'attest':
        for (const id of m.cancelled) this.cancellations.record(id);
        this.attestations.recordAttestation(m);
        this.rollout.recordProcess(m.from, m.life);
        this.cancellations.advanceWatermark(
          this.attestations.completeUntil(this.cancellations.watermark()),
        );
    }
  }

  /** May this node, which does not lead now, renew the worker's lease? See keeping.ts. */
  private mayExtendLease(r: Heartbeat): boolean {
    const claim = this.leadership.currentTerm();
    if (this.term && claim)
      return this.term.mayExtendWhileSuspended(
        r,
        this.attestations.uncontestedUntil(claim.epoch, this.leadership.leaseValidUntil()),
      );
    return this.leaseExtender.mayRenew(r.token, this.runtime.clock.now());
  }

  /** A worker's report. Only the leader answers 200: anything else would hold the worker while its lease runs out. */
  handleHeartbeat(body: Body | null): Answer {
    if (!this.rollout.mayServe()) return UNAVAILABLE;
    const report = body && readHeartbeat(body);
    if (!report) this.runtime.log.debug({ body }, 'unreadable report');
    if (!report) return { status: 400, body: { error: 'not a report' } };
    // Whoever answers renews the lease, in whatever role: see cancellations.ts.
    const mayRenew = this.cancellations.isFreshEnoughToRenew();
    if (this.term && this.leadership.isLeader()) {
      const answer = mayRenew ? this.term.handleHeartbeat(report) : null;
      return answer ? this.renewalResponse(report, answer.token, answer.commands) : UNAVAILABLE;
    }
    if (mayRenew && this.mayExtendLease(report))
      return this.renewalResponse(report, report.token, []);
    const leader = this.leadership.leaderName();
    if (leader === null || leader === this.settings.node) return UNAVAILABLE;
    return { status: 421, body: redirectBody(leader) };
  }

  private renewalResponse(r: Heartbeat, token: number, orders: WorkerCommand[]): Answer {
    return { status: 200, body: heartbeatResponse(token, this.cancellations.withStops(r, orders)) };
  }
}
