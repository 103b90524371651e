/** The pause between two attempts to reach the state service. */
import { type Environment, sleep } from '@millring/state-access';

/** Shortest pause in milliseconds; the longest is twice as long. */
export const MIN_PAUSE_MS = 300;

/** Waits for a random time so that the controllers do not retry at the same time. */
export function pause(environment: Environment): Promise<void> {
  return sleep(environment, MIN_PAUSE_MS * (1 + environment.random()));
}
