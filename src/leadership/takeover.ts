/**
 * A new leader acts on jobs of former leaders only once every machine that was stored before its claim has shown
 * the new token, is gone, or is past its lease: until then their tasks may be where it has not looked yet.
 */
import type { Log } from '../runtime.js';
import type { MachineTable } from '../workers/machine-table.js';

const LOG_EVERY_MS = 1000;
const MACHINES_IN_LOG = 5;

export class Takeover {
  private complete = false;
  private loggedAt = -Infinity;

  constructor(
    private readonly table: MachineTable,
    private readonly log: Log,
    private readonly jobs: () => number,
  ) {}

  /** Is every machine known that may hold tasks of former leaders? */
  isComplete(): boolean {
    return this.complete;
  }

  /** True if the takeover is completed by this look. */
  check(now: number): boolean {
    if (this.complete) return false;
    let waiting = 0;
    for (const machine of this.table.all()) {
      if (machine.suspect && machine.certain()) machine.suspect = false;
      if (machine.suspect) waiting++;
    }
    if (waiting > 0) {
      this.logWaiting(waiting, now);
      return false;
    }
    this.complete = true;
    this.log.info({ machines: this.table.size(), jobs: this.jobs() }, 'every machine is known');
    return true;
  }

  private logWaiting(machines: number, now: number): void {
    if (now - this.loggedAt < LOG_EVERY_MS) return;
    this.loggedAt = now;
    const some = [...this.table.all()].filter((m) => m.suspect).slice(0, MACHINES_IN_LOG);
    const unanswered = some.map((m) => `${m.id}:${m.commandFailures}`);
    this.log.info({ machines, of: this.table.size(), some: unanswered }, 'waiting for machines');
  }
}
