/**
 * A controller process as a participant of the rollout: it registers its incarnation, announces its build, takes over
 * and confirms each change of the cluster level, and tells whether it may serve.
 */
import type { Environment, Precondition, StateAccess } from '@millring/state-access';
import { Announcer } from './announcer.js';
import { describeBuild } from './build-text.js';
import { type FeatureMode, modeOf } from './cluster-level.js';
import { type KnownLevel, LevelWatch } from './level-watch.js';
import { type Build, type FeatureRegistry, canRead } from './levels.js';
import { ServingState } from './participant-state.js';
import { pause } from './pause.js';
import { type ClusterLevel, LEVEL_KEY } from './records.js';
import type { RolloutSettings } from './settings.js';

/** What a participant needs of its process and of the settings. */
export interface ParticipantDependencies {
  environment: Environment;
  store: StateAccess;
  /** Name of this controller. */
  self: string;
  /** Tells this process apart from all others of the same controller. */
  process: string;
  build: Build;
  registry: FeatureRegistry;
  settings: Pick<RolloutSettings, 'mode' | 'announcement_lease_s'>;
  /** Called whenever the answer of `mayServe` changes. */
  onServingChanged(mayServe: boolean): void;
}

/** One for each controller process, for as long as it lives. */
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

  /** Anything may be served. */
  mayServe(): boolean {
    return this.serving.mayServe();
  }

  /** Why nothing is served, for `/healthz`. */
  reason(): string {
    return this.serving.reason();
  }

  /** The cluster level as last read; null while it is not known. */
  level(): ClusterLevel | null {
    return this.levelWatch.current()?.level ?? null;
  }

  /** How the feature stands here. An excluded process uses none. Throws for a name that nobody registered. */
  mode(feature: string): FeatureMode {
    const registered = this.deps.registry.get(feature);
    const level = this.level();
    if (this.serving.current() !== 'serving' || !level) return 'off';
    if (this.deps.build.writes < registered.level) return 'off';
    return modeOf(registered, level);
  }

  /**
   * For every write in the form of a feature: the write fails once the level has changed. Null if the feature is not on,
   * and then nothing may be written in its form.
   */
  writePrecondition(feature: string): Precondition | null {
    const known = this.levelWatch.current();
    if (this.mode(feature) !== 'on' || !known) return null;
    return { key: LEVEL_KEY, version: known.version };
  }

  /** Resolves once the process has registered and knows the level, or takes no part. */
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
    // Read after registering: from then on no change that rests on an earlier process of ours can be made.
    while (!(await this.levelWatch.read())) await pause(environment);
    void this.levelWatch.run();
    void this.announcer.run();
  }

  /** The rollout is off and was never on here. */
  isOutside(): boolean {
    return this.serving.current() === 'outside';
  }

  private applyLevel({ level }: KnownLevel): void {
    const { build } = this.deps;
    const { active, state, target } = level;
    if (this.announcer.isReplaced()) return;
    if (!canRead(build, active)) {
      this.serving.exclude(`the cluster's level is ${active}, and this is ${describeBuild(build)}`);
      return;
    }
    const change = target === null ? state : `${state} -> ${target}`;
    this.serving.transitionTo('serving', `cluster level ${active}, ${change}`);
  }
}
