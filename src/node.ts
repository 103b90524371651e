/** One controller node: what it answers, apart from sockets, so that tests can run whole clusters in a simulation. */
import type { Build } from '@millring/rollout';
import type { OperatorSettings } from './settings/operator.js';
import type { PlatformSettings } from './settings/platform.js';
import { type World, sleep } from './runtime.js';
import { Cloud } from './fleet/cloud.js';
import { type Answer, JobsApi } from './jobs/api.js';
import type { Progress } from './jobs/job-table.js';
import { LiveMirror } from './jobs/mirror.js';
import { LeaderTerm } from './leadership/leader-term.js';
import { ASK_MS, LeaseExtender, leaseExtensionMs } from './leadership/lease-extension.js';
import { type Claim, Leadership } from './leadership/leadership.js';
import { Cancellations } from './jobs/cancellations.js';
import { Attestations } from './peers/attestations.js';
import { BUILD, COMPACT_FINISHED_TASKS } from './build.js';
import type { PeerMessage } from './peers/peers.js';
import { ControllerDuties } from './duties/controller-duties.js';
import { ControllerRollout } from './rollout/controller-rollout.js';
import { type StateStore, stateStoreOf } from './state-store/client.js';
import type { Body } from './wire/cbor.js';
import { catalogBody, readTypes } from './wire/cloud.js';
import { readReport, redirectBody, reportAnswer } from './wire/workers.js';
import type { MachineType, WorkerCommand, WorkerReport } from './wire/model.js';

