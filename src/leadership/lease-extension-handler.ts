/** The leader's decisions on lease extension: whether followers may extend leases, and whether it may itself while suspended. */
import { type Clock, MAX_CLOCK_DRIFT } from '../runtime.js';
import type { Heartbeat } from '../wire/model.js';
import type { MachineTable } from '../workers/machine-table.js';
import { epochOfToken } from './leader-record.js';
import type { LeaseExtensionGrant, LeaseExtensionGrants } from './lease-extension.js';
import type { LeaseMonitor } from './lease-monitor.js';
import type { TermLifecycle } from './term-lifecycle.js';

/** What the decisions rest on. */
export interface LeaseExtensionHandlerDependencies {
  clock: Clock;
  lifecycle: TermLifecycle;
  table: MachineTable;
  leaseMonitor: Pick<LeaseMonitor, 'mayFollowersExtend'>;
  grants: LeaseExtensionGrants;
  /** For how long leases may be extended. */
  extensionMs: number;
}

/** One leader's term. */
export class LeaseExtensionHandler {
  constructor(private readonly deps: LeaseExtensionHandlerDependencies) {}

  /** A follower asks whether it may extend leases. Null if this node does not lead. */
  handleRequest(peer: string): LeaseExtensionGrant | null {
    const { clock, lifecycle, leaseMonitor, grants } = this.deps;
    if (!lifecycle.isLeader()) return null;
    const now = clock.now();
    const mayExtend = leaseMonitor.mayFollowersExtend(now);
    grants.recordRequest(peer, mayExtend, now);
    return { epoch: lifecycle.epoch, mayExtend };
  }

  /**
   * May the worker's lease be renewed while the leadership is suspended? As by a follower, counted from
   * `uncontestedUntil`, when nobody can have been elected after this node: a new leader counts on it that former ones
   * extend leases for no longer than that after its own term began.
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
