/** Size limits of transactions and of the values in them. */
import type { RecordMutation } from './wire/state.js';

/** Larger values, and transactions with more mutations, are rejected. */
export interface TransactionBounds {
  valueBytes: number;
  txnOps: number;
}

/** Whether there are too many mutations or a value is too large. */
export function exceedsBounds(bounds: TransactionBounds, mutations: RecordMutation[]): boolean {
  const bytesOf = (mutation: RecordMutation): number =>
    mutation.kind === 'put' ? JSON.stringify(mutation.value ?? 0).length : 1;
  return (
    mutations.length > bounds.txnOps ||
    mutations.some((mutation) => bytesOf(mutation) > bounds.valueBytes)
  );
}
