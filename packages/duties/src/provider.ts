/** Interface through which the holder of a duty requests and deletes machines. */
import type { Permit } from './permit.js';
import type { RentAction } from './records.js';

/**
 * The result of a request for machines.
 *
 * - `rented`: the machines rented for the request, possibly fewer than requested.
 * - `no-capacity`: the provider currently has no machines of this kind.
 * - `unavailable`: temporarily rejected, or no response; the same request may be repeated.
 */
export type RentResult =
  { kind: 'rented'; machines: string[] } | { kind: 'no-capacity' } | { kind: 'unavailable' };

/**
 * The result of a deletion. `deleted`: the machines and everything on them no longer exist. `unavailable`: the request
 * may be repeated.
 */
export type DeleteResult = { kind: 'deleted' } | { kind: 'unavailable' };

/**
 * A provider that checks fencing tokens throws `StaleTokenError` for a token lower than the highest that it has seen.
 * With a provider that doesn't check them, safety relies on intents: see docs/duties.md.
 */
export interface MachineProvider {
  /** Takes one call from the call budget. Returns false if none is left at the moment. */
  tryAcquireCall(): boolean;
  /**
   * Rents machines. Repeating a request with the same `requestId` rents no further machines and returns the same
   * response.
   */
  rent(permit: Permit, requestId: string, action: RentAction): Promise<RentResult>;
  /** Deletes the machines with these ids. Ids that the provider does not know, or no longer knows, are ignored. */
  delete(permit: Permit, machines: readonly string[]): Promise<DeleteResult>;
}
