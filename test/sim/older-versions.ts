/** Records that older versions stored, and messages that they sent. */
import { readFileSync } from 'node:fs';

interface Fixture {
  leader: unknown;
  items: Record<string, unknown>;
  frames: Record<string, string>;
}

/**
 * Records and messages that each older version wrote when it was run in a simulated cluster. `e9643d1` does not support
 * gangs yet; `b746609` is the first version that does.
 */
export const OLDER_VERSIONS = ['e9643d1', 'b746609'].map((version) => ({
  version,
  ...(JSON.parse(readFileSync(`test/fixtures/${version}.json`, 'utf8')) as Fixture),
}));
/** The first of these versions. */
export const OLDEST_VERSION = OLDER_VERSIONS[0];
