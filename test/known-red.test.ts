/** Evaluation of known failures: they must not hide another failure, nor a listed test that passes again. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type KnownRedEntry,
  MAX_ENTRIES,
  evaluateResults,
  readKnownRed,
} from './runner/known-red.js';

const LISTED: KnownRedEntry = {
  test: 'test/a.test.ts > breaks',
  command: 'npm test, seed 7',
  observed: 'a task ran twice',
  issue: 'issue 1',
};
const line = (name: string): string => `test/${name}.test.ts > title | npm test | seen | issue 1`;

test('a list is read, and empty lines are ignored', () => {
  assert.deepEqual(readKnownRed(''), { kind: 'read', entries: [] });
  assert.deepEqual(
    readKnownRed('\ntest/a.test.ts > breaks | npm test, seed 7 | a task ran twice | issue 1\n'),
    {
      kind: 'read',
      entries: [LISTED],
    },
  );
});

test('malformed, repeated and excess lines are rejected with their line number', () => {
  for (const text of [
    'test/a.test.ts > t | npm test | seen',
    'test/a.test.ts > t | npm test | | issue 1',
    'test/a.test.ts > t | | seen | issue 1',
    'a title | npm test | seen | issue 1',
  ])
    assert.equal(readKnownRed(text).kind, 'malformed', text);
  const repeated = readKnownRed([line('a'), line('a')].join('\n'));
  assert.deepEqual(repeated, { kind: 'malformed', line: 2, reason: 'listed twice' });
  const names = Array.from({ length: MAX_ENTRIES + 1 }, (_, i) => line(`n${i}`));
  const tooMany = readKnownRed(names.join('\n'));
  assert.ok(tooMany.kind === 'malformed' && tooMany.line === MAX_ENTRIES + 1);
  assert.equal(readKnownRed(names.slice(0, MAX_ENTRIES).join('\n')).kind, 'read');
});

test('the failure of a listed test is tolerated, and any other failure is not', () => {
  const ok = { test: 'test/a.test.ts > fine', passed: true };
  const listedFailure = { test: LISTED.test, passed: false };
  assert.deepEqual(evaluateResults([ok, listedFailure], [LISTED]), {
    knownRed: [LISTED],
    problems: [],
  });
  const otherFailure = { test: 'test/b.test.ts > breaks', passed: false };
  assert.deepEqual(evaluateResults([listedFailure, otherFailure], [LISTED]).problems, [
    'failed: test/b.test.ts > breaks',
  ]);
  assert.deepEqual(evaluateResults([ok, listedFailure], []).problems, [`failed: ${LISTED.test}`]);
});

test('a listed test that passes or did not run fails the run, and so does a run without tests', () => {
  const passes = evaluateResults([{ test: LISTED.test, passed: true }], [LISTED]);
  assert.deepEqual(passes.problems, [`listed as known red, but passes: ${LISTED.test}`]);
  const missing = evaluateResults([{ test: 'test/a.test.ts > fine', passed: true }], [LISTED]);
  assert.deepEqual(missing.problems, [`listed as known red, but did not run: ${LISTED.test}`]);
  assert.deepEqual(evaluateResults([], []).problems, ['no test ran']);
});
