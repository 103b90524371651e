/** Restores the intents that former leaders have stored, for a new leader. */
import type { Intent, IntentLog, Versioned } from '@millring/duties';
import type { Conversion } from '@millring/rollout';
import { toRequestResult } from '../duties/intent-actions.js';
import type { Autoscaler } from '../autoscaler/autoscaler.js';

/** An intent with the version at which it was read. */
export type StoredIntent = Versioned<Intent>;

/**
 * Returns how many intents still have no outcome, as a conversion that must be done before the feature level is lowered
 * below that of intents: while an intent is open, a node that cannot follow intents must not lead.
 */
export function intentConversion(intentLog: IntentLog): Conversion {
  const remaining = intentLog.pendingCount();
  return remaining > 0 ? { kind: 'running', remaining } : { kind: 'done' };
}

/**
 * Registers the stored intents with the autoscaler: machines to delete, whether or not the intent has an outcome, and
 * requests for machines that have none yet. Waits in the background for the outcomes of open intents.
 */
export function restoreIntents(
  intents: readonly StoredIntent[],
  intentLog: IntentLog,
  autoscaler: Autoscaler,
): void {
  for (const { value, version } of intents) {
    const { action, id } = value;
    if (action.kind === 'delete') {
      const done =
        value.outcome !== null ||
        intentLog.awaitOutcome(id, version).then(({ kind }) => kind === 'resolved');
      autoscaler.restoreDeletion(action.machines, Promise.resolve(done));
    } else if (value.outcome === null) {
      const { type, zone, spot, count } = action;
      autoscaler.restoreMachineRequest(
        type,
        zone,
        spot,
        count,
        intentLog.awaitOutcome(id, version).then(toRequestResult),
      );
    }
  }
}
