/** The leader's handling of workers' heartbeats. */
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { Placement } from '../placement/placement.js';
import type { Clock } from '../runtime.js';
import { commandsForHeartbeat } from '../workers/commands.js';
import { isNewer } from '../workers/heartbeat-applier.js';
import type { Machine } from '../workers/machine.js';
import type { MachineNews } from '../workers/machine-news.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { Heartbeat, MachineType, WorkerCommand } from '../wire/model.js';
import type { CycleScheduler } from './cycle-scheduler.js';
import type { FailoverRecovery } from './failover-recovery.js';
import type { TermLifecycle } from './term-lifecycle.js';
import type { WorkerContact } from './worker-contact.js';

/** The components that heartbeats update, and those that the responses depend on. */
export interface HeartbeatHandlerDependencies {
  clock: Clock;
  lifecycle: TermLifecycle;
  table: MachineTable;
  types: readonly MachineType[];
  leaseMs: number;
  autoscaler: Pick<Autoscaler, 'isDeleted'>;
  placement: Pick<Placement, 'heartbeatApplied'>;
  recovery: FailoverRecovery;
  contact: WorkerContact;
  cycles: CycleScheduler;
  news: MachineNews;
  /** Whether this node leads now, in this term and no later one. True also before the term serves. */
  holdsLeadership(): boolean;
}

/** A response to a heartbeat, which renews the worker's lease. */
export interface HeartbeatResponse {
  token: number;
  commands: WorkerCommand[];
}

/** Applies heartbeats, which arrive both as requests from workers and in their responses to commands. */
export class HeartbeatHandler {
  private readonly tokenAckIntervalMs: number;

  constructor(private readonly deps: HeartbeatHandlerDependencies) {
    this.tokenAckIntervalMs = deps.leaseMs / 2;
  }

  /**
   * Handles a heartbeat that a worker sent as a request. Returns null if this node may not respond: the response would
   * renew the lease.
   */
  handle(heartbeat: Heartbeat): HeartbeatResponse | null {
    const { clock, lifecycle, autoscaler } = this.deps;
    if (!this.deps.holdsLeadership()) return null;
    const now = clock.now();
    if (!lifecycle.isServing() || autoscaler.isDeleted(heartbeat.machine))
      return { token: lifecycle.baseToken, commands: [] };
    const machine = this.findOrAddMachine(heartbeat, now);
    // A duplicate or reordered heartbeat must neither be applied nor count as a renewal of the lease.
    if (!machine || !isNewer(heartbeat, machine, machine.lastRequestSequence)) return null;
    machine.leaseRenewedAt = now;
    if (machine.commandFailures > 0) machine.nextSendAt = Math.min(machine.nextSendAt, now);
    this.apply(machine, heartbeat);
    this.deps.news.reportArrived(machine, now);
    if (heartbeat.incarnation === machine.incarnation)
      machine.lastRequestSequence = heartbeat.sequence;
    return this.respond(machine, now);
  }

  private respond(machine: Machine, now: number): HeartbeatResponse {
    const { table } = this.deps;
    const commands = machine.stored ? commandsForHeartbeat(machine, table, now) : [];
    return { token: table.requestTokenAck(machine, now, this.tokenAckIntervalMs), commands };
  }

  /** Returns null if the machine is new and its type is not offered by the cloud. */
  private findOrAddMachine(heartbeat: Heartbeat, now: number): Machine | null {
    const { table, types } = this.deps;
    const known = table.get(heartbeat.machine);
    if (known) return known;
    const type = types.find((candidate) => candidate.name === heartbeat.type);
    if (!type) return null;
    const { machine: id, endpoint, zone, spot } = heartbeat;
    return table.add(id, endpoint, type, zone, spot, now);
  }

  /** Handles the heartbeat in the response to a request that was sent at `requestedAt`. */
  handleResponse(machine: Machine, heartbeat: Heartbeat, requestedAt: number): void {
    this.apply(machine, heartbeat);
    this.deps.news.responseArrived(machine, requestedAt);
  }

  /** Updates the machine from the heartbeat, unless a newer heartbeat was already applied. */
  private apply(machine: Machine, heartbeat: Heartbeat): void {
    const { clock, table, placement, recovery, contact, cycles } = this.deps;
    const now = clock.now();
    if (!isNewer(heartbeat, machine, machine.lastAppliedSequence) || !table.contains(machine))
      return;
    machine.lastHeardAt = now;
    contact.recordHeartbeat(now);
    const wasReconciled = machine.isReconciled();
    table.applyHeartbeat(machine, heartbeat, now);
    if (machine.isReconciled()) machine.awaitingReconciliation = false;
    placement.heartbeatApplied(machine);
    if (recovery.tryComplete(now)) cycles.request();
    // If resources were freed, the end of the attempt has already requested a cycle.
    if (!wasReconciled && machine.isReconciled()) cycles.request();
  }
}
