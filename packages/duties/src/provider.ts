/** Whatever rents and deletes machines, as the holder of a duty sees it. */
import type { Permit } from './permit.js';
import type { RentAction } from './records.js';

export type RentResult =
  | { kind: 'rented'; machines: string[] }
  | { kind: 'no-capacity' }
  /** Refused for now, or no answer: the same request may be sent again. */
  | { kind: 'unavailable' };

export type DeleteResult = { kind: 'deleted' } | { kind: 'unavailable' };

/**
 * A provider that knows tokens throws `StaleTokenError` for one that is lower than another that it has seen. One that
 * doesn't relies on intents: see docs/duties.md.
 */
export interface MachineProvider {
  /** Room for one more request now; takes it. */
  mayCall(): boolean;
  /** A repeated `request` rents nothing more and gives the same answer. */
  rent(permit: Permit, request: string, action: RentAction): Promise<RentResult>;
  /** Names that the provider does not know, or no longer, are passed over. */
  delete(permit: Permit, machines: readonly string[]): Promise<DeleteResult>;
}
