/** Tests of the state machine of the cluster's feature level. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type FeatureMode, type LevelEvent, advance, modeOf } from '../src/cluster-level.js';
import type { Feature } from '../src/levels.js';
import { type ClusterLevel, INITIAL_LEVEL, parseClusterLevel } from '../src/records.js';

const STAMP = { by: 'n0', atMs: 1000 };
const BUILDS = { n0: 'a' };
const START = { n0: { incarnation: 1, build: 'a' } };

const EVENTS: LevelEvent[] = [
  { ...STAMP, type: 'propose', startedWith: START },
  { ...STAMP, type: 'acknowledged' },
  { ...STAMP, type: 'abort', reason: 'r', builds: BUILDS },
  { ...STAMP, type: 'aborted' },
  { ...STAMP, type: 'lower', target: 1, reason: 'r' },
  { ...STAMP, type: 'lower', target: 2, reason: 'r' },
  { ...STAMP, type: 'converted', builds: BUILDS },
  { ...STAMP, type: 'keep', reason: 'r' },
  { ...STAMP, type: 'release' },
];

const feature = (level: number): Feature => ({
  name: `f${level}`,
  level,
  covers: { records: [], messages: [], decisions: [] },
  withoutLevels: 'harmless',
  reversible: true,
});

const RANK: Record<FeatureMode, number> = { off: 0, tolerated: 1, on: 2 };

function expectChanged(level: ClusterLevel, event: LevelEvent): ClusterLevel {
  const next = advance(level, event);
  assert.ok(next.kind === 'changed');
  return next.level;
}

test('each allowed event yields a valid record, increments its change number and moves features by at most one mode', () => {
  fc.assert(
    fc.property(fc.array(fc.constantFrom(...EVENTS), { maxLength: 60 }), (events) => {
      let level = INITIAL_LEVEL;
      for (const event of events) {
        const next = advance(level, event);
        if (next.kind === 'refused') continue;
        assert.equal(parseClusterLevel(next.level).kind, 'valid', JSON.stringify(next.level));
        assert.equal(next.level.change, level.change + 1);
        for (const testedFeature of [2, 3, 4].map(feature)) {
          const step = Math.abs(
            RANK[modeOf(testedFeature, next.level)] - RANK[modeOf(testedFeature, level)],
          );
          assert.ok(step <= 1, `${level.state} -> ${next.level.state}: ${testedFeature.name}`);
        }
        level = next.level;
      }
    }),
    { seed: 5, numRuns: 400 },
  );
});

test('raising the level takes two acknowledgements, and the feature is not on before the second', () => {
  const preparing = expectChanged(INITIAL_LEVEL, EVENTS[0]);
  const activating = expectChanged(preparing, EVENTS[1]);
  const raised = expectChanged(activating, EVENTS[1]);
  const modes = [preparing, activating, raised].map((level) => modeOf(feature(2), level));
  assert.deepEqual(modes, ['off', 'tolerated', 'on']);
  assert.deepEqual([raised.state, raised.active, raised.target], ['stable', 2, null]);
  assert.equal(advance(raised, EVENTS[1]).kind, 'refused');
});

test('aborting a raise keeps the level and stores the reason and the last builds of missing controllers', () => {
  const startedWith = { n0: { incarnation: 1, build: 'a' }, n1: { incarnation: 4, build: 'b' } };
  const preparing = expectChanged(INITIAL_LEVEL, { ...STAMP, type: 'propose', startedWith });
  const aborting = expectChanged(preparing, {
    ...STAMP,
    type: 'abort',
    reason: 'n1 is away',
    builds: { n0: 'a2' },
  });
  const stable = expectChanged(aborting, { ...STAMP, type: 'aborted' });
  assert.deepEqual([stable.state, stable.active, stable.reason], ['stable', 1, 'n1 is away']);
  assert.deepEqual(stable.held, { target: 2, builds: { n0: 'a2', n1: 'b' }, reason: 'n1 is away' });
});

test('a proposal or a lowering during another change is refused with a reason that names that change', () => {
  const preparing = expectChanged(INITIAL_LEVEL, EVENTS[0]);
  for (const event of [EVENTS[0], EVENTS[4]]) {
    const refused = advance(preparing, event);
    assert.deepEqual(refused, {
      kind: 'refused',
      reason: 'a change is under way: preparing 1 -> 2',
    });
  }
});

test('records with contradictory or invalid fields are rejected, and unknown fields are accepted', () => {
  const good = expectChanged(INITIAL_LEVEL, EVENTS[0]);
  const wrong: object[] = [
    { ...good, target: null },
    { ...good, target: 3 },
    { ...good, state: 'stable' },
    { ...good, state: 'lowering' },
    { ...good, state: 'dreaming' },
    { ...good, active: 0 },
    { ...good, change: -1 },
    { ...good, held: 'yes' },
  ];
  for (const record of wrong)
    assert.equal(parseClusterLevel(record).kind, 'invalid', JSON.stringify(record));
  const more = parseClusterLevel({ ...good, later: { deep: 1 } });
  assert.ok(more.kind === 'valid');
});
