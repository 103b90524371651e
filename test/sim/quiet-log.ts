/** A log that writes nothing. */
import type { Log } from '../../src/runtime.js';

/** For tests that check behavior and not log output. */
export const quietLog: Log = {
  info: () => undefined,
  debug: () => undefined,
  error: () => undefined,
};
