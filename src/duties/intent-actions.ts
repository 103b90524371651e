/** Machine actions that store the leader's decisions as intents, which the holders of the duties carry out. */
import { type IntentLog, MAX_MACHINES_PER_DELETION, type IntentResult } from '@millring/duties';
import type { MachineRequestResult } from '../autoscaler/cloud.js';
import type {
  DeletionPurpose,
  DirectActions,
  MachineActions,
} from '../autoscaler/machine-actions.js';
import type { Pool } from '../autoscaler/scaling-plan.js';

/** Size of a deletion record without the machine ids. */
const RECORD_OVERHEAD_BYTES = 320;
/** Size of the quotes and the comma around each machine id. */
const ID_OVERHEAD_BYTES = 3;

/** Dependencies of `IntentActions` on the leader. */
export interface IntentActionsDependencies {
  intentLog: IntentLog;
  /** Used while intents can't be used. */
  direct: DirectActions;
  /** Whether all controllers that may lead support intents, and this controller is configured to use them. */
  usesIntents(): boolean;
  /** Maximum size of a stored value as JSON, in bytes. */
  valueBytes: number;
}

/**
 * Stores an intent for each action and waits for its outcome. While intents can't be used, calls the cloud directly.
 */
export class IntentActions implements MachineActions {
  constructor(private readonly deps: IntentActionsDependencies) {}

  /** Always returns true with intents, since the holder of the duty has its own budget of cloud calls. */
  tryAcquireCall(): boolean {
    return this.deps.usesIntents() || this.deps.direct.tryAcquireCall();
  }

  async requestMachines(pool: Pool, count: number): Promise<MachineRequestResult> {
    if (!this.deps.usesIntents()) return this.deps.direct.requestMachines(pool, count);
    const { type, zone, spot } = pool;
    return toRequestResult(
      await this.deps.intentLog.open('rent', { kind: 'rent', type: type.name, zone, spot, count }),
    );
  }

  async deleteMachines(ids: string[], purpose: DeletionPurpose): Promise<boolean> {
    if (!this.deps.usesIntents()) return this.deps.direct.deleteMachines(ids);
    const result = await this.deps.intentLog.open(purpose, { kind: 'delete', machines: ids });
    return result.kind === 'resolved' && result.outcome.kind === 'deleted';
  }

  maxDeletions(ids: readonly string[]): number {
    if (!this.deps.usesIntents()) return this.deps.direct.maxDeletions();
    const longest = Math.max(1, ...ids.map((id) => id.length));
    const fitting = Math.floor(
      (this.deps.valueBytes - RECORD_OVERHEAD_BYTES) / (longest + ID_OVERHEAD_BYTES),
    );
    return Math.max(1, Math.min(MAX_MACHINES_PER_DELETION, fitting));
  }
}

/** Converts the result of an intent to request machines into the result of the request itself. */
export function toRequestResult(result: IntentResult): MachineRequestResult {
  if (result.kind === 'not-stored') return { kind: 'rejected' };
  if (result.kind === 'indeterminate') return { kind: 'indeterminate' };
  switch (result.outcome.kind) {
    case 'rented':
      return { kind: 'granted', ids: result.outcome.machines };
    case 'no-capacity':
      return { kind: 'no-capacity' };
    case 'deleted':
      return { kind: 'indeterminate' };
  }
}
