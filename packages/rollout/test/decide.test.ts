/** Tests of the leader's next step, and of which controllers count as announced. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type LevelEvent, advance } from '../src/cluster-level.js';
import { type DecisionInput, decide, obstacleToRaise } from '../src/decide.js';
import { type Build, type Feature, FeatureRegistry, FeatureRegistryError } from '../src/levels.js';
import {
  type Announcement,
  type ClusterLevel,
  INITIAL_LEVEL,
  LEVEL_KEY,
  announcementKey,
  incarnationKey,
} from '../src/records.js';
import type { RolloutSettings } from '../src/settings.js';
import type { KeyValue } from '@millring/state-access';
import { type ClusterView, readView } from '../src/view.js';

const NAMES = ['n0', 'n1', 'n2'];
const SETTINGS: RolloutSettings = {
  mode: 'automatic',
  soak_s: 10,
  stall_s: 60,
  restarts: 3,
  announcement_lease_s: 15,
  ungated_builds_retired: false,
};

function feature(level: number, overrides: Partial<Feature> = {}): Feature {
  const covers = { records: [], messages: [], decisions: [] };
  return {
    name: `f${level}`,
    level,
    covers,
    withoutLevels: 'harmless',
    reversible: true,
    ...overrides,
  };
}

const REGISTRY = new FeatureRegistry([feature(2), feature(3)]);

const build = (to: number, from = 1): Build => ({
  version: `v${to}`,
  reads: { from, to },
  writes: to,
});

/** The stored records of the rollout. Tests can change each of them. */
class Records {
  private readonly values = new Map<string, unknown>();
  level: ClusterLevel = INITIAL_LEVEL;

  constructor(builds: Build[]) {
    NAMES.forEach((name, i) => {
      this.announce(name, builds[i]);
    });
  }

  announce(
    name: string,
    announcedBuild: Build,
    overrides: Partial<Announcement> & object = {},
  ): this {
    const announcement = {
      controller: name,
      incarnation: 1,
      process: `${name}-p1`,
      build: announcedBuild,
      acknowledged: this.level.change,
      ...overrides,
    };
    const { incarnation, process } = announcement;
    this.values.set(announcementKey(name), announcement);
    this.values.set(incarnationKey(name), { incarnation, process });
    return this;
  }

  put(key: string, value: unknown): this {
    this.values.set(key, value);
    return this;
  }

  remove(key: string): this {
    this.values.delete(key);
    return this;
  }

  view(processes = new Map<string, string>()): ClusterView {
    const pairs: KeyValue[] = [...this.values].map(([key, value], i) => ({
      key,
      value,
      version: i + 1,
    }));
    pairs.push({ key: LEVEL_KEY, value: this.level, version: 99 });
    const result = readView(pairs, NAMES, processes);
    assert.ok(result.kind === 'valid');
    return result.view;
  }

  decisionInput(overrides: Partial<DecisionInput> = {}): DecisionInput {
    return {
      view: this.view(),
      registry: REGISTRY,
      settings: SETTINGS,
      by: 'n0',
      wallMs: 1000,
      capableForMs: 0,
      conversion: { kind: 'done' },
      ...overrides,
    };
  }

  /** Applies the decision and lets every controller acknowledge it. Returns the type of the event, or `wait`. */
  applyDecision(
    builds: Build[],
    overrides: Partial<DecisionInput> = {},
  ): LevelEvent['type'] | 'wait' {
    const decision = decide(this.decisionInput({ capableForMs: 20_000, ...overrides }));
    if (decision.kind === 'wait') return 'wait';
    const next = advance(this.level, decision.event);
    assert.ok(next.kind === 'changed');
    this.level = next.level;
    NAMES.forEach((name, i) => this.announce(name, builds[i]));
    return decision.event.type;
  }
}

const sameBuild = (sharedBuild: Build): Build[] => NAMES.map(() => sharedBuild);

test('a controller that has not announced its current incarnation is missing, with the reason', () => {
  const reason = (records: Records, processes?: Map<string, string>): string => {
    const view = records.view(processes).controllers.get('n1');
    return view?.kind === 'missing' ? view.reason : 'announced';
  };
  const records = (): Records => new Records(sameBuild(build(2)));
  assert.equal(reason(records()), 'announced');
  assert.match(reason(records().remove(announcementKey('n1'))), /not announced/);
  assert.match(reason(records().remove(incarnationKey('n1'))), /incarnation is not stored/);
  const newer = { incarnation: 2, process: 'n1-p2' };
  assert.match(reason(records().put(incarnationKey('n1'), newer)), /earlier incarnation/);
  assert.match(reason(records().announce('n1', build(2), { controller: 'n0' })), /names n0/);
  const backwards = { version: 'x', reads: { from: 3, to: 2 }, writes: 2 };
  assert.match(reason(records().announce('n1', backwards)), /malformed/);
  assert.match(reason(records().announce('n1', { ...build(2), writes: 7 })), /malformed/);
  // A build without feature levels also reports its process, but never announces itself.
  assert.match(reason(records(), new Map([['n1', 'n1-p2']])), /another process/);
  const more = { later: 1, build: { ...build(2), colour: 'red' } };
  assert.equal(reason(records().announce('n1', build(2), more)), 'announced');
});

