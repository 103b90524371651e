/** A controller process that shares the duties with others: creates and runs the components that this requires. */
import type { Environment, StateAccess } from '@millring/state-access';
import { IntentCleaner } from './cleaner.js';
import { DUTIES, type Duty } from './duty.js';
import { DutyBalancer } from './duty-balancer.js';
import { IntentExecutor } from './executor.js';
import { FirstSeenTracker } from './first-seen-tracker.js';
import { DutyHolder } from './holder.js';
import { MemberTracker } from './member-tracker.js';
import { Membership } from './membership.js';
import type { MachineProvider } from './provider.js';
import { RecordWatch } from './record-watch.js';
import type { DutySettings } from './settings.js';
import { DutiesView } from './view.js';

/** Dependencies of `DutyMember`: components of the process and values of the settings. */
export interface DutyMemberDependencies {
  environment: Environment;
  store: StateAccess;
  /** Name of this controller. */
  self: string;
  /** Id that distinguishes this process from all others of this controller. */
  process: string;
  settings: DutySettings;
  provider: MachineProvider;
  /** Maximum number of changes in one transaction. */
  maxTransactionOps: number;
  /** Whether the cluster's feature level allows duties to be held and this controller may serve. */
  mayHold(): boolean;
  /** Name of the leader as last known to this process; null if unknown. */
  leader(): string | null;
}

/** Counters of one process, for the log and for operators. */
export interface DutyCounters {
  /** The duties that this process holds. */
  held: Duty[];
  /** Number of times that this process acquired a duty. */
  acquired: number;
  /** Number of actions that were rejected because another holder had replaced this process. */
  refused: number;
  /** Number of stored intents without an outcome, of all duties. */
  openIntents: number;
  /**
   * Time in milliseconds since this process first saw the oldest open intent, by its monotonic clock; 0 if none is
   * open.
   */
  oldestOpenMs: number;
}

const TICK_MS = 100;

/**
 * While `mayHold` returns true, joins the membership, acquires duties, performs their actions and hands duties over.
 * Leaves in an orderly way once it returns false.
 */
export class DutyMember {
  readonly view: DutiesView;
  private readonly membership: Membership;
  private readonly watch: RecordWatch;
  private readonly holders: ReadonlyMap<Duty, DutyHolder>;
  private readonly members: MemberTracker;
  private readonly balancer: DutyBalancer;
  private readonly executor: IntentExecutor;
  private readonly cleaner: IntentCleaner;
  private readonly openIntents = new FirstSeenTracker();
  private lastReportAt: number;

  constructor(private readonly deps: DutyMemberDependencies) {
    const { environment } = deps;
    this.lastReportAt = environment.clock.now();
    this.view = new DutiesView(environment.log);
    this.membership = this.createMembership();
    this.watch = this.createWatch();
    this.holders = this.createHolders();
    this.members = this.createMemberTracker();
    this.balancer = this.createBalancer();
    this.executor = this.createExecutor();
    this.cleaner = this.createCleaner();
  }

  private createMembership(): Membership {
    const { environment, store, self, process, settings } = this.deps;
    const leaseMs = settings.lease_s * 1000;
    return new Membership({
      environment,
      store,
      self,
      process,
      leaseMs,
      duties: settings.held_here,
    });
  }

  private createWatch(): RecordWatch {
    const { environment, store } = this.deps;
    return new RecordWatch({
      environment,
      store,
      view: this.view,
      isActive: () => this.deps.mayHold(),
      onChange: () => {
        if (this.deps.mayHold()) this.step();
      },
    });
  }

  private createHolders(): ReadonlyMap<Duty, DutyHolder> {
    const { environment, store, self, process } = this.deps;
    const { view, membership } = this;
    const shared = { environment, store, view, membership, self, process };
    return new Map(DUTIES.map((duty) => [duty, new DutyHolder(duty, shared)]));
  }

  private createMemberTracker(): MemberTracker {
    const { environment, self, settings } = this.deps;
    return new MemberTracker({
      environment,
      view: this.view,
      self,
      settleMs: settings.settle_s * 1000,
      leader: () => this.deps.leader(),
      isAcquiring: (duty) => this.holder(duty).state() === 'acquiring',
    });
  }

  private createBalancer(): DutyBalancer {
    const { environment, self, settings } = this.deps;
    const { members, holders } = this;
    return new DutyBalancer({
      environment,
      members,
      holders,
      self,
      duties: settings.held_here,
      settleMs: settings.settle_s * 1000,
      rebalanceMs: settings.rebalance_s * 1000,
    });
  }

  private createExecutor(): IntentExecutor {
    const { environment, store, provider } = this.deps;
    const holderOf = (duty: Duty): DutyHolder => this.holder(duty);
    return new IntentExecutor({ environment, store, view: this.view, provider, holderOf });
  }

  private createCleaner(): IntentCleaner {
    const { environment, store, settings, maxTransactionOps } = this.deps;
    return new IntentCleaner({
      environment,
      store,
      view: this.view,
      holder: this.holder('clean-up'),
      retentionMs: settings.retention_s * 1000,
      maxTransactionOps,
    });
  }

  /** The `DutyHolder` of a duty. It exists as long as the process, whether or not the duty is held. */
  holder(duty: Duty): DutyHolder {
    const holder = this.holders.get(duty);
    if (!holder) throw new Error(`duty ${duty} has no DutyHolder`);
    return holder;
  }

  /** Starts taking part in the duties, until the process ends. */
  run(): void {
    this.tick();
  }

  /** Counters since the process started. */
  counters(): DutyCounters {
    const now = this.deps.environment.clock.now();
    const holders = [...this.holders.values()];
    const sum = (counterOf: (holder: DutyHolder) => number): number =>
      holders.reduce((total, holder) => total + counterOf(holder), 0);
    return {
      held: holders.filter((holder) => holder.isHeld()).map((holder) => holder.duty),
      acquired: sum((holder) => holder.counters().acquired),
      refused: sum((holder) => holder.counters().refused),
      openIntents: this.openIntents.count(),
      oldestOpenMs: this.openIntents.oldestAgeMs(now),
    };
  }

  private tick(): void {
    if (this.deps.mayHold()) this.step();
    else if (this.membership.isMember()) void this.leave();
    this.deps.environment.clock.after(TICK_MS, () => {
      this.tick();
    });
  }

  /** Runs one cycle of membership, assignment, actions and reporting. */
  private step(): void {
    if (!this.membership.isMember()) void this.membership.run();
    this.watch.ensureRunning();
    if (this.view.knownRevision() < 0) return;
    this.members.update();
    this.trackOpenIntents();
    this.balancer.acquireVacant();
    this.balancer.rebalance();
    this.executor.tick();
    this.cleaner.tick();
    this.report();
  }

  /** Releases all duties, then ends the membership. */
  private async leave(): Promise<void> {
    await Promise.all(
      [...this.holders.values()].map((holder) =>
        holder.release('this process may not hold duties'),
      ),
    );
    await this.membership.leave();
    for (const holder of this.holders.values()) holder.refresh();
  }

  private trackOpenIntents(): void {
    const now = this.deps.environment.clock.now();
    for (const [id, { value }] of this.view.intents())
      if (value.outcome === null) this.openIntents.record(id, now);
    this.openIntents.retain((id) => this.view.isOpen(id));
  }

  private report(): void {
    const { environment, settings } = this.deps;
    const now = environment.clock.now();
    if (now - this.lastReportAt < settings.report_s * 1000) return;
    this.lastReportAt = now;
    environment.log.info(this.counters(), 'duty counters');
  }
}
