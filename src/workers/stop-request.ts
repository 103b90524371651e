/**
 * Stop requests of attempts, and which request replaces an earlier one. A request may only become stricter: a worker
 * that was told to stop at once has ended the task, and one whose job is cancelled must not be left the time to save.
 */
import { type StopReason, discardsProgress } from './stop-reason.js';

/** Why and how an attempt is to be stopped. */
export interface StopRequest {
  /** Time that the task has to save its state, in seconds. 0: it exits at once, even while it saves. */
  readonly graceS: number;
  readonly reason: StopReason;
  /**
   * Only for a gang that has not begun to run: this task alone is stopped, and started again under the same attempt
   * number.
   */
  readonly replaced: boolean;
}

/** The effect of a request to stop an attempt. */
export type StopOutcome =
  /** The start was never sent, so the attempt was removed. */
  | { readonly kind: 'never-sent' }
  /** The pending request is at least as strict, so it stays as it is. */
  | { readonly kind: 'unchanged' }
  /** There was no pending request. */
  | { readonly kind: 'requested'; readonly request: StopRequest }
  /** `request` has replaced the pending request `earlier`. */
  | {
      readonly kind: 'tightened';
      readonly request: StopRequest;
      readonly earlier: StopRequest;
    };

const UNCHANGED: StopOutcome = { kind: 'unchanged' };

/**
 * Decides what a new request makes of the pending one:
 *
 * - Without a pending request, the new one applies as it is.
 * - If the new reason makes the task's progress useless, the task gets no time to save, whatever it had before.
 * - For all other reasons a task keeps the time that it has to save: to shorten it would lose its progress and gain
 *   nothing, since the task is leaving anyway. A task without time to save gets none later.
 * - A request to stop a whole gang overrides one to replace a single task of it.
 */
export function combineStops(pending: StopRequest | null, next: StopRequest): StopOutcome {
  const graceS = discardsProgress(next.reason) ? 0 : next.graceS;
  if (pending === null) return { kind: 'requested', request: { ...next, graceS } };
  const isShorter = discardsProgress(next.reason) && pending.graceS > 0;
  const endsReplacement = pending.replaced && !next.replaced;
  if (!isShorter && !endsReplacement) return UNCHANGED;
  const request: StopRequest = {
    graceS: isShorter ? 0 : pending.graceS,
    reason: next.reason,
    replaced: pending.replaced && next.replaced,
  };
  return { kind: 'tightened', request, earlier: pending };
}
