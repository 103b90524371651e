/**
 * Changes the cluster's feature level while this controller leads: reads the stored records, decides on the next step,
 * and makes it as a conditional write.
 */
import { advance } from './cluster-level.js';
import { type Conversion, type Decision, decide } from './decide.js';
import type { FeatureRegistry } from './levels.js';
import { type ClusterLevel, LEVEL_KEY, ROLLOUT_PREFIX } from './records.js';
import type { RolloutSettings } from './settings.js';
import {
  type Environment,
  type Precondition,
  type StateAccess,
  sleep,
} from '@millring/state-access';
import {
  type ClusterView,
  announcementPreconditions,
  announcementObstacle,
  readView,
} from './view.js';

/** Dependencies of the coordinator on the leader and on the settings. */
export interface CoordinatorDependencies {
  environment: Environment;
  store: StateAccess;
  /** Name of this controller. */
  self: string;
  /** Names of all configured controllers, including this one. */
  controllers: readonly string[];
  registry: FeatureRegistry;
  settings: RolloutSettings;
  /** Returns the level that this controller has applied; null while it is not known. */
  knownLevel(): ClusterLevel | null;
  /** Whether this controller is guaranteed to be the leader at this moment. */
  isLeader(): boolean;
  /** Whether the term has not ended; true also while the leader is suspended. */
  isActive(): boolean;
  /** Returns a precondition that holds only during the term, so that a write that arrives later changes nothing. */
  leaderPrecondition(): Precondition;
  /** Returns the process id that each other controller last reported of itself. */
  processes(): ReadonlyMap<string, string>;
  /**
   * Returns how far the records of features above level `target` have been converted back. Called while the level is
   * being lowered.
   */
  conversion(target: number): Conversion;
}

/** Time between two steps while the level is stable. */
const IDLE_INTERVAL_MS = 5000;
/** Time between two steps during a change of the level. */
const CHANGE_INTERVAL_MS = 500;

/** The coordinator of one leader during one term. */
export class RolloutCoordinator {
  /** Time of the monotonic clock since which the current processes have all been able to raise the level. */
  private capablePeriod: { processes: string; since: number } | null = null;
  /** Level that this leader wrote last. The watch may report it a moment later. */
  private lastWrittenLevel: ClusterLevel | null = null;
  private lastLoggedWait = '';
  private readonly loggedSubjects = new Set<string>();

  constructor(private readonly deps: CoordinatorDependencies) {}

  /** Makes a step in each interval, if one is needed, until the term ends. */
  async run(): Promise<void> {
    while (this.deps.isActive()) {
      await sleep(this.deps.environment, this.isStable() ? IDLE_INTERVAL_MS : CHANGE_INTERVAL_MS);
      if (this.deps.isActive() && this.deps.isLeader() && this.hasWork()) await this.step();
    }
  }

  private isStable(): boolean {
    return this.latestLevel()?.state === 'stable';
  }

  private latestLevel(): ClusterLevel | null {
    const known = this.deps.knownLevel();
    return known && this.lastWrittenLevel && this.lastWrittenLevel.change > known.change
      ? this.lastWrittenLevel
      : known;
  }

  /** Whether a step is needed. A stable level is only examined in automatic mode, in which it may be raised. */
  private hasWork(): boolean {
    const level = this.latestLevel();
    if (!level) return false;
    return level.state !== 'stable' || this.deps.settings.mode === 'automatic';
  }

  /** Reads the stored records once and makes at most one change of the level. */
  async step(): Promise<void> {
    const { store, controllers } = this.deps;
    const read = await store.scan(ROLLOUT_PREFIX);
    if (!read || !this.deps.isLeader()) return;
    const result = readView(read.pairs, controllers, this.deps.processes());
    if (result.kind === 'invalid') {
      this.logOnce(result.reason, { reason: result.reason }, 'unreadable cluster level');
      return;
    }
    const { view } = result;
    for (const { key, version, reason } of view.ignored)
      this.logOnce(`${key}@${version}`, { key, reason }, 'announcement ignored');
    const decision = this.decide(view);
    if (decision.kind === 'wait') this.logWait(view.level, decision.reason);
    else await this.apply(view, decision);
  }

  private decide(view: ClusterView): Decision {
    const { environment, registry, settings, self } = this.deps;
    const { level } = view;
    return decide({
      view,
      registry,
      settings,
      by: self,
      wallMs: environment.wallMs(),
      capableForMs: this.capableForMs(view),
      conversion:
        level.state === 'lowering' && level.target !== null
          ? this.deps.conversion(level.target)
          : { kind: 'done' },
    });
  }

  private capableForMs(view: ClusterView): number {
    if (
      view.level.state !== 'stable' ||
      announcementObstacle(view, view.level.active + 1) !== null
    ) {
      this.capablePeriod = null;
      return 0;
    }
    const now = this.deps.environment.clock.now();
    const processes = [...view.controllers]
      .map(([name, state]) =>
        state.kind === 'announced' ? `${name}=${state.announcement.process}` : name,
      )
      .join(' ');
    if (this.capablePeriod?.processes !== processes) this.capablePeriod = { processes, since: now };
    return now - this.capablePeriod.since;
  }

  private async apply(
    view: ClusterView,
    decision: Extract<Decision, { kind: 'advance' }>,
  ): Promise<void> {
    const { environment, store } = this.deps;
    const next = advance(view.level, decision.event);
    if (next.kind === 'refused') {
      environment.log.error(
        { event: decision.event.type, reason: next.reason },
        'cluster level event refused',
      );
      return;
    }
    const preconditions = [
      this.deps.leaderPrecondition(),
      { key: LEVEL_KEY, version: view.levelVersion },
    ];
    if (decision.requiresUnchangedAnnouncements)
      preconditions.push(...announcementPreconditions(view));
    const result = await store.compareAndSwap(preconditions, [
      { put: LEVEL_KEY, value: next.level },
    ]);
    if (result.kind !== 'committed') return;
    this.lastWrittenLevel = next.level;
    logChange(environment, view.level, next.level);
  }

  private logWait(level: ClusterLevel, reason: string): void {
    const line = `${level.state} ${reason}`;
    if (line === this.lastLoggedWait) return;
    this.lastLoggedWait = line;
    this.deps.environment.log.info(
      { state: level.state, active: level.active, reason },
      'rollout step postponed',
    );
  }

  private logOnce(subject: string, fields: object, text: string): void {
    if (this.loggedSubjects.has(subject)) return;
    this.loggedSubjects.add(subject);
    this.deps.environment.log.info(fields, text);
  }
}

function logChange(
  environment: Pick<Environment, 'log'>,
  before: ClusterLevel,
  after: ClusterLevel,
): void {
  const { state, active, target, reason, changedBy } = after;
  environment.log.info(
    { from: before.state, to: state, active, target, reason, by: changedBy },
    'cluster level changed',
  );
}
