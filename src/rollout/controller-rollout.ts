/** The rollout as one controller process takes part in it: as a participant always, and as the coordinator while it leads. */
import type { Precondition } from '@millring/state-access';
import {
  type Build,
  type Conversion,
  type FeatureMode,
  RolloutCoordinator,
  RolloutParticipant,
  summarizeBuild,
} from '@millring/rollout';
import { FEATURES } from '../build.js';
import type { PeerMessage } from '../peers/peer-messages.js';
import { type Runtime, packageEnvironment } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';

const BUILD_BROADCAST_INTERVAL_MS = 5000;

/** What the rollout needs of the controller process. */
export interface ControllerRolloutDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  build: Build;
  /** Tells this process apart from all others of this controller. */
  process: string;
  /** Time of day in milliseconds. */
  wallMs(): number;
  /** Sends to all other controllers. */
  broadcast(message: PeerMessage): void;
  /** The process may not serve any more: if it leads, it must resign. */
  onExcluded(): void;
}

/** The term of a leader, which drives the cluster level. */
export interface CoordinatedTerm {
  /** This controller is surely the leader at this very moment. */
  isLeader(): boolean;
  /** The term has not ended, though the leader may be suspended. */
  isActive(): boolean;
  /** Holds only while the term lasts. */
  leaderPrecondition(): Precondition;
  /** How far records of features above `target` have been converted back. */
  conversion(target: number): Conversion;
}

/** One for each controller process, for as long as it lives. */
export class ControllerRollout {
  private readonly participant: RolloutParticipant;
  /** The process of each other controller, as last heard from itself. */
  private readonly processes = new Map<string, string>();
  /** The build of each other controller, in words, as last logged. */
  private readonly loggedBuilds = new Map<string, string>();

  constructor(private readonly deps: ControllerRolloutDependencies) {
    const { store, settings, build, process, operator } = deps;
    this.participant = new RolloutParticipant({
      environment: packageEnvironment(deps),
      store,
      self: settings.node,
      process,
      build,
      registry: FEATURES,
      settings: operator.rollout,
      onServingChanged: (mayServe) => {
        if (!mayServe) deps.onExcluded();
      },
    });
  }

  /** Resolves once it is known whether this process takes part, and at which level. */
  async join(): Promise<void> {
    await this.participant.join();
    if (this.deps.operator.rollout.mode !== 'off') this.broadcastBuild();
  }

  /** Whether the level may ever change for this process. */
  isParticipating(): boolean {
    return !this.participant.isOutside();
  }

  /** See `RolloutParticipant.mayServe`. */
  mayServe(): boolean {
    return this.participant.mayServe();
  }

  /** Why nothing is served. */
  reason(): string {
    return this.participant.reason();
  }

  /** See `RolloutParticipant.writeGuard`. */
  writePrecondition(feature: string): Precondition | null {
    return this.participant.writePrecondition(feature);
  }

  /** See `RolloutParticipant.mode`. */
  mode(feature: string): FeatureMode {
    return this.participant.mode(feature);
  }

  /** Drives the cluster level until the term ends. */
  coordinate(term: CoordinatedTerm): void {
    if (!this.isParticipating()) return;
    const { settings, store, operator } = this.deps;
    const coordinator = new RolloutCoordinator({
      environment: packageEnvironment(this.deps),
      store,
      self: settings.node,
      controllers: [settings.node, ...settings.peers.map((peer) => peer.name)],
      registry: FEATURES,
      settings: operator.rollout,
      knownLevel: () => this.participant.level(),
      processes: () => this.processes,
      isLeader: () => term.isLeader(),
      isActive: () => term.isActive(),
      leaderPrecondition: () => term.leaderPrecondition(),
      conversion: (target) => term.conversion(target),
    });
    void coordinator.run();
  }

  private broadcastBuild(): void {
    const { runtime, settings, build, process } = this.deps;
    const { version, reads, writes } = build;
    const levels = { version, reads: [reads.from, reads.to] as [number, number], writes };
    this.deps.broadcast({ t: 'build', from: settings.node, process, ...levels });
    runtime.clock.after(BUILD_BROADCAST_INTERVAL_MS, () => {
      this.broadcastBuild();
    });
  }

  /** To be called when another controller was heard: builds without the rollout tell their process as well. */
  recordProcess(controller: string, process: string): void {
    this.processes.set(controller, process);
  }

  /** To be called when another controller has told its build. */
  recordBuild(message: Extract<PeerMessage, { t: 'build' }>): void {
    const { from, process, version, reads, writes } = message;
    this.recordProcess(from, process);
    const [lowest, highest] = reads;
    const build = summarizeBuild({ version, reads: { from: lowest, to: highest }, writes });
    if (this.loggedBuilds.get(from) === build) return;
    this.loggedBuilds.set(from, build);
    this.deps.runtime.log.info({ controller: from, build }, 'build of another controller');
  }
}
