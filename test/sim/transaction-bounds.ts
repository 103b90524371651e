/** How large transactions and their values may be. */
import type { RecordMutation } from './wire/state.js';

/** Larger values, and transactions of more mutations, are refused. */
export interface TransactionBounds {
  valueBytes: number;
  txnOps: number;
}

/** Are there too many mutations, or is a value too large? */
export function exceedsBounds(bounds: TransactionBounds, mutations: RecordMutation[]): boolean {
  const bytesOf = (mutation: RecordMutation): number =>
    mutation.kind === 'put' ? JSON.stringify(mutation.value ?? 0).length : 1;
  return (
    mutations.length > bounds.txnOps ||
    mutations.some((mutation) => bytesOf(mutation) > bounds.valueBytes)
  );
}
