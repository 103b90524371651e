/** Actions that carry out the leader's decisions about machines. */
import { MAX_MACHINES_PER_DELETION } from '@millring/duties';
import type { Cloud, MachineRequestResult } from './cloud.js';
import type { Pool } from './scaling-plan.js';

/** Kind of a deletion. `return`: of idle machines. `reclaim`: of machines that are dead, faulty or failed to boot. */
export type DeletionPurpose = 'return' | 'reclaim';

/** Requests and deletes machines, either by direct calls to the cloud or through intents. */
export interface MachineActions {
  /** Takes one call from the budget; returns false if none is left. */
  tryAcquireCall(): boolean;
  /** Requests `count` machines of the pool. */
  requestMachines(pool: Pool, count: number): Promise<MachineRequestResult>;
  /** Resolves to true only once the machines and everything on them no longer exist. */
  deleteMachines(ids: string[], purpose: DeletionPurpose): Promise<boolean>;
  /** Maximum number of these machines in one deletion; at least 1. */
  maxDeletions(ids: readonly string[]): number;
}

/** Actions by which the leader calls the cloud directly. */
export class DirectActions implements MachineActions {
  /** `nextRequestName` returns a new name on each call, which is never used again by any controller. */
  constructor(
    private readonly cloud: Cloud,
    private readonly nextRequestName: () => string,
  ) {}

  tryAcquireCall(): boolean {
    return this.cloud.tryAcquireCall();
  }

  requestMachines({ type, zone, spot }: Pool, count: number): Promise<MachineRequestResult> {
    return this.cloud.requestMachines(this.nextRequestName(), type.name, zone, spot, count);
  }

  deleteMachines(ids: string[]): Promise<boolean> {
    return this.cloud.deleteMachines(ids);
  }

  maxDeletions(): number {
    return MAX_MACHINES_PER_DELETION;
  }
}
