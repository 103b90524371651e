/** Connects a controller process to the rollout: always as a participant, and as the coordinator while it leads. */
import type { Precondition } from '@millring/state-access';
import {
  type Build,
  type Conversion,
  type FeatureMode,
  RolloutCoordinator,
  RolloutParticipant,
  listedBuildText,
} from '@millring/rollout';
import { FEATURES } from '../build.js';
import type { PeerMessage } from '../peers/peer-messages.js';
import { type Runtime, packageEnvironment } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';

const BUILD_BROADCAST_INTERVAL_MS = 5000;

/** Dependencies of the rollout on the controller process. */
export interface ControllerRolloutDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  build: Build;
  /** Id that distinguishes this process from all other processes of this controller. */
  process: string;
  /** Time of day in milliseconds. */
  wallMs(): number;
  /** Sends a message to all other controllers. */
  broadcast(message: PeerMessage): void;
  /** Called when the process may no longer serve. If it leads, it must resign. */
  onExcluded(): void;
}

/** The leader's term, as used by the coordinator of the rollout. */
export interface CoordinatedTerm {
  /** Whether this controller is guaranteed to be the leader at this moment. */
  isLeader(): boolean;
  /** Whether the term has not ended; true also while the leader is suspended. */
  isActive(): boolean;
  /** Returns a precondition that holds only during the term. */
  leaderPrecondition(): Precondition;
  /** Returns how far the records of features above level `target` have been converted back. */
  conversion(target: number): Conversion;
}

/** The rollout of one controller process. Exists for the lifetime of the process. */
export class ControllerRollout {
  private readonly participant: RolloutParticipant;
  /** Process id that each other controller last reported of itself. */
  private readonly processes = new Map<string, string>();
  /** Text of the build that was last logged for each other controller. */
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

  /** Joins the rollout. Resolves once it is known whether this process takes part, and at which feature level. */
  async join(): Promise<void> {
    await this.participant.join();
    if (this.deps.operator.rollout.mode !== 'off') this.broadcastBuild();
  }

  /**
   * Whether this process is not outside the rollout: false only if the rollout is off and this controller has never
   * taken part in it. True also while the process joins or is excluded.
   */
  isParticipating(): boolean {
    return !this.participant.isOutside();
  }

  /** See `RolloutParticipant.mayServe`. */
  mayServe(): boolean {
    return this.participant.mayServe();
  }

  /** See `RolloutParticipant.reason`. */
  reason(): string {
    return this.participant.reason();
  }

  /** See `RolloutParticipant.writePrecondition`. */
  writePrecondition(feature: string): Precondition | null {
    return this.participant.writePrecondition(feature);
  }

  /** See `RolloutParticipant.mode`. */
  mode(feature: string): FeatureMode {
    return this.participant.mode(feature);
  }

  /** Raises and lowers the cluster's feature level until the term ends. */
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

  /**
   * Must be called when another controller has sent its process id in an attestation that is not late. Builds without
   * feature levels also send them.
   */
  recordProcess(controller: string, process: string): void {
    this.processes.set(controller, process);
  }

  /** Must be called when another controller has reported its build. */
  recordBuild(message: Extract<PeerMessage, { t: 'build' }>): void {
    const { from, version, reads, writes } = message;
    const [lowest, highest] = reads;
    const build = listedBuildText({ version, reads: { from: lowest, to: highest }, writes });
    if (this.loggedBuilds.get(from) === build) return;
    this.loggedBuilds.set(from, build);
    this.deps.runtime.log.info(
      { controller: from, build },
      'another controller reported its build',
    );
  }
}
