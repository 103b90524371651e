/** Whatever requests and deletes machines, as the holder of a duty sees it. */
import type { Permit } from './permit.js';
import type { RentAction } from './records.js';

/**
 * - `rented`: the machines of the request; they may be fewer than asked for.
 * - `no-capacity`: the provider has none of this kind at the moment.
 * - `unavailable`: rejected for now, or no answer; the same request may be sent again.
 */
export type RentResult =
  { kind: 'rented'; machines: string[] } | { kind: 'no-capacity' } | { kind: 'unavailable' };

/** `deleted`: the machines and everything on them are gone. `unavailable`: may be sent again. */
export type DeleteResult = { kind: 'deleted' } | { kind: 'unavailable' };

/**
 * A provider that checks fencing tokens throws `StaleTokenError` for one that is lower than another that it has seen.
 * One that doesn't relies on intents: see docs/duties.md.
 */
export interface MachineProvider {
  /** Takes one call from the budget; false if none is left now. */
  tryAcquireCall(): boolean;
  /** A repeated `request` gets no further machines, but the same answer. */
  rent(permit: Permit, request: string, action: RentAction): Promise<RentResult>;
  /** Names that the provider does not know, or no longer, are passed over. */
  delete(permit: Permit, machines: readonly string[]): Promise<DeleteResult>;
}
