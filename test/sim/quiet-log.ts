/** A log that writes nothing. */
import type { Log } from '../../src/runtime.js';

/** For tests that look at what is done and not at what is written about it. */
export const quietLog: Log = {
  info: () => undefined,
  debug: () => undefined,
  error: () => undefined,
};
