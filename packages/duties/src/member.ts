/** A controller process as a member of those that share the duties: follows the records, acquires, acts, hands over. */
import {
  type Environment,
  type StateAccess,
  type WatchResult,
  sleep,
} from '@millring/state-access';
import { IntentCleaner } from './cleaner.js';
import { DUTIES, type Duty } from './duty.js';
import { IntentExecutor } from './executor.js';
import { DutyHolder } from './holder.js';
import { Membership } from './membership.js';
import type { MachineProvider } from './provider.js';
import { PREFIX } from './records.js';
import type { DutySettings } from './settings.js';
import { type MemberView, acquisitionDelayMs, dutyToHandOver } from './spread.js';
import { DutiesView } from './view.js';

export interface DutyMemberDependencies {
  environment: Environment;
  store: StateAccess;
  self: string;
  /** Tells this process apart from all others of this controller. */
  process: string;
  settings: DutySettings;
  provider: MachineProvider;
  /** Changes in one transaction, at most. */
  txnOps: number;
  /** The cluster's level lets duties be held, and this controller may serve. */
  mayHold(): boolean;
  /** The leader, as far as is known. */
  leader(): string | null;
}

/** Counters for the log and for operators. */
export interface DutyCounters {
  held: Duty[];
  acquired: number;
  refused: number;
  openIntents: number;
  /** By our steady clock since it was first seen; 0 if none is open. */
  oldestOpenMs: number;
}

const TICK_MS = 100;
/** An answer that is lost costs this and the client's timeout: so long an operator's hold may go unnoticed. */
const WATCH_MS = 3000;
const RETRY_MS = 300;
const ACQUIRE_RETRY_MS = 500;
/** Those that start or are turned on together see each other before the first of them acquires anything. */
const JOIN_MS = 1000;

interface Seen {
  process: string;
  duties: readonly Duty[];
  since: number;
}

export class DutyMember {
  readonly view: DutiesView;
  private readonly membership: Membership;
  private readonly holders: Map<Duty, DutyHolder>;
  private readonly executor: IntentExecutor;
  private readonly cleaner: IntentCleaner;
  private readonly membersSeen = new Map<string, Seen>();
  private readonly vacantSince = new Map<Duty, number>();
  /** When this process was last seen to hold the duty. */
  private readonly heldAt = new Map<Duty, number>();
  private readonly openSince = new Map<string, number>();
  private readonly settleMs: number;
  private movedAt: number;
  private reportedAt: number;
  private follows = false;

  constructor(private readonly deps: DutyMemberDependencies) {
    const { environment, store, self, process, settings, provider, txnOps } = deps;
    this.movedAt = this.reportedAt = environment.clock.now();
    this.settleMs = settings.settle_s * 1000;
    this.view = new DutiesView(environment.log);
    this.membership = new Membership({
      environment,
      store,
      self,
      process,
      leaseMs: settings.lease_s * 1000,
      duties: settings.held_here,
    });
    const shared = {
      environment,
      store,
      view: this.view,
      membership: this.membership,
      self,
      process,
    };
    this.holders = new Map(DUTIES.map((duty) => [duty, new DutyHolder(duty, shared)]));
    const holderOf = (duty: Duty): DutyHolder => this.holder(duty);
    this.executor = new IntentExecutor({ environment, store, view: this.view, provider, holderOf });
    this.cleaner = new IntentCleaner({
      environment,
      store,
      view: this.view,
      holder: holderOf('clean-up'),
      retentionMs: settings.retention_s * 1000,
      txnOps,
    });
  }

  holder(duty: Duty): DutyHolder {
    const holder = this.holders.get(duty);
    if (!holder) throw new Error(`${duty}: no holder`);
    return holder;
  }

  run(): void {
    this.tick();
  }

  counters(): DutyCounters {
    const now = this.deps.environment.clock.now();
    const holders = [...this.holders.values()];
    const sum = (of: (holder: DutyHolder) => number): number =>
      holders.reduce((n, h) => n + of(h), 0);
    const oldest = Math.min(now, ...this.openSince.values());
    return {
      held: holders.filter((holder) => holder.isHeld()).map((holder) => holder.duty),
      acquired: sum((holder) => holder.counters().acquired),
      refused: sum((holder) => holder.counters().refused),
      openIntents: this.openSince.size,
      oldestOpenMs: now - oldest,
    };
  }

  private tick(): void {
    if (this.deps.mayHold()) this.takePart();
    else if (this.membership.isIn()) void this.leave();
    this.deps.environment.clock.after(TICK_MS, () => {
      this.tick();
    });
  }

  private takePart(): void {
    if (!this.membership.isIn()) void this.membership.run();
    if (!this.follows) void this.follow();
    if (this.view.knownRevision() < 0) return;
    this.noteMembers();
    this.noteIntents();
    for (const holder of this.holders.values()) this.attend(holder);
    this.spreadEvenly();
    this.executor.tick();
    this.cleaner.tick();
    this.report();
  }

