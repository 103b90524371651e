/** What older versions stored and sent. */
import { readFileSync } from 'node:fs';

interface Fixture {
  leader: unknown;
  items: Record<string, unknown>;
  frames: Record<string, string>;
}

/**
 * Records and messages as each older version wrote them when it was run in a simulated cluster. `e9643d1` does not
 * know gangs yet; `b746609` is the first version that does.
 */
export const OLDER_VERSIONS = ['e9643d1', 'b746609'].map((version) => ({
  version,
  ...(JSON.parse(readFileSync(`test/fixtures/${version}.json`, 'utf8')) as Fixture),
}));
/** The first of them. */
export const OLDEST_VERSION = OLDER_VERSIONS[0];
