/**
 * When a new leader may act on jobs of former leaders: once every machine that was stored before its term has shown
 * the new token, was deleted, or is past its lease. Until then tasks may run on machines that were not heard yet.
 */
import type { Log } from '../runtime.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

const LOG_INTERVAL_MS = 1000;
const MAX_LOGGED_MACHINES = 5;

/** Tracks the machines that a new leader has yet to reconcile. */
export class FailoverRecovery {
  private complete = false;
  private loggedAt = -Infinity;
  private beganAt = 0;
  /** Stored before the term. Those at the front that need no more waiting for are taken out. */
  private readonly awaitingReconciliation = new Set<Machine>();

  constructor(
    private readonly table: MachineTable,
    private readonly leaseMs: number,
    private readonly log: Log,
    private readonly jobCount: () => number,
  ) {}

  /** The machine was stored before the term. */
  expectReconciliation(machine: Machine): void {
    machine.awaitingReconciliation = true;
    this.awaitingReconciliation.add(machine);
  }

  begin(now: number): void {
    this.beganAt = now;
  }

  /**
   * Leases go before new work. While the controller is congested, each start would delay heartbeats whose workers lose
   * everything if they are not answered within their lease. Half a lease is enough to hear them all.
   */
  mayPlace(isCongested: boolean, now: number): boolean {
    return this.complete || !isCongested || now - this.beganAt > this.leaseMs / 2;
  }

  /** Is every machine reconciled that may hold tasks of former leaders? */
  isComplete(): boolean {
    return this.complete;
  }

  /**
   * True if this call completes the recovery. Every heartbeat calls it, so it stops at the first machine that is still
   * awaited: all calls together pass each machine once.
   */
  check(now: number): boolean {
    if (this.complete) return false;
    for (const machine of this.awaitingReconciliation) {
      if (this.isAwaited(machine)) {
        this.logWaiting(now);
        return false;
      }
      this.awaitingReconciliation.delete(machine);
    }
    this.complete = true;
    this.log.info({ machines: this.table.size(), jobs: this.jobCount() }, 'recovery complete');
    return true;
  }

  private isAwaited(machine: Machine): boolean {
    return machine.awaitingReconciliation && this.table.get(machine.id) === machine;
  }

  private logWaiting(now: number): void {
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const awaited = [...this.awaitingReconciliation].filter((machine) => this.isAwaited(machine));
    const some = awaited
      .slice(0, MAX_LOGGED_MACHINES)
      .map((machine) => `${machine.id}:${machine.commandFailures}`);
    this.log.info(
      { machines: awaited.length, of: this.table.size(), some },
      'awaiting reconciliation of machines',
    );
  }
}
