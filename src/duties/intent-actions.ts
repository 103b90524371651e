/** The leader's decisions about machines as intents, which the holders of the duties carry out. */
import { type IntentLog, MAX_MACHINES_PER_DELETION, type IntentResult } from '@millring/duties';
import type { MachineRequestResult } from '../autoscaler/cloud.js';
import type {
  DeletionPurpose,
  DirectActions,
  MachineActions,
} from '../autoscaler/machine-actions.js';
import type { Pool } from '../autoscaler/scaling-plan.js';

/** What the record of a deletion takes besides the names of machines. */
const RECORD_OVERHEAD_BYTES = 320;
/** Quotes and a comma. */
const NAME_OVERHEAD_BYTES = 3;

/** What acting through intents needs of the leader. */
export interface IntentActionsDependencies {
  log: IntentLog;
  /** Used while intents can't be. */
  direct: DirectActions;
  /** All controllers that may lead can follow intents, and this one is set to use them. */
  usesIntents(): boolean;
  /** Bytes of a stored value as JSON, at most. */
  valueBytes: number;
}

/** Stores an intent for each action and waits for its outcome; while intents can't be used, the leader asks the cloud. */
export class IntentActions implements MachineActions {
  constructor(private readonly deps: IntentActionsDependencies) {}

  /** The holder has its own budget of the cloud's calls. */
  tryAcquireCall(): boolean {
    return this.deps.usesIntents() || this.deps.direct.tryAcquireCall();
  }

  async requestMachines(pool: Pool, count: number): Promise<MachineRequestResult> {
    if (!this.deps.usesIntents()) return this.deps.direct.requestMachines(pool, count);
    const { type, zone, spot } = pool;
    return toRequestResult(
      await this.deps.log.open('rent', { kind: 'rent', type: type.name, zone, spot, count }),
    );
  }

  async deleteMachines(ids: string[], purpose: DeletionPurpose): Promise<boolean> {
    if (!this.deps.usesIntents()) return this.deps.direct.deleteMachines(ids);
    const result = await this.deps.log.open(purpose, { kind: 'delete', machines: ids });
    return result.kind === 'resolved' && result.outcome.kind === 'deleted';
  }

  maxDeletions(ids: readonly string[]): number {
    if (!this.deps.usesIntents()) return this.deps.direct.maxDeletions();
    const longest = Math.max(1, ...ids.map((id) => id.length));
    const fitting = Math.floor(
      (this.deps.valueBytes - RECORD_OVERHEAD_BYTES) / (longest + NAME_OVERHEAD_BYTES),
    );
    return Math.max(1, Math.min(MAX_MACHINES_PER_DELETION, fitting));
  }
}

/** What came of an intent to request machines, as the result of the request itself. */
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
