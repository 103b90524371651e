/** What the leader makes of workers' heartbeats. */
import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { Placement } from '../placement/placement.js';
import type { Clock } from '../runtime.js';
import { commandsForHeartbeat } from '../workers/commands.js';
import { isNewer } from '../workers/heartbeat-applier.js';
import type { Machine } from '../workers/machine.js';
import type { MachineTable } from '../workers/machine-table.js';
import type { Heartbeat, MachineType, WorkerCommand } from '../wire/model.js';
import type { CycleScheduler } from './cycle-scheduler.js';
import type { FailoverRecovery } from './failover-recovery.js';
import type { TermLifecycle } from './term-lifecycle.js';
import type { WorkerContact } from './worker-contact.js';

/** What heartbeats change, and what their replies depend on. */
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
  /** Does this node lead at this moment, in this very term? */
  holdsLease(): boolean;
}

/** A reply that renews the worker's lease. */
export interface HeartbeatResponse {
  token: number;
  commands: WorkerCommand[];
}

/** Applies heartbeats, which come as requests of their own and with the responses to commands. */
export class HeartbeatHandler {
  private readonly tokenAckIntervalMs: number;

  constructor(private readonly deps: HeartbeatHandlerDependencies) {
    this.tokenAckIntervalMs = deps.leaseMs / 2;
  }

  /** A worker's own request. Null if this node may not reply: the reply would renew the lease. */
  handle(heartbeat: Heartbeat): HeartbeatResponse | null {
    const { clock, lifecycle, autoscaler } = this.deps;
    if (!this.deps.holdsLease()) return null;
    const now = clock.now();
    if (!lifecycle.isServing() || autoscaler.isDeleted(heartbeat.machine))
      return { token: lifecycle.baseToken, commands: [] };
    const machine = this.findOrAddMachine(heartbeat, now);
    // A duplicate or reordered heartbeat must neither be applied nor count as a renewal of the lease.
    if (!machine || !isNewer(heartbeat, machine, machine.lastHeartbeatSequence)) return null;
    machine.leaseRenewedAt = now;
    if (machine.commandFailures > 0) machine.nextSendAt = Math.min(machine.nextSendAt, now);
    this.apply(machine, heartbeat);
    if (heartbeat.incarnation === machine.incarnation)
      machine.lastHeartbeatSequence = heartbeat.sequence;
    return this.respond(machine, now);
  }

  private respond(machine: Machine, now: number): HeartbeatResponse {
    const { table } = this.deps;
    const commands = machine.stored ? commandsForHeartbeat(machine, table, now) : [];
    return { token: table.requestTokenAck(machine, now, this.tokenAckIntervalMs), commands };
  }

  /** Null if the machine is new, and of a type that the cloud does not offer. */
  private findOrAddMachine(heartbeat: Heartbeat, now: number): Machine | null {
    const { table, types } = this.deps;
    const known = table.get(heartbeat.machine);
    if (known) return known;
    const type = types.find((candidate) => candidate.name === heartbeat.type);
    if (!type) return null;
    const { machine: id, endpoint, zone, spot } = heartbeat;
    return table.add(id, endpoint, type, zone, spot, now);
  }

  /** Updates the machine from the heartbeat, unless a newer one was applied already. */
  apply(machine: Machine, heartbeat: Heartbeat): void {
    const { clock, table, placement, recovery, contact, cycles } = this.deps;
    const now = clock.now();
    if (!isNewer(heartbeat, machine, machine.lastSequence) || !table.contains(machine)) return;
    machine.lastHeardAt = now;
    contact.recordHeartbeat(now);
    const wasReconciled = machine.isReconciled();
    table.applyHeartbeat(machine, heartbeat, now);
    if (machine.isReconciled()) machine.awaitingReconciliation = false;
    placement.heartbeatApplied(machine);
    if (recovery.check(now)) cycles.request();
    // Where resources were freed, the end of the attempt has requested a cycle already.
    if (!wasReconciled && machine.isReconciled()) cycles.request();
  }
}