  /** Hands everything over in order. */
  private async leave(): Promise<void> {
    await Promise.all([...this.holders.values()].map((holder) => holder.release('duties are off')));
    await this.membership.leave();
    for (const holder of this.holders.values()) holder.refresh();
  }

  /** Reads everything once, then follows the changes. */
  private async follow(): Promise<void> {
    const { environment, store } = this.deps;
    this.follows = true;
    while (this.deps.mayHold()) {
      if (this.view.knownRevision() < 0) await this.reload();
      if (this.view.knownRevision() < 0) {
        await sleep(environment, RETRY_MS * (1 + environment.random()));
        continue;
      }
      const answer = await store.watch(PREFIX, this.view.knownRevision(), WATCH_MS);
      if (answer.kind === 'events') this.apply(answer);
      else if (answer.kind === 'compacted') await this.reload();
      else await sleep(environment, RETRY_MS * (1 + environment.random()));
    }
    this.follows = false;
  }

  /** What is new is acted on at once. */
  private apply(answer: Extract<WatchResult, { kind: 'events' }>): void {
    this.view.apply(answer.events, answer.revision);
    if (this.deps.mayHold()) this.takePart();
  }

  private async reload(): Promise<void> {
    const read = await this.deps.store.scan(PREFIX);
    if (read) this.view.load(read.pairs, read.revision);
  }

  private noteMembers(): void {
    const now = this.deps.environment.clock.now();
    const present = new Set<string>();
    for (const [name, { value }] of this.view.members()) {
      present.add(name);
      if (this.membersSeen.get(name)?.process !== value.process)
        this.membersSeen.set(name, { ...value, since: now });
    }
    for (const name of this.membersSeen.keys())
      if (!present.has(name)) this.membersSeen.delete(name);
  }

  private noteIntents(): void {
    const now = this.deps.environment.clock.now();
    for (const [id, { value }] of this.view.intents())
      if (value.outcome === null && !this.openSince.has(id)) this.openSince.set(id, now);
    for (const id of this.openSince.keys()) if (!this.view.isOpen(id)) this.openSince.delete(id);
  }

  private memberViews(): MemberView[] {
    const now = this.deps.environment.clock.now();
    const leader = this.deps.leader();
    return [...this.membersSeen].map(([name, { since, duties }]) => ({
      name,
      duties,
      settled: now - since >= this.settleMs,
      isLeader: name === leader,
      holds: this.countHeldBy(name),
    }));
  }

  /** What this process is about to hold counts, too. */
  private countHeldBy(name: string): number {
    const isOwn = name === this.deps.self;
    const holds = (duty: Duty): boolean =>
      this.nameOfHolder(duty) === name || (isOwn && this.holder(duty).state() === 'acquiring');
    return DUTIES.filter(holds).length;
  }

  private nameOfHolder(duty: Duty): string | null {
    const entry = this.view.holder(duty);
    return entry.kind === 'present' ? entry.value.controller : null;
  }

  private attend(holder: DutyHolder): void {
    holder.refresh();
    const { duty } = holder;
    const now = this.deps.environment.clock.now();
    if (holder.isHeld()) this.heldAt.set(duty, now);
    if (!holder.isVacant()) {
      this.vacantSince.delete(duty);
      if (holder.state() === 'vacant') void holder.releaseStray();
      return;
    }
    if (!this.deps.settings.held_here.includes(duty) || !this.hasJoined(now)) return;
    const since = this.vacantSince.get(duty) ?? now;
    this.vacantSince.set(duty, since);
    if (now - since < this.acquisitionDelayMs(duty, now)) return;
    this.movedAt = now;
    this.vacantSince.set(duty, now + ACQUIRE_RETRY_MS);
    void holder.acquire();
  }

  private hasJoined(now: number): boolean {
    const self = this.membersSeen.get(this.deps.self);
    return self !== undefined && now - self.since >= JOIN_MS;
  }

  /** Whoever just had the duty goes last: it was taken away for a reason. */
  private acquisitionDelayMs(duty: Duty, now: number): number {
    const members = this.memberViews();
    const { settleMs } = this;
    const delayMs = acquisitionDelayMs(duty, this.deps.self, members, settleMs);
    const hadItLately = now - (this.heldAt.get(duty) ?? -Infinity) < settleMs;
    return hadItLately && members.length > 1 ? delayMs + settleMs : delayMs;
  }

  private spreadEvenly(): void {
    const now = this.deps.environment.clock.now();
    if (now - this.movedAt < this.deps.settings.rebalance_s * 1000) return;
    const held = DUTIES.filter((duty) => this.holder(duty).isHeld());
    const duty = dutyToHandOver(this.deps.self, held, this.memberViews());
    if (duty === null) return;
    this.movedAt = now;
    void this.holder(duty).release('handed over for an even spread');
  }

  private report(): void {
    const { environment, settings } = this.deps;
    const now = environment.clock.now();
    if (now - this.reportedAt < settings.report_s * 1000) return;
    this.reportedAt = now;
    environment.log.info(this.counters(), 'duties');
  }
}
