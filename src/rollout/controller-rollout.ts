/** The rollout as one controller process takes part in it: as a participant always, and as the coordinator while it leads. */
import type { Precondition } from '@millring/state-access';
import {
  type Build,
  type Conversion,
  type FeatureMode,
  RolloutCoordinator,
  RolloutParticipant,
} from '@millring/rollout';
import { FEATURES } from '../build.js';
import type { PeerMessage } from '../peers/peer-messages.js';
import { type Runtime, packageEnvironment } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';

/** How often the other controllers are told of this build. */
const BUILD_BROADCAST_INTERVAL_MS = 5000;

export interface ControllerRolloutDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  build: Build;
  /** Tells this process apart from all others of this controller. */
  process: string;
  wallMs(): number;
  broadcast(message: PeerMessage): void;
  /** The process may not serve any more: whatever it leads must be given up. */
  onExcluded(): void;
}

/** What the coordinator needs of the leader's term. */
export interface CoordinatedTerm {
  isLeader(): boolean;
  isActive(): boolean;
  leaderPrecondition(): Precondition;
  conversion(target: number): Conversion;
}

export class ControllerRollout {
  private readonly participant: RolloutParticipant;
  /** The process of each other controller, as last heard from itself. */
  private readonly processes = new Map<string, string>();
  private readonly builds = new Map<string, string>();

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

  async join(): Promise<void> {
    await this.participant.join();
    if (this.deps.operator.rollout.mode !== 'off') this.broadcastBuild();
  }

  /** Whether the level may ever change for this process. */
  isParticipating(): boolean {
    return !this.participant.isOutside();
  }

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

  mode(feature: string): FeatureMode {
    return this.participant.mode(feature);
  }

  /** For the time of one claim. */
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

  /** Another controller was heard: builds without the rollout tell their process, too. */
  recordProcess(controller: string, process: string): void {
    this.processes.set(controller, process);
  }

  recordBuild(message: Extract<PeerMessage, { t: 'build' }>): void {
    const { from, process, version, reads, writes } = message;
    this.recordProcess(from, process);
    const build = `${version}, reads ${reads[0]} to ${reads[1]}, writes ${writes}`;
    if (this.builds.get(from) === build) return;
    this.builds.set(from, build);
    this.deps.runtime.log.info({ controller: from, build }, 'build of another controller');
  }
}
