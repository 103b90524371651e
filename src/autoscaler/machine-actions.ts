/** How the leader's decisions about machines are carried out. */
import { MAX_MACHINES_PER_DELETION } from '@millring/duties';
import type { Cloud, MachineRequestResult } from './cloud.js';
import type { Pool } from './scaling-plan.js';

/** Why machines are deleted. `return`: they stand idle. `reclaim`: they are dead, faulty or failed to boot. */
export type DeletionPurpose = 'return' | 'reclaim';

/** Requests and deletes machines, either at the cloud itself or through intents. */
export interface MachineActions {
  /** Takes one call from the budget; false if none is left now. */
  tryAcquireCall(): boolean;
  /** Asks for `count` machines of the pool. */
  requestMachines(pool: Pool, count: number): Promise<MachineRequestResult>;
  /** True only once the machines and everything on them are gone. */
  deleteMachines(ids: string[], purpose: DeletionPurpose): Promise<boolean>;
  /** How many of these machines one deletion may name, at least 1. */
  maxDeletions(ids: readonly string[]): number;
}

/** The leader asks the cloud itself. */
export class DirectActions implements MachineActions {
  /** `nextRequestName` gives a new name each time, unique for ever across all controllers. */
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
