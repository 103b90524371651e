/** Starts and ends a node's terms as leader, driven by the election. */
import { COMPACT_FINISHED_TASKS } from '../build.js';
import type { ControllerDuties } from '../duties/controller-duties.js';
import type { Cancellations } from '../jobs/cancellations.js';
import type { MachineTypeCatalog } from '../machine-type-catalog.js';
import type { ControllerRollout } from '../rollout/controller-rollout.js';
import type { Runtime } from '../runtime.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { PlatformSettings } from '../settings/platform.js';
import type { StateStore } from '../state-store/client.js';
import type { ElectedTerm } from './leader-record.js';
import { LeaderTerm } from './leader-term.js';
import type { LeaderTermDependencies } from './leader-term-dependencies.js';
import type { Leadership, LeadershipEvents } from './leadership.js';

/**
 * No task is started while this node's knowledge of cancellations is older than this. After a suspension it may be
 * out of date although the term continues, so cancellations are read again before tasks are started.
 */
const CANCELLATIONS_MAX_AGE_MS = 4000;

/** The components of the node that a term uses. */
export interface TermSupervisorDependencies {
  runtime: Runtime;
  settings: PlatformSettings;
  operator: OperatorSettings;
  store: StateStore;
  leadership: Leadership;
  machineTypes: MachineTypeCatalog;
  cancellations: Cancellations;
  rollout: ControllerRollout;
  duties: ControllerDuties;
  /** Returns the wall-clock time in milliseconds since the Unix epoch. */
  wallMs(): number;
}

/** Holds the current term, if there is one. */
export class TermSupervisor implements LeadershipEvents {
  private term: LeaderTerm | null = null;

  constructor(private readonly deps: TermSupervisorDependencies) {}

  /** The term in which this node leads, or null; the leadership may be suspended. */
  currentTerm(): LeaderTerm | null {
    return this.term;
  }

  elected(electedTerm: ElectedTerm): void {
    const { leadership, rollout } = this.deps;
    const isCurrent = (): boolean => leadership.electedTerm() === electedTerm;
    const holdsLeadership = (): boolean => leadership.isLeader() && isCurrent();
    const term = new LeaderTerm(this.termDependencies(holdsLeadership), electedTerm);
    this.term = term;
    void term.run();
    rollout.coordinate({
      isLeader: holdsLeadership,
      isActive: isCurrent,
      leaderPrecondition: () => leadership.leaderPrecondition(),
      conversion: (targetLevel) => term.conversion(targetLevel),
    });
  }

  deposed(): void {
    this.term?.end();
    this.term = null;
  }

  resumed(): void {
    this.term?.resumed();
  }

  private termDependencies(holdsLeadership: () => boolean): LeaderTermDependencies {
    const { runtime, settings, operator, store, leadership } = this.deps;
    const { machineTypes, cancellations, rollout, duties } = this.deps;
    return {
      runtime,
      settings,
      operator,
      store,
      types: machineTypes.types() ?? [],
      wallMs: () => this.deps.wallMs(),
      holdsLeadership,
      leaderPrecondition: () => leadership.leaderPrecondition(),
      isCancelled: (id) => cancellations.has(id),
      cancellationsAreFresh: () => cancellations.ageMs() < CANCELLATIONS_MAX_AGE_MS,
      segmentPrecondition: () => rollout.writePrecondition(COMPACT_FINISHED_TASKS),
      duties,
      resign: (reason) => void leadership.resign(reason),
    };
  }
}
