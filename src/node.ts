/** Creates and connects a controller node's components, except sockets, so that tests can simulate whole clusters. */
import type { Build } from '@millring/rollout';
import { Cloud } from './autoscaler/cloud.js';
import { BUILD } from './build.js';
import { ControllerDuties } from './duties/controller-duties.js';
import { type Health, HealthCheck } from './health.js';
import { HeartbeatEndpoint } from './heartbeat-endpoint.js';
import type { ApiResponse } from './jobs/responses.js';
import { JobsApi } from './jobs/api.js';
import { Cancellations } from './jobs/cancellations.js';
import { type JobCache, createJobCache } from './jobs/job-cache.js';
import type { LeaderTerm } from './leadership/leader-term.js';
import { Leadership, type LeadershipEvents } from './leadership/leadership.js';
import { LeaseExtender, leaseExtensionMs } from './leadership/lease-extension.js';
import { TermSupervisor } from './leadership/term-supervisor.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';
import { Attestations } from './peers/attestations.js';
import { PeerMessageHandler } from './peers/peer-message-handler.js';
import type { PeerMessage } from './peers/peer-messages.js';
import type { PeerSender } from './peers/peer-network.js';
import { StatusBroadcasts } from './peers/status-broadcasts.js';
import { ProgressExchange } from './progress/progress-exchange.js';
import { ControllerRollout } from './rollout/controller-rollout.js';
import { type Clock, type Runtime, sleep } from './runtime.js';
import type { OperatorSettings } from './settings/operator.js';
import type { PlatformSettings } from './settings/platform.js';
import { type StateStore, createStateStore } from './state-store/client.js';
import type { Body } from './wire/cbor.js';

/** Interval at which every node reads cancellations, whether or not it leads. */
const CANCELLATION_READ_INTERVAL_MS = 1000;

/** Dependencies shared by the components of a node that respond to workers and peers. */
interface NodeContext {
  clock: Clock;
  self: string;
  leadership: Leadership;
  cancellations: Cancellations;
  attestations: Attestations;
  leaseExtender: LeaseExtender;
  peers: PeerSender;
  term(): LeaderTerm | null;
}

/** The external dependencies of a node. */
export interface ControllerNodeDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  /** Returns the wall-clock time in milliseconds since the Unix epoch. */
  wallMs(): number;
  peers: PeerSender;
  /** The build that this process declares; defaults to `BUILD`. Tests set another one. */
  build?: Build;
}

/** One controller process. */
export class ControllerNode {
  readonly api: JobsApi;
  readonly leadership: Leadership;
  readonly rollout: ControllerRollout;
  private readonly terms: TermSupervisor;
  private readonly duties: ControllerDuties;
  private readonly store: StateStore;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly jobCache: JobCache;
  private readonly cancellations: Cancellations;
  private readonly attestations: Attestations;
  private readonly leaseExtender: LeaseExtender;
  private readonly healthCheck: HealthCheck;
  private readonly heartbeats: HeartbeatEndpoint;
  private readonly peerMessages: PeerMessageHandler;
  private readonly statusBroadcasts: StatusBroadcasts;
  private readonly progress: ProgressExchange;

  constructor(private readonly deps: ControllerNodeDependencies) {
    const { runtime, settings } = deps;
    /** Distinguishes this process from earlier ones of the same controller. */
    const processId = `${deps.wallMs()}-${runtime.random()}`;
    this.store = createStateStore(runtime, settings);
    this.cancellations = this.createCancellations();
    this.attestations = this.createAttestations(processId);
    this.jobCache = createJobCache(runtime, this.store, settings, this.cancellations);
    this.leaseExtender = new LeaseExtender(
      leaseExtensionMs(settings.cancelS, settings.leaseS),
      runtime.log,
    );
    const cloud = new Cloud(runtime, settings.cloudAddress, settings.cloudCallsPerS);
    this.machineTypes = new MachineTypeCatalog(runtime, this.store, cloud);
    this.rollout = this.createRollout(processId);
    this.duties = this.createDuties(processId);
    this.leadership = this.createLeadership();
    this.terms = this.createTermSupervisor();
    this.progress = this.createProgressExchange();
    this.api = this.createJobsApi();
    this.healthCheck = this.createHealthCheck();
    const context = this.context();
    this.heartbeats = new HeartbeatEndpoint({
      ...context,
      log: runtime.log,
      observed: this.progress.observed,
      mayServe: () => this.rollout.mayServe(),
    });
    this.peerMessages = new PeerMessageHandler({
      ...context,
      health: this.healthCheck,
      rollout: this.rollout,
      progress: this.progress.jobs,
    });
    this.statusBroadcasts = new StatusBroadcasts({ ...context, store: this.store });
  }

  /** Starts to take part in the cluster. A node stops only when the process ends. */
  run(): void {
    void Promise.all([this.machineTypes.load(), this.rollout.join()]).then(() => {
      this.leadership.run();
      this.duties.run();
    });
    this.statusBroadcasts.run();
    this.progress.run();
    void this.readCancellations();
  }

