/**
 * Determines when a new leader may act on jobs that were created before its term: once each machine that was stored
 * before its term has reported the new token or been deleted, or its lease has expired. Until then, tasks of those jobs
 * may run on machines that have not sent a heartbeat to this leader yet. The recovery begins once the stored state has
 * been loaded.
 */
import type { Log } from '../runtime.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

const LOG_INTERVAL_MS = 1000;
const MAX_LOGGED_MACHINES = 5;

/** Tracks the machines that a new leader has not reconciled yet. */
export class FailoverRecovery {
  private complete = false;
  private loggedAt = -Infinity;
  private beganAt = 0;
  /** Machines that were stored before the term. `tryComplete` removes those at the front that are no longer awaited. */
  private readonly awaitingReconciliation = new Set<Machine>();

  constructor(
    private readonly table: MachineTable,
    private readonly leaseMs: number,
    private readonly log: Log,
    private readonly jobCount: () => number,
  ) {}

  /** Adds a machine that was stored before the term, so that the recovery waits for its reconciliation. */
  expectReconciliation(machine: Machine): void {
    machine.awaitingReconciliation = true;
    this.awaitingReconciliation.add(machine);
  }

  /** Called when the term begins to serve: `mayPlace` limits its delay from then on. */
  begin(now: number): void {
    this.beganAt = now;
  }

  /**
   * Whether tasks may be placed. Leases take precedence over new work: while the controller is congested, each start
   * would delay heartbeats, and a worker that gets no response within its lease loses all its tasks. Half a lease is
   * enough to receive a heartbeat from every worker, so placement is held back no longer than that.
   */
  mayPlace(isCongested: boolean, now: number): boolean {
    return this.complete || !isCongested || now - this.beganAt > this.leaseMs / 2;
  }

  /** Whether each machine that may run tasks of former leaders was reconciled or deleted, or its lease has expired. */
  isComplete(): boolean {
    return this.complete;
  }

  /**
   * Removes machines that are no longer awaited, and completes the recovery if none is left. Returns true only in the
   * call that completes it. It is called for every heartbeat, so it stops at the first machine that is still awaited:
   * all calls together pass each machine once.
   */
  tryComplete(now: number): boolean {
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
