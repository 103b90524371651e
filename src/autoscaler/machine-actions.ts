/** How the leader's decisions about machines are carried out. */
import type { Cloud, RentResult } from './cloud.js';
import type { Pool } from './scaling-plan.js';

/** `return`: nothing needs the machines. `reclaim`: they are silent or failed. */
export type DeletionPurpose = 'return' | 'reclaim';

export interface MachineActions {
  /** May one more action be begun now? Takes its part of the budget. */
  mayBegin(): boolean;
  rent(pool: Pool, count: number): Promise<RentResult>;
  /** True only once the machines and everything on them are gone. */
  delete(ids: string[], purpose: DeletionPurpose): Promise<boolean>;
  /** How many of these machines one deletion may name. */
  mostDeleted(ids: readonly string[]): number;
}

/** The cloud's limit of one request. */
export const MOST_DELETED = 100;

/** The leader asks the cloud itself. */
export class DirectActions implements MachineActions {
  constructor(
    private readonly cloud: Cloud,
    /** Unique for ever: no request name is used twice, by any node. */
    private readonly requestName: () => string,
  ) {}

  mayBegin(): boolean {
    return this.cloud.room();
  }

  rent(pool: Pool, count: number): Promise<RentResult> {
    return this.cloud.rent(this.requestName(), pool.type.name, pool.zone, pool.spot, count);
  }

  delete(ids: string[]): Promise<boolean> {
    return this.cloud.delete(ids);
  }

  mostDeleted(): number {
    return MOST_DELETED;
  }
}
