/**
 * A new leader acts on jobs of former leaders only once every machine that was stored before its claim has shown
 * the new token, is gone, or is past its lease: until then their tasks may be where it has not looked yet.
 */
import type { Log } from '../runtime.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';

const LOG_EVERY_MS = 1000;
const MACHINES_IN_LOG = 5;

export class FailoverRecovery {
  private complete = false;
  private loggedAt = -Infinity;
  private beganAt = 0;
  /** Stored before the claim. Those at the front that need no more waiting for are taken out. */
  private readonly awaitingReconciliation = new Set<Machine>();

  constructor(
    private readonly table: MachineTable,
    private readonly leaseMs: number,
    private readonly log: Log,
    private readonly jobs: () => number,
  ) {}

  /** The machine was stored before the claim. */
  expectReconciliation(machine: Machine): void {
    machine.awaitingReconciliation = true;
    this.awaitingReconciliation.add(machine);
  }

  begin(now: number): void {
    this.beganAt = now;
  }

  /**
   * Leases go before new work. While the controller is behind, each start would keep reports waiting whose workers lose
   * everything if they are not answered within their lease. Half of one is enough to hear them all.
   */
  mayPlace(behind: boolean, now: number): boolean {
    return this.complete || !behind || now - this.beganAt > this.leaseMs / 2;
  }

  /** Is every machine known that may hold tasks of former leaders? */
  isComplete(): boolean {
    return this.complete;
  }

  /**
   * True if the takeover is completed by this look. Every report asks, so a look ends at the first machine that is
   * still waited for: all looks together pass each machine once.
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
    this.log.info({ machines: this.table.size(), jobs: this.jobs() }, 'every machine is known');
    return true;
  }

  private isAwaited(machine: Machine): boolean {
    return machine.awaitingReconciliation && this.table.get(machine.id) === machine;
  }

  private logWaiting(now: number): void {
    if (now - this.loggedAt < LOG_EVERY_MS) return;
    this.loggedAt = now;
    const awaited = [...this.awaitingReconciliation].filter((m) => this.isAwaited(m));
    const some = awaited.slice(0, MACHINES_IN_LOG).map((m) => `${m.id}:${m.commandFailures}`);
    this.log.info(
      { machines: awaited.length, of: this.table.size(), some },
      'waiting for machines',
    );
  }
}
