/**
 * Tests that are known to fail because of a fault that is not fixed yet. They run with all other tests. The verdict
 * ignores only their failures, and a listed test that no longer fails is a problem.
 */

/** A line `TEST | COMMAND | OBSERVED | ISSUE` of KNOWN-RED.txt, in which TEST is `FILE > TITLE`. */
export interface KnownFailure {
  test: string;
  /** The command that reproduces the failure, with the seed if there is one. */
  command: string;
  observed: string;
  issue: string;
}

export type KnownFailureList =
  { kind: 'read'; entries: KnownFailure[] } | { kind: 'malformed'; line: number; reason: string };

/** Result of a top-level test; `test` is `FILE > TITLE`. */
export interface TestResult {
  test: string;
  passed: boolean;
}

export interface Verdict {
  /** Listed tests that failed as expected. */
  knownFailures: KnownFailure[];
  /** Reasons why the run fails; empty if it passes. */
  problems: string[];
}

/** Maximum number of known failures; a longer list is malformed. */
export const MAX_ENTRIES = 3;

const FIELDS = 4;
const TEST_PATTERN = /^\S+\.test\.ts > \S/;

/** Parses the text of KNOWN-RED.txt. Empty lines are ignored. */
export function parseKnownFailures(text: string): KnownFailureList {
  const entries: KnownFailure[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue;
    const malformed = (reason: string): KnownFailureList => ({
      kind: 'malformed',
      line: index + 1,
      reason,
    });
    const fields = line.split('|').map((field) => field.trim());
    if (fields.length !== FIELDS || fields.includes(''))
      return malformed('expected TEST | COMMAND | OBSERVED | ISSUE');
    const [test, command, observed, issue] = fields;
    if (!TEST_PATTERN.test(test)) return malformed('expected FILE.test.ts > TITLE as the test');
    if (entries.some((entry) => entry.test === test)) return malformed('listed twice');
    if (entries.length >= MAX_ENTRIES) return malformed(`more than ${MAX_ENTRIES} entries`);
    entries.push({ test, command, observed, issue });
  }
  return { kind: 'read', entries };
}

/** The run fails if a test fails that is not listed, if a listed test passes or did not run, or if no test ran. */
export function evaluateResults(results: TestResult[], entries: KnownFailure[]): Verdict {
  const failed = new Set(results.filter((result) => !result.passed).map((result) => result.test));
  const listed = new Set(entries.map((entry) => entry.test));
  const problems: string[] = [];
  if (results.length === 0) problems.push('no test ran');
  for (const test of failed) if (!listed.has(test)) problems.push(`failed: ${test}`);
  const knownFailures: KnownFailure[] = [];
  for (const entry of entries) {
    if (failed.has(entry.test)) knownFailures.push(entry);
    else if (results.some((result) => result.test === entry.test))
      problems.push(`listed as known red, but passes: ${entry.test}`);
    else problems.push(`listed as known red, but did not run: ${entry.test}`);
  }
  return { knownFailures, problems };
}