const TYPES_KEY = 'catalog';
/** Of the state service's requests, for answering questions. */
const MIRROR_SHARE = 0.35;
/** Unserved for so long while others are served: not a passing fault. */
const ALONE_MS = 1500;
const PEER_FRESH_MS = 1500;
const PROGRESS_MS = 700;
/** Every node reads what was cancelled so often, whether or not it leads. */
const READ_MS = 1000;
/** Cancellations older than a valid claim can make them stop all starts: after a pause they are read first. */
const INFORMED_MS = 4000;
const NOT_NOW: Answer = { status: 503, body: {}, retryAfterS: 1 };

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
  private readonly keeper: LeaseExtender;
  /** What the other nodes last told of the state service. */
  private readonly peersServed = new Map<string, { served: boolean; at: number }>();
  private readonly mirror: LiveMirror;
  private readonly cancellations: Cancellations;
  private readonly attestations: Attestations;

  constructor(
    private readonly world: World,
    private readonly settings: PlatformSettings,
    private readonly operator: OperatorSettings,
    private readonly wallMs: () => number,
    private readonly tellPeers: (m: PeerMessage) => void,
    build: Build = BUILD,
  ) {
    const process = `${wallMs()}-${world.random()}`;
    this.store = stateStoreOf(world, settings);
    this.cancellations = new Cancellations(settings.cancelS, settings.leaseS, () =>
      world.clock.now(),
    );
    this.cancellations.onNew((id) => this.term?.cancelledElsewhere(id));
    this.attestations = new Attestations(
      settings.node,
      process,
      settings.peers.map((p) => p.name),
      () => world.clock.now(),
    );
    this.mirror = new LiveMirror(
      world,
      this.store,
      (1000 * settings.nodes) / (settings.stateRps * MIRROR_SHARE),
      (id) => {
        this.cancellations.learn(id);
      },
      (sent) => {
        this.cancellations.completeAsOf(sent);
      },
    );
    this.keeper = new LeaseExtender(leaseExtensionMs(settings.cancelS, settings.leaseS));
    this.cloud = new Cloud(world, settings.cloud, settings.cloudRps);
    this.rollout = new ControllerRollout({
      world,
      settings,
      operator,
      store: this.store,
      build,
      process,
      wallMs,
      tellPeers,
      excluded: () => void this.leadership.handOver('the stored state cannot be read'),
    });
    this.duties = new ControllerDuties({
      world,
      settings,
      operator,
      store: this.store,
      rollout: this.rollout,
      process,
      wallMs,
      leader: () => this.leadership.leader(),
    });
    this.leadership = this.createLeadership();
    this.api = new JobsApi({
      settings,
      store: this.store,
      mirror: this.mirror,
      mayServe: () => this.rollout.mayServe(),
      types: () => this.types,
      progress: (id) => this.term?.progressFor(id) ?? this.progress.get(id),
      confirming: (id) => {
        this.confirming(id);
      },
      wallMs,
      log: world.log,
    });
  }

  run(): void {
    void Promise.all([this.learnTypes(), this.rollout.join()]).then(() => {
      this.leadership.run();
      this.duties.run();
    });
    this.tellProgress();
    this.askLeader();
    void this.readCancellations();
  }

  private createLeadership(): Leadership {
    const { world, settings, operator, store } = this;
    const events = {
      elected: (claim: Claim): void => {
        this.startTerm(claim);
      },
      deposed: (): void => {
        this.term?.end();
        this.term = null;
      },
      resumed: (): void => this.term?.resumed(),
    };
    return new Leadership(world, settings, operator.leader_lease_ms, store, events, () =>
      this.rollout.mayServe(),
    );
  }

  private async readCancellations(): Promise<void> {
    for (;;) {
      await this.mirror.fresh();
      await sleep(this.world.clock, READ_MS);
    }
  }

  /** A user is told: from here on nothing of the job may start, so whoever may lead hears of it first. */
  private confirming(id: string): void {
    this.attestations.confirm(id);
    if (this.cancellations.has(id)) return;
    this.cancellations.learn(id);
    this.tellPeers({ t: 'cancelled', from: this.settings.node, id });
  }

  /**
   * A node that the state service alone does not serve can only refuse: users are better off elsewhere. In an
   * outage for all there is no elsewhere, and nodes that stay healthy serve again at once when it ends.
   */
  healthy(): boolean {
    return this.unhealthyBecause() === null;
  }

  /** Null while requests can be taken. */
  unhealthyBecause(): string | null {
    if (!this.rollout.mayServe()) return this.rollout.reason();
    if (this.types === null) return 'the machine types are not known yet';
    return this.unservedAlone() ? 'the state service does not serve this controller' : null;
  }

  private unservedAlone(): boolean {
    if (this.store.unservedMs() < ALONE_MS) return false;
    const now = this.world.clock.now();
    const told = [...this.peersServed.values()].filter((p) => now - p.at < PEER_FRESH_MS);
    return told.length === 0 ? this.settings.peers.length > 0 : told.some((p) => p.served);
  }

  private startTerm(claim: Claim): void {
    const { world, settings, operator, store, wallMs, leadership } = this;
    const term = new LeaderTerm(
      {
        world,
        settings,
        operator,
        store,
        types: this.types ?? [],
        wallMs,
        leads: () => leadership.leads() && leadership.current() === claim,
        guard: () => leadership.guard(),
        isCancelled: (id) => this.cancellations.has(id),
        informed: () => this.cancellations.ageMs() < INFORMED_MS,
        segmentGuard: () => this.rollout.writeGuard(COMPACT_FINISHED_TASKS),
        duties: this.duties,
        handOver: (why) => void leadership.handOver(why),
      },
      claim,
    );
    this.term = term;
    void term.run();
    this.rollout.coordinate({
      leads: () => leadership.leads() && leadership.current() === claim,
      active: () => leadership.current() === claim,
      leaderGuard: () => leadership.guard(),
      conversion: (target) => term.conversion(target),
    });
  }

  /** The catalog, from the cloud, or as a node last kept it when the cloud can't be reached. */
  private async learnTypes(): Promise<void> {
    while (this.types === null) {
      const kept = await this.store.get(TYPES_KEY);
      if (kept.kind === 'found') {
        this.types = readTypes(kept.entry.value as Body);
        if (this.types) return;
      }
      const fresh = await this.cloud.types();
      if (fresh) {
        this.types = fresh;
        void this.store.compareAndSwap([], [{ put: TYPES_KEY, value: catalogBody(fresh) }]);
        return;
      }
      await sleep(this.world.clock, 300 + this.world.random() * 300);
    }
  }

  private tellProgress(): void {
    if (this.term && this.leadership.leads())
      this.tellPeers({ t: 'progress', from: this.settings.node, jobs: this.term.progress() });
    this.world.clock.after(PROGRESS_MS, () => {
      this.tellProgress();
    });
  }

  private askLeader(): void {
    const { clock } = this.world;
    const served = this.store.unservedMs() === 0;
    // Nobody else may ask while users are elsewhere and the watches hang.
    if (!served && !this.probing) {
      this.probing = true;
      void this.store.get(TYPES_KEY).then(() => (this.probing = false));
    }
    this.tellPeers({ t: 'served', from: this.settings.node, served });
    const { leadership } = this;
    this.tellPeers(this.attestations.statement(leadership.latestClaim(), leadership.isClaiming()));
    if (!this.term) this.tellPeers({ t: 'ask', from: this.settings.node, at: clock.now() });
    clock.after(ASK_MS, () => {
      this.askLeader();
    });
  }

  peerMessage(m: PeerMessage): void {
    switch (m.t) {
      case 'progress':
        if (!this.term) this.progress = new Map(m.jobs);
        return;
      case 'ask': {
        const grant = this.term?.asked(m.from);
        if (grant)
          this.tellPeers({ t: 'grant', from: this.settings.node, to: m.from, at: m.at, ...grant });
        return;
      }
      case 'served':
        this.peersServed.set(m.from, { served: m.served, at: this.world.clock.now() });
        return;
      case 'grant':
        if (m.to === this.settings.node)
          this.keeper.granted(m.at, m.revision, m.keep, this.world.clock.now());
        return;
      case 'cancelled':
        this.cancellations.learn(m.id);
        return;
      case 'build':
        this.rollout.heardBuild(m);
        return;
      case 'attest':
        for (const id of m.cancelled) this.cancellations.learn(id);
        this.attestations.heardFrom(m);
        this.rollout.heardProcess(m.from, m.life);
        this.cancellations.completeAsOf(this.attestations.completeFrom(this.cancellations.asOf()));
    }
  }

  /** May this node, which does not lead now, renew the worker's lease? See keeping.ts. */
  private mayExtendLease(r: WorkerReport): boolean {
    const claim = this.leadership.current();
    if (this.term && claim)
      return this.term.mayExtendWhilePaused(
        r,
        this.attestations.unclaimedUntil(claim.revision, this.leadership.validTo()),
      );
    return this.keeper.mayAnswer(r.token, this.world.clock.now());
  }

  /** A worker's report. Only the leader answers 200: anything else would hold the worker while its lease runs out. */
  beat(body: Body | null): Answer {
    if (!this.rollout.mayServe()) return NOT_NOW;
    const report = body && readReport(body);
    if (!report) this.world.log.debug({ body }, 'unreadable report');
    if (!report) return { status: 400, body: { error: 'not a report' } };
    // Whoever answers renews the lease, in whatever role: see cancellations.ts.
    const mayRenew = this.cancellations.mayRenew();
    if (this.term && this.leadership.leads()) {
      const answer = mayRenew ? this.term.beat(report) : null;
      return answer ? this.renewed(report, answer.token, answer.orders) : NOT_NOW;
    }
    if (mayRenew && this.mayExtendLease(report)) return this.renewed(report, report.token, []);
    const leader = this.leadership.leader();
    if (leader === null || leader === this.settings.node) return NOT_NOW;
    return { status: 421, body: redirectBody(leader) };
  }

  private renewed(r: WorkerReport, token: number, orders: WorkerCommand[]): Answer {
    return { status: 200, body: reportAnswer(token, this.cancellations.withStops(r, orders)) };
  }
}
