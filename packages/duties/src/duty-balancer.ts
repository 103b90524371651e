/** Decides when this process acquires a vacant duty, and when it hands one over for the sake of an even spread. */
import type { Environment } from '@millring/state-access';
import { DUTIES, type Duty } from './duty.js';
import { acquisitionDelayMs, dutyToHandOver } from './duty-assignment.js';
import type { DutyHolder } from './holder.js';
import type { MemberTracker } from './member-tracker.js';

/** What balancing needs of its process and of the settings. */
export interface DutyBalancerDependencies {
  environment: Environment;
  members: MemberTracker;
  /** The holders of all duties, in their order. */
  holders: ReadonlyMap<Duty, DutyHolder>;
  /** Name of this controller. */
  self: string;
  /** The duties that this process may hold. */
  duties: readonly Duty[];
  settleMs: number;
  /** The least time between two moves of a duty by this process. */
  rebalanceMs: number;
}

const ACQUIRE_RETRY_MS = 500;
/** Controllers that start or are turned on together see each other before the first of them acquires anything. */
const JOIN_DELAY_MS = 1000;

/** To be called several times a second. */
export class DutyBalancer {
  private readonly vacantSince = new Map<Duty, number>();
  /** When this process was last seen to hold the duty. */
  private readonly lastHeldAt = new Map<Duty, number>();
  private lastMovedAt: number;

  constructor(private readonly deps: DutyBalancerDependencies) {
    this.lastMovedAt = deps.environment.clock.now();
  }

  /** Brings all holders up to date, and acquires the vacant duties whose turn it is. */
  acquireVacant(): void {
    for (const holder of this.deps.holders.values()) this.acquireIfDue(holder);
  }

  /** Hands over one duty if that spreads them more evenly, at most once in each interval. */
  rebalance(): void {
    const { environment, holders, members, rebalanceMs, self } = this.deps;
    const now = environment.clock.now();
    if (now - this.lastMovedAt < rebalanceMs) return;
    const held = DUTIES.filter((duty) => holders.get(duty)?.isHeld());
    const duty = dutyToHandOver(self, held, members.memberViews());
    if (duty === null) return;
    this.lastMovedAt = now;
    void holders.get(duty)?.release('handed over for an even spread');
  }

  private acquireIfDue(holder: DutyHolder): void {
    holder.refresh();
    const { duty } = holder;
    const now = this.deps.environment.clock.now();
    if (holder.isHeld()) this.lastHeldAt.set(duty, now);
    if (!holder.isVacant()) {
      this.vacantSince.delete(duty);
      if (holder.state() === 'vacant') void holder.removeOrphanedClaim();
      return;
    }
    if (!this.deps.duties.includes(duty)) return;
    if (!this.deps.members.isSelfKnownFor(JOIN_DELAY_MS, now)) return;
    const since = this.vacantSince.get(duty) ?? now;
    this.vacantSince.set(duty, since);
    if (now - since < this.delayMs(duty, now)) return;
    this.lastMovedAt = now;
    this.vacantSince.set(duty, now + ACQUIRE_RETRY_MS);
    void holder.acquire();
  }

  /** Whoever just had the duty goes last: it was taken away for a reason. */
  private delayMs(duty: Duty, now: number): number {
    const { members, self, settleMs } = this.deps;
    const views = members.memberViews();
    const delayMs = acquisitionDelayMs(duty, self, views, settleMs);
    const wasHeldRecently = now - (this.lastHeldAt.get(duty) ?? -Infinity) < settleMs;
    return wasHeldRecently && views.length > 1 ? delayMs + settleMs : delayMs;
  }
}
