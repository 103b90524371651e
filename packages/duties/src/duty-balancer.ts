/** Decides when this process acquires a vacant duty, and when it hands one over to balance the load. */
import type { Environment } from '@millring/state-access';
import { DUTIES, type Duty } from './duty.js';
import { acquisitionDelayMs, dutyToHandOver } from './duty-assignment.js';
import type { DutyHolder } from './holder.js';
import type { MemberTracker } from './member-tracker.js';

/** Dependencies of `DutyBalancer`: components of the process and values of the settings. */
export interface DutyBalancerDependencies {
  environment: Environment;
  members: MemberTracker;
  /** This process's `DutyHolder` of every duty, in the order of `DUTIES`. */
  holders: ReadonlyMap<Duty, DutyHolder>;
  /** Name of this controller. */
  self: string;
  /** The duties that this process may hold. */
  duties: readonly Duty[];
  /** Time in milliseconds after which a member counts as settled. */
  settleMs: number;
  /** Minimum time in milliseconds between two moves of duties by this process. */
  rebalanceMs: number;
}

const ACQUIRE_RETRY_MS = 500;
/**
 * Time that this process must have been a member before it acquires a duty, so that controllers that are started or
 * enabled together see each other first.
 */
const JOIN_DELAY_MS = 1000;

/**
 * Acquires vacant duties for this process and hands duties over to other members. Its methods must be called several
 * times a second.
 */
export class DutyBalancer {
  /**
   * Time by the monotonic clock from which the delay before this process acquires a vacant duty counts. After an
   * attempt, it is `ACQUIRE_RETRY_MS` in the future.
   */
  private readonly delayStartsAt = new Map<Duty, number>();
  /** When this process was last observed to hold the duty, by the monotonic clock. */
  private readonly lastHeldAt = new Map<Duty, number>();
  private lastMovedAt: number;

  constructor(private readonly deps: DutyBalancerDependencies) {
    this.lastMovedAt = deps.environment.clock.now();
  }

  /** Refreshes the states of all duties and acquires each vacant duty for which this process's delay has passed. */
  acquireVacant(): void {
    for (const holder of this.deps.holders.values()) this.acquireIfDue(holder);
  }

  /** Hands over one duty if this improves the balance, at most once per `rebalanceMs`. */
  rebalance(): void {
    const { environment, holders, members, rebalanceMs, self } = this.deps;
    const now = environment.clock.now();
    if (now - this.lastMovedAt < rebalanceMs) return;
    const held = DUTIES.filter((duty) => holders.get(duty)?.isHeld());
    const duty = dutyToHandOver(self, held, members.memberStatuses());
    if (duty === null) return;
    this.lastMovedAt = now;
    void holders.get(duty)?.release('handed over to balance the duties');
  }

  private acquireIfDue(holder: DutyHolder): void {
    holder.refresh();
    const { duty } = holder;
    const now = this.deps.environment.clock.now();
    if (holder.isHeld()) this.lastHeldAt.set(duty, now);
    if (!holder.isVacant()) {
      this.delayStartsAt.delete(duty);
      if (holder.state() === 'vacant') void holder.removeOrphanedClaim();
      return;
    }
    if (!this.deps.duties.includes(duty)) return;
    if (!this.deps.members.isSelfKnownFor(JOIN_DELAY_MS, now)) return;
    const delayStart = this.delayStartsAt.get(duty) ?? now;
    this.delayStartsAt.set(duty, delayStart);
    if (now - delayStart < this.delayMs(duty, now)) return;
    this.lastMovedAt = now;
    this.delayStartsAt.set(duty, now + ACQUIRE_RETRY_MS);
    void holder.acquire();
  }

  /**
   * Returns the delay in milliseconds before this process acquires the duty. If it held the duty within the last
   * `settleMs`, it waits for another `settleMs`, so that another member can acquire the duty first. This applies
   * however the duty was given up or lost, but not if there is no other member.
   */
  private delayMs(duty: Duty, now: number): number {
    const { members, self, settleMs } = this.deps;
    const statuses = members.memberStatuses();
    const delayMs = acquisitionDelayMs(duty, self, statuses, settleMs);
    const wasHeldRecently = now - (this.lastHeldAt.get(duty) ?? -Infinity) < settleMs;
    return wasHeldRecently && statuses.length > 1 ? delayMs + settleMs : delayMs;
  }
}
