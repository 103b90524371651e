/** The leader's decisions about machines as intents, which the holders of the duties carry out. */
import { type IntentLog, MAX_MACHINES_PER_DELETION, type IntentResult } from '@millring/duties';
import type { MachineRequestResult } from '../autoscaler/cloud.js';
import type {
  DeletionPurpose,
  DirectActions,
  MachineActions,
} from '../autoscaler/machine-actions.js';
import type { Pool } from '../autoscaler/scaling-plan.js';

/** What the record of an intent holds beside the names of machines. */
const FRAME_BYTES = 320;
/** Quotes and a comma. */
const BYTES_PER_NAME = 3;

export interface IntentActionsDependencies {
  log: IntentLog;
  /** While intents can't be used, the leader acts as before there were duties. */
  direct: DirectActions;
  /** All controllers that may lead can follow intents, and this one is set to use them. */
  usesIntents(): boolean;
  /** Most bytes of a value, counted as JSON. */
  valueBytes: number;
}

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
    const opened = await this.deps.log.open(purpose, { kind: 'delete', machines: ids });
    return opened.kind === 'resolved' && opened.outcome.kind === 'deleted';
  }

  maxDeletions(ids: readonly string[]): number {
    if (!this.deps.usesIntents()) return this.deps.direct.maxDeletions();
    const longest = Math.max(1, ...ids.map((id) => id.length));
    const fitting = Math.floor((this.deps.valueBytes - FRAME_BYTES) / (longest + BYTES_PER_NAME));
    return Math.max(1, Math.min(MAX_MACHINES_PER_DELETION, fitting));
  }
}

/** What came of an intent to request machines, as the result of the request itself. */
export function toRequestResult(opened: IntentResult): MachineRequestResult {
  if (opened.kind === 'not-opened') return { kind: 'rejected' };
  if (opened.kind === 'unknown') return { kind: 'indeterminate' };
  switch (opened.outcome.kind) {
    case 'rented':
      return { kind: 'granted', ids: opened.outcome.machines };
    case 'no-capacity':
      return { kind: 'no-capacity' };
    case 'deleted':
      return { kind: 'indeterminate' };
  }
}
