/** The duties as one controller process takes part in them: as a member always, and as the decider while it leads. */
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

/** Of the cloud's calls, for the holders at all controllers together: the leader's lists need the rest. */
const HOLDERS_CALL_SHARE = 0.9;

/** What the duties need of the controller process. */
export interface ControllerDutiesDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  rollout: ControllerRollout;
  /** Tells this process apart from all others of this controller. */
  process: string;
  /** Time of day in milliseconds. */
  wallMs(): number;
  /** The leader, as far as is known. */
  leader(): string | null;
}

/** The term of a leader, which decides what the holders of duties do. */
export interface DecidingTerm {
  /** The term has not ended, though the leader may be suspended. */
  isActive(): boolean;
  /** Holds only while the term lasts. */
  leaderPrecondition(): Precondition;
  /** A new name each time, unique for ever across all controllers. */
  nextRequestName(): string;
}

/** One for each controller process, for as long as it lives. */
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

  /** To be called once the rollout has been joined. */
  run(): void {
    if (this.deps.rollout.isParticipating()) this.member.run();
  }

  /** Intents may be stored: whoever leads must read them before it decides anything. */
  mayIntentsExist(): boolean {
    return this.deps.rollout.mode(FENCED_DUTIES) !== 'off';
  }

  /** The leader's decisions are stored as intents. */
  usesIntents(): boolean {
    return (
      this.deps.operator.duties.mode === 'on' &&
      this.deps.rollout.writePrecondition(FENCED_DUTIES) !== null
    );
  }

  /** The log of a leader, for its term. */
  intentLog(term: DecidingTerm): IntentLog {
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

/** A controller whose duties are off watches the records, since it may lead, but holds nothing. */
function holdingSettings(settings: DutySettings): DutySettings {
  return settings.mode === 'on' ? settings : { ...settings, held_here: [] };
}
