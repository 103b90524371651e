/** Events of a machine table for tests without a placement. */
import type { AttemptEvents } from '../../src/workers/attempt-lifecycle.js';

const ignore = (): void => undefined;

/** Ignores all events. */
export const IGNORED_ATTEMPT_EVENTS: AttemptEvents = {
  attemptAdded: ignore,
  fenceRequired: ignore,
  attemptEnded: ignore,
};