test('levels are raised one at a time, even if the builds skip one', () => {
  const builds = sameBuild(build(3));
  const records = new Records(builds);
  const events = Array.from({ length: 7 }, () => records.applyDecision(builds));
  const raise = ['propose', 'acknowledged', 'acknowledged'];
  assert.deepEqual(events, [...raise, ...raise, 'wait']);
  assert.equal(records.level.active, 3);
});

test('a second rollout that starts during the first does not disturb it', () => {
  const builds = sameBuild(build(2));
  const records = new Records(builds);
  assert.equal(records.applyDecision(builds), 'propose');
  builds[2] = build(3);
  assert.equal(records.applyDecision(builds), 'acknowledged');
  assert.equal(records.applyDecision(builds), 'acknowledged');
  assert.equal(records.level.active, 2);
  assert.equal(records.applyDecision(builds), 'wait');
});

test('the level is not raised while soaking, held or in manual mode; a changed build ends the hold', () => {
  const records = new Records(sameBuild(build(2)));
  assert.equal(decide(records.decisionInput({ capableForMs: 9000 })).kind, 'wait');
  const manual = { ...SETTINGS, mode: 'manual' as const };
  assert.equal(decide(records.decisionInput({ capableForMs: 1e6, settings: manual })).kind, 'wait');
  const builds = { n0: 'v2 (reads 1 to 2, writes 2)' };
  records.level = {
    ...INITIAL_LEVEL,
    held: { target: 2, builds: { ...builds, n1: builds.n0, n2: builds.n0 }, reason: 'r' },
  };
  assert.equal(decide(records.decisionInput({ capableForMs: 1e6 })).kind, 'wait');
  // A missing controller does not count as changed.
  records.remove(announcementKey('n2'));
  assert.equal(decide(records.decisionInput({ capableForMs: 1e6 })).kind, 'wait');
  records.announce('n2', build(3));
  const released = decide(records.decisionInput({ capableForMs: 1e6 }));
  assert.ok(released.kind === 'advance' && released.event.type === 'release');
});

test('a feature that builds without feature levels would misread is not proposed until such builds are retired', () => {
  const registry = new FeatureRegistry([feature(2, { withoutLevels: 'unsafe' })]);
  const view = new Records(sameBuild(build(2))).view();
  assert.match(obstacleToRaise(view, registry, SETTINGS) ?? '', /misread/);
  assert.equal(
    obstacleToRaise(view, registry, { ...SETTINGS, ungated_builds_retired: true }),
    null,
  );
  assert.match(obstacleToRaise(view, new FeatureRegistry([]), SETTINGS) ?? '', /no feature/);
});

test('lowering is abandoned if a controller cannot read the target, records cannot be converted or it stalls', () => {
  const builds = sameBuild(build(2));
  const records = new Records(builds);
  const lowering: ClusterLevel = {
    ...INITIAL_LEVEL,
    state: 'lowering',
    active: 2,
    target: 1,
    change: 4,
    sinceMs: 900,
  };
  records.level = lowering;
  for (const name of NAMES) records.announce(name, build(2));
  const keepReason = (overrides: Partial<DecisionInput>): string => {
    const decision = decide(records.decisionInput(overrides));
    return decision.kind === 'advance' && decision.event.type === 'keep'
      ? decision.event.reason
      : '';
  };
  assert.equal(keepReason({ conversion: { kind: 'refused', reason: 'too large' } }), 'too large');
  assert.equal(
    decide(records.decisionInput({ conversion: { kind: 'running', remaining: 3 } })).kind,
    'wait',
  );
  records.announce('n1', build(3, 2));
  assert.match(keepReason({ view: records.view() }), /n1 runs build v3/);
  records.remove(announcementKey('n1'));
  assert.equal(decide(records.decisionInput({ wallMs: 50_000 })).kind, 'wait');
  assert.match(keepReason({ wallMs: 70_000 }), /no progress for 60 s: n1/);
});

test('features are registered once and above the base level, and an unregistered name is refused', () => {
  assert.throws(() => new FeatureRegistry([feature(2), feature(2)]), FeatureRegistryError);
  assert.throws(() => new FeatureRegistry([feature(1)]), FeatureRegistryError);
  assert.throws(() => REGISTRY.get('nothing'), FeatureRegistryError);
  const oneWay = new FeatureRegistry([feature(2), feature(3, { reversible: false })]);
  assert.deepEqual(
    oneWay.irreversibleBetween(1, 3).map((each) => each.name),
    ['f3'],
  );
  assert.deepEqual(oneWay.irreversibleBetween(1, 2), []);
});
