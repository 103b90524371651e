/**
 * The leader's decisions on lease extension: whether followers may extend worker leases, and whether the leader may do
 * so itself while its leadership is suspended.
 */
import { type Clock, MAX_CLOCK_DRIFT } from '../runtime.js';
import type { Heartbeat } from '../wire/model.js';
import type { MachineTable } from '../workers/machine-table.js';
import { epochOfToken } from './leader-record.js';
import type { LeaseExtensionResponse, LeaseExtensionGrants } from './lease-extension.js';
import type { LeaseMonitor } from './lease-monitor.js';
import type { TermLifecycle } from './term-lifecycle.js';

/** The components that the decisions depend on. */
export interface LeaseExtensionHandlerDependencies {
  clock: Clock;
  lifecycle: TermLifecycle;
  table: MachineTable;
  leaseMonitor: Pick<LeaseMonitor, 'mayFollowersExtend'>;
  grants: LeaseExtensionGrants;
  /** Time in milliseconds for which leases may be extended. */
  extensionMs: number;
}

/** Decides on lease extension in one leader's term. */
export class LeaseExtensionHandler {
  constructor(private readonly deps: LeaseExtensionHandlerDependencies) {}

  /**
   * Handles a follower's request to extend leases. `isFromPresentProcess`: whether the follower's present process is
   * known to have sent it; if not, it is refused. Returns null if this node does not lead.
   */
  handleRequest(peer: string, isFromPresentProcess: boolean): LeaseExtensionResponse | null {
    const { clock, lifecycle, leaseMonitor, grants } = this.deps;
    if (!lifecycle.isLeader()) return null;
    const now = clock.now();
    const mayExtend = isFromPresentProcess && leaseMonitor.mayFollowersExtend(now);
    grants.recordRequest(peer, mayExtend, now);
    return { epoch: lifecycle.epoch, mayExtend };
  }

  /**
   * Whether the worker's lease may be renewed while the leadership is suspended. The same limit applies as for a
   * follower, counted from `uncontestedUntil`, the time until which no other node can have been elected after this one:
   * a new leader relies on former leaders to extend leases for no longer than that after its own term began.
   */
  mayExtendWhileSuspended(heartbeat: Heartbeat, uncontestedUntil: number): boolean {
    const { clock, lifecycle, table, extensionMs } = this.deps;
    const now = clock.now();
    if (!lifecycle.isServing() || now - uncontestedUntil >= extensionMs / MAX_CLOCK_DRIFT)
      return false;
    if (epochOfToken(heartbeat.token) !== lifecycle.epoch) return false;
    const machine = table.get(heartbeat.machine);
    if (machine) machine.leaseRenewedAt = now;
    return true;
  }
}