  /** Whether users' requests should be sent to this node. */
  health(): Health {
    return this.healthCheck.health();
  }

  /** Handles a message from another controller. */
  handlePeerMessage(message: PeerMessage): void {
    this.peerMessages.handle(message);
  }

  /** Handles a worker's heartbeat. `body` is null if it cannot be decoded. */
  handleHeartbeat(body: Body | null): ApiResponse {
    return this.heartbeats.handle(body);
  }

  private async readCancellations(): Promise<void> {
    for (;;) {
      await this.jobCache.refresh();
      await sleep(this.deps.runtime.clock, CANCELLATION_READ_INTERVAL_MS);
    }
  }

  /** Called before a cancellation is confirmed to a user: from then on, no leader may start any task of the job. */
  private beforeConfirm(id: string): void {
    this.attestations.recordConfirmation(id);
    if (this.cancellations.has(id)) return;
    this.cancellations.record(id);
    this.deps.peers.broadcast({ t: 'cancelled', from: this.deps.settings.node, id });
  }

  private createCancellations(): Cancellations {
    const { runtime, settings } = this.deps;
    const cancellations = new Cancellations(settings.cancelS, settings.leaseS, () =>
      runtime.clock.now(),
    );
    cancellations.onNew((id) => this.terms.currentTerm()?.recordCancellation(id));
    return cancellations;
  }

  private createAttestations(processId: string): Attestations {
    const { runtime, settings } = this.deps;
    const peers = settings.peers.map((peer) => peer.name);
    return new Attestations(settings.node, processId, peers, () => runtime.clock.now());
  }

  private createRollout(processId: string): ControllerRollout {
    const { runtime, settings, operator, build = BUILD } = this.deps;
    return new ControllerRollout({
      runtime,
      settings,
      operator,
      store: this.store,
      build,
      process: processId,
      wallMs: () => this.deps.wallMs(),
      broadcast: (message) => {
        this.deps.peers.broadcast(message);
      },
      onExcluded: () => void this.leadership.resign('the stored state cannot be read'),
    });
  }

  private createDuties(processId: string): ControllerDuties {
    const { runtime, settings, operator } = this.deps;
    return new ControllerDuties({
      runtime,
      settings,
      operator,
      store: this.store,
      rollout: this.rollout,
      process: processId,
      wallMs: () => this.deps.wallMs(),
      leader: () => this.leadership.leaderName(),
    });
  }

  private createLeadership(): Leadership {
    const { runtime, settings, operator } = this.deps;
    const events: LeadershipEvents = {
      elected: (term) => {
        this.terms.elected(term);
      },
      deposed: () => {
        this.terms.deposed();
      },
      resumed: () => {
        this.terms.resumed();
      },
    };
    return new Leadership(runtime, settings, operator.leader_lease_ms, this.store, events, () =>
      this.rollout.mayServe(),
    );
  }

  private createTermSupervisor(): TermSupervisor {
    const { runtime, settings, operator } = this.deps;
    return new TermSupervisor({
      runtime,
      settings,
      operator,
      store: this.store,
      leadership: this.leadership,
      machineTypes: this.machineTypes,
      cancellations: this.cancellations,
      rollout: this.rollout,
      duties: this.duties,
      wallMs: () => this.deps.wallMs(),
    });
  }

  private createJobsApi(): JobsApi {
    const { runtime, settings } = this.deps;
    return new JobsApi({
      settings,
      store: this.store,
      cache: this.jobCache,
      mayServe: () => this.rollout.mayServe(),
      types: () => this.machineTypes.types(),
      progress: this.progress.jobs,
      beforeConfirm: (id) => {
        this.beforeConfirm(id);
      },
      wallMs: () => this.deps.wallMs(),
      log: runtime.log,
    });
  }

  private createProgressExchange(): ProgressExchange {
    return new ProgressExchange({
      ...this.deps,
      store: this.store,
      processEpoch: this.deps.wallMs(),
      term: () => this.terms.currentTerm(),
      leaderName: () => this.leadership.leaderName(),
      leaderPrecondition: () => this.leadership.leaderPrecondition(),
      acknowledgedAt: (peer) => this.attestations.acknowledgedAt(peer),
    });
  }

  private createHealthCheck(): HealthCheck {
    const { runtime, settings } = this.deps;
    return new HealthCheck({
      clock: runtime.clock,
      store: this.store,
      rollout: this.rollout,
      machineTypes: this.machineTypes,
      hasPeers: settings.peers.length > 0,
    });
  }

  private context(): NodeContext {
    const { runtime, settings } = this.deps;
    return {
      clock: runtime.clock,
      self: settings.node,
      leadership: this.leadership,
      cancellations: this.cancellations,
      attestations: this.attestations,
      leaseExtender: this.leaseExtender,
      peers: this.deps.peers,
      term: () => this.terms.currentTerm(),
    };
  }
}
