/** Which machines have commands to be sent. */
import type { Machine } from './machine.js';

/** Every machine with commands to send at once is also among those that have some outstanding. */
export class CommandBacklog {
  /** With commands to send at once. */
  readonly pending = new Set<Machine>();
  /** With any that are not done yet, to be looked at now and then: such as are repeated, or wait for something else. */
  readonly outstanding = new Set<Machine>();

  /** Commands for the machine may be due. */
  markPending(machine: Machine): void {
    this.pending.add(machine);
    this.outstanding.add(machine);
  }

  clear(machine: Machine): void {
    this.pending.delete(machine);
    this.outstanding.delete(machine);
  }
}
