/**
 * Connects a controller process to the duties. The process is a member while the feature level allows intents and the
 * process may serve, unless it is outside the rollout. While it leads, it also decides what the holders of duties do.
 */
import type { Precondition } from '@millring/state-access';
import { DutyMember, type DutySettings, IntentLog } from '@millring/duties';
import { FENCED_DUTIES } from '../build.js';
import { Cloud } from '../autoscaler/cloud.js';
import type { ControllerRollout } from '../rollout/controller-rollout.js';
import { type Runtime, packageEnvironment } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import { CloudProvider } from './cloud-provider.js';

/** Share of the cloud's calls for the duties on all controllers together; the leader's list calls need the rest. */
const HOLDERS_CALL_SHARE = 0.9;

/** Dependencies of the duties on the controller process. */
export interface ControllerDutiesDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  rollout: ControllerRollout;
  /** Id that distinguishes this process from all other processes of this controller. */
  process: string;
  /** Time of day in milliseconds. */
  wallMs(): number;
  /** Returns the leader that this controller last knew of, or null if it knows of none. */
  leader(): string | null;
}

/** The leader's term, as used by its intent log. */
export interface IntentTerm {
  /** Whether the term has not ended; true also while the leader is suspended. */
  isActive(): boolean;
  /** Returns a precondition that holds only during the term. */
  leaderPrecondition(): Precondition;
  /** Returns a new request id on each call, which is never used again by any controller. */
  nextRequestName(): string;
}

/** The duties of one controller process. Exists for the lifetime of the process. */
export class ControllerDuties {
  private readonly member: DutyMember;

  constructor(private readonly deps: ControllerDutiesDependencies) {
    const { runtime, settings, operator, store, rollout, process } = deps;
    const callsPerS = (settings.cloudCallsPerS * HOLDERS_CALL_SHARE) / settings.controllerCount;
    this.member = new DutyMember({
      environment: packageEnvironment(deps),
      store,
      self: settings.node,
      process,
      settings: holdingSettings(operator.duties),
      provider: new CloudProvider(new Cloud(runtime, settings.cloudAddress, callsPerS)),
      maxTransactionOps: settings.maxTransactionOps,
      mayHold: () => this.mayIntentsExist() && rollout.mayServe(),
      leader: () => deps.leader(),
    });
  }

  /**
   * Starts the member, unless the rollout is off and this controller has never taken part in it. Must be called once
   * the rollout has been joined.
   */
  run(): void {
    if (this.deps.rollout.isParticipating()) this.member.run();
  }

  /**
   * Whether stored intents can exist, since this or another controller may write them at the current feature level. If
   * so, a leader must read them before it decides anything.
   */
  mayIntentsExist(): boolean {
    return this.deps.rollout.mode(FENCED_DUTIES) !== 'off';
  }

  /** Whether the leader's decisions are stored as intents. */
  usesIntents(): boolean {
    return (
      this.deps.operator.duties.mode === 'on' &&
      this.deps.rollout.writePrecondition(FENCED_DUTIES) !== null
    );
  }

  /** Creates the intent log of a leader for its term. */
  intentLog(term: IntentTerm): IntentLog {
    return new IntentLog({
      environment: packageEnvironment(this.deps),
      store: this.deps.store,
      view: this.member.view,
      isActive: () => term.isActive(),
      newId: () => term.nextRequestName(),
      preconditions: () => {
        const levelPrecondition = this.deps.rollout.writePrecondition(FENCED_DUTIES);
        return levelPrecondition ? [term.leaderPrecondition(), levelPrecondition] : null;
      },
    });
  }
}

/**
 * Returns the settings of the member. With `mode` off, `held_here` is empty: the controller holds no duty, but still
 * watches the records, since it may become leader.
 */
function holdingSettings(settings: DutySettings): DutySettings {
  return settings.mode === 'on' ? settings : { ...settings, held_here: [] };
}
