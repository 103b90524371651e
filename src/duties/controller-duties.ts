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

/** Of the cloud's calls, shared by the holders at all controllers: the leader's lists need the rest. */
const HOLDERS_SHARE = 0.9;

export interface ControllerDutiesDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  rollout: ControllerRollout;
  /** Tells this process apart from all others of this controller. */
  process: string;
  wallMs(): number;
  leader(): string | null;
}

/** What decides, for the time of one claim. */
export interface DecidingTerm {
  /** The claim still stands, though it may be paused. */
  isActive(): boolean;
  leaderPrecondition(): Precondition;
  /** Unique for ever: no name is used twice, by any node. */
  nextRequestName(): string;
}

export class ControllerDuties {
  private readonly member: DutyMember;

  constructor(private readonly deps: ControllerDutiesDependencies) {
    const { runtime, settings, operator, store, rollout, process } = deps;
    const callsPerS = (settings.cloudRps * HOLDERS_SHARE) / settings.nodes;
    this.member = new DutyMember({
      environment: packageEnvironment(deps),
      store,
      self: settings.node,
      process,
      settings: holdingSettings(operator.duties),
      provider: new CloudProvider(new Cloud(runtime, settings.cloud, callsPerS)),
      txnOps: settings.txnOps,
      mayHold: () => this.mayIntentsExist() && rollout.mayServe(),
      leader: () => deps.leader(),
    });
  }

  /** Once it is known whether the level may ever change for this process. */
  run(): void {
    if (this.deps.rollout.isParticipating()) this.member.run();
  }

  /** Intents may stand in the records: whoever leads must read them before it decides anything. */
  mayIntentsExist(): boolean {
    return this.deps.rollout.mode(FENCED_DUTIES) !== 'off';
  }

  /** The leader's decisions become intents. */
  usesIntents(): boolean {
    return (
      this.deps.operator.duties.mode === 'on' &&
      this.deps.rollout.writePrecondition(FENCED_DUTIES) !== null
    );
  }

  intentLog(term: DecidingTerm): IntentLog {
    return new IntentLog({
      environment: packageEnvironment(this.deps),
      store: this.deps.store,
      view: this.member.view,
      isActive: () => term.isActive(),
      newId: () => term.nextRequestName(),
      preconditions: () => {
        const levelGuard = this.deps.rollout.writePrecondition(FENCED_DUTIES);
        return levelGuard ? [term.leaderPrecondition(), levelGuard] : null;
      },
    });
  }
}

/** A controller whose duties are off follows the records, since it may lead, but holds nothing. */
function holdingSettings(settings: DutySettings): DutySettings {
  return settings.mode === 'on' ? settings : { ...settings, held_here: [] };
}
