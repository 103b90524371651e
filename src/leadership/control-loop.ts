/** The leader's periodic work and its scheduling cycle. */
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { CompletionWriter } from '../jobs/completion-writer.js';
import type { Placement } from '../placement/placement.js';
import type { Clock } from '../runtime.js';
import type { CommandSender } from '../workers/command-sender.js';
import type { MachineRecordStore } from '../workers/machine-record-store.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { CycleScheduler } from './cycle-scheduler.js';
import type { EventLoopLag } from './event-loop-lag.js';
import type { FailoverRecovery } from './failover-recovery.js';
import type { LeaseMonitor } from './lease-monitor.js';
import type { TermLifecycle } from './term-lifecycle.js';
import type { WorkerContact } from './worker-contact.js';

/** Interval of the periodic work. */
export const TICK_MS = 200;

/** The components of a leader's term that the loop drives. */
export interface ControlLoopDependencies {
  clock: Clock;
  lifecycle: TermLifecycle;
  table: MachineTable;
  sender: CommandSender;
  machineRecords: MachineRecordStore;
  completionWriter: CompletionWriter;
  autoscaler: Autoscaler;
  placement: Placement;
  recovery: FailoverRecovery;
  leaseMonitor: LeaseMonitor;
  cycles: CycleScheduler;
  contact: WorkerContact;
  eventLoopLag: EventLoopLag;
  cancellationsAreFresh(): boolean;
  /** Gives up the leadership. */
  resign(reason: string): void;
}

/** Runs from the start of service until the term has ended. */
export class ControlLoop {
  constructor(private readonly deps: ControlLoopDependencies) {}

  /** Does the periodic work and schedules itself again after `TICK_MS`, until the term has ended. */
  tick(): void {
    const { clock, lifecycle, sender, eventLoopLag } = this.deps;
    if (lifecycle.hasEnded()) return;
    const now = clock.now();
    sender.recordTimerDelay(eventLoopLag.measure(now));
    if (lifecycle.isLeader()) this.doPeriodicWork(now);
    clock.after(TICK_MS, () => {
      this.tick();
    });
  }

  private doPeriodicWork(now: number): void {
    const { sender, placement, recovery, leaseMonitor, cycles } = this.deps;
    leaseMonitor.expire(now);
    if (recovery.tryComplete(now)) cycles.request();
    this.deps.machineRecords.tick();
    this.deps.completionWriter.tick();
    this.deps.autoscaler.tick();
    placement.tick(now);
    placement.round();
    cycles.request();
    sender.flushPending(true);
    leaseMonitor.probe(now);
    this.resignIfWithoutContact(now);
  }

  private resignIfWithoutContact(now: number): void {
    const { table, contact, eventLoopLag } = this.deps;
    if (contact.isLost(table.storedCount(), eventLoopLag.isLagging(now), now))
      this.deps.resign('no heartbeat from any worker');
  }

  /** Starts the tasks that can be started. Returns true if another cycle should follow immediately. */
  runSchedulingCycle(now: number): boolean {
    const { sender, placement, recovery } = this.deps;
    const mayPlace = recovery.mayPlace(sender.isCongested(), now);
    const hasMore = mayPlace && this.deps.cancellationsAreFresh() && placement.runSchedulingCycle();
    sender.flushPending(false);
    return hasMore;
  }
}
