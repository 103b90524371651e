/** The machines that have commands to be sent. */
import type { Machine } from './machine.js';

/** Every machine in `pending` is also in `outstanding`. */
export class CommandBacklog {
  /** Machines with commands to send immediately. */
  readonly pending = new Set<Machine>();
  /**
   * Machines with any unfinished commands, including those that may have to be repeated or that wait for a condition.
   * These machines are checked periodically.
   */
  readonly outstanding = new Set<Machine>();

  /** Marks a machine for which commands may be due. */
  markPending(machine: Machine): void {
    this.pending.add(machine);
    this.outstanding.add(machine);
  }

  clear(machine: Machine): void {
    this.pending.delete(machine);
    this.outstanding.delete(machine);
  }
}
