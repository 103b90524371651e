/**
 * A controller process as a participant of the rollout. It registers its incarnation, announces its build, applies and
 * acknowledges each change of the cluster's feature level, and determines whether it may serve.
 */
import type { Environment, Precondition, StateAccess } from '@millring/state-access';
import { Announcer } from './announcer.js';
import { buildPhrase } from './build-text.js';
import { type FeatureMode, modeOf } from './cluster-level.js';
import { type KnownLevel, LevelWatch } from './level-watch.js';
import { type Build, type FeatureRegistry, canRead } from './levels.js';
import { ServingState } from './participant-state.js';
import { pause } from './pause.js';
import { type ClusterLevel, LEVEL_KEY } from './records.js';
import type { RolloutSettings } from './settings.js';

/** Dependencies of a participant on its process and on the settings. */
export interface ParticipantDependencies {
  environment: Environment;
  store: StateAccess;
  /** Name of this controller. */
  self: string;
  /** Id that distinguishes this process from all other processes of this controller. */
  process: string;
  build: Build;
  registry: FeatureRegistry;
  settings: Pick<RolloutSettings, 'mode' | 'announcement_lease_s'>;
  /** Called whenever the result of `mayServe` changes. */
  onServingChanged(mayServe: boolean): void;
}

/** The participant of one controller process. Exists for the lifetime of the process. */
export class RolloutParticipant {
  private readonly serving: ServingState;
  private readonly levelWatch: LevelWatch;
  private readonly announcer: Announcer;

  constructor(private readonly deps: ParticipantDependencies) {
    const { environment, store, self, process, build, settings } = deps;
    this.serving = new ServingState(environment.log, (mayServe) => {
      deps.onServingChanged(mayServe);
    });
    this.announcer = new Announcer({
      environment,
      store,
      self,
      process,
      build,
      leaseMs: settings.announcement_lease_s * 1000,
      level: () => this.level(),
      onReplaced: () => {
        this.serving.exclude(`another process has registered as ${self}`);
      },
    });
    this.levelWatch = new LevelWatch({
      environment,
      store,
      isActive: () => !this.announcer.isReplaced(),
      onLevel: (known) => {
        this.applyLevel(known);
      },
      onUnreadable: (reason) => {
        this.serving.exclude(reason);
      },
      onChange: () => {
        this.announcer.announceIfNeeded();
      },
    });
  }

  /** Whether this process may serve. */
  mayServe(): boolean {
    return this.serving.mayServe();
  }

  /** Returns the reason for the process's state. `/healthz` reports it while the process does not serve. */
  reason(): string {
    return this.serving.reason();
  }

  /** Returns the cluster's feature level at the last read; null while it is not known. */
  level(): ClusterLevel | null {
    return this.levelWatch.current()?.level ?? null;
  }

  /**
   * Returns the mode of the feature in this process. It is `off` unless the process is serving. Throws if the name is
   * not registered.
   */
  mode(feature: string): FeatureMode {
    const registered = this.deps.registry.get(feature);
    const level = this.level();
    if (this.serving.current() !== 'serving' || !level) return 'off';
    if (this.deps.build.writes < registered.level) return 'off';
    return modeOf(registered, level);
  }

  /**
   * Returns the precondition for every write in the format of the feature, which makes the write fail once the level
   * has changed. Returns null if the feature is not on, and nothing may then be written in its format.
   */
  writePrecondition(feature: string): Precondition | null {
    const known = this.levelWatch.current();
    if (this.mode(feature) !== 'on' || !known) return null;
    return { key: LEVEL_KEY, version: known.version };
  }

  /** Resolves once the process has registered and knows the level, or once it is known not to take part. */
  async join(): Promise<void> {
    const { environment, settings } = this.deps;
    const isOff = settings.mode === 'off';
    let registration = await this.announcer.register(isOff);
    while (registration === 'failed') {
      await pause(environment);
      registration = await this.announcer.register(isOff);
    }
    if (registration === 'unregistered') {
      this.serving.transitionTo('outside', 'the rollout is off');
      return;
    }
    // The level is read after the registration: from then on, no change of the level can be made that depends on the
    // announcement of an earlier process of this controller.
    while (!(await this.levelWatch.read())) await pause(environment);
    void this.levelWatch.run();
    void this.announcer.run();
  }

  /** Whether the rollout is off and this controller has never taken part in it. */
  isOutside(): boolean {
    return this.serving.current() === 'outside';
  }

  private applyLevel({ level }: KnownLevel): void {
    const { build } = this.deps;
    const { active, state, target } = level;
    if (this.announcer.isReplaced()) return;
    if (!canRead(build, active)) {
      this.serving.exclude(`the cluster's level is ${active}, and this is ${buildPhrase(build)}`);
      return;
    }
    const change = target === null ? state : `${state} -> ${target}`;
    this.serving.transitionTo('serving', `cluster level ${active}, ${change}`);
  }
}
