/** Platform settings and operators' settings: parsing, validation, defaults, and the derived cost policy. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { defaultOperatorSettings, readOperatorSettings } from '../src/settings/operator.js';
import { shouldMinimizeCost } from '../src/settings/cost-policy.js';
import { readPlatformSettings } from '../src/settings/platform.js';
import { SettingsError } from '../src/settings/settings-table.js';

const GOOD = `
node_name = "n0"
location = "a"
listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
unknown = true
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
nodes = 3
[[params.teams]]
name = "t"
cpus = 4.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 2.0
[params.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[params.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 5.0
list_lag_s = 3.0
[params.machine_limits]
sockets = 1000
`;

test('platform settings: unknown fields are ignored, a maximum of 0 means no limit, and errors name the field', () => {
  const settings = readPlatformSettings(GOOD);
  assert.deepEqual([settings.teams[0].cpusMax, settings.teams[0].gpusMax], [Infinity, 2]);
  const assertRejected = (from: string, to: string, name: RegExp): void => {
    assert.throws(
      () => readPlatformSettings(GOOD.replace(from, to)),
      (e) => e instanceof SettingsError && name.test(e.message),
    );
  };
  assertRejected('listen = "127.0.0.1:8080"', '', /^listen/);
  assertRejected('lease_s = 10.0', 'lease_s = "x"', /^params\.workers\.lease_s/);
  assertRejected('cloud = "127.0.0.1:1"', 'cloud = "nowhere"', /^outside\.cloud/);
  assertRejected('node_name = "n0"', 'node_name = ', /^not TOML/);
});

test('of the current and the next limits of the state service, the stricter ones apply from the start', () => {
  const limits = (next: string): number[] => {
    const settings = readPlatformSettings(
      GOOD.replace('[params.cloud]', `${next}\n[params.cloud]`),
    );
    return [
      settings.stateRequestsPerS,
      settings.stateWritesPerS,
      settings.maxValueKb,
      settings.maxTransactionOps,
    ];
  };
  assert.deepEqual(limits(''), [100, 20, 4, 12]);
  assert.deepEqual(
    limits('[params.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4'),
    [100, 15, 2, 4],
  );
  assert.deepEqual(limits('[params.state.next]\nvalue_kb = 16.0\nrps = 90'), [90, 20, 4, 12]);
  assert.throws(() => limits('[params.state.next]\ntxn_ops = "x"'), /params\.state\.next\.txn_ops/);
});

test("operators' settings: defaults apply, unknown fields are rejected, and deployments are selected by location", () => {
  const plain = readOperatorSettings({ round_s: 5 });
  assert.ok(
    plain.kind === 'valid' && plain.settings.round_s === 5 && plain.settings.slowness_ratio === 1.5,
  );
  const rejectionReason = (input: unknown, location?: string): string => {
    const read = readOperatorSettings(input, location);
    return read.kind === 'invalid' ? read.reason : 'accepted';
  };
  assert.match(rejectionReason({ rounds: 5 }), /^rounds: unknown field/);
  assert.match(rejectionReason({ round_s: 0 }), /^round_s/);
  assert.match(rejectionReason({ duties: { mode: 'sometimes' } }), /^duties\/mode: /);
  assert.match(rejectionReason({ duties: { held_here: ['dance'] } }), /^duties\/held_here\/0: /);
  const file = { deployments: [{ locations: ['a'], settings: { money: 'counts' } }] };
  const money = (location: string): unknown => {
    const read = readOperatorSettings(file, location);
    return read.kind === 'invalid' ? read.reason : read.settings.money;
  };
  assert.deepEqual([money('a'), money('b')], ['counts', 'objectives']);
  const bad = { deployments: [{ locations: ['a'], settings: { round: 1 } }] };
  assert.match(rejectionReason(bad, 'b'), /^deployments\/0\/settings\/round: unknown field/);
});

test('cost is minimized if there is a price objective or no guarantee, and operators can override both', () => {
  const guaranteed = readPlatformSettings(GOOD);
  const unguaranteed = readPlatformSettings(GOOD.replace('cpus = 4.0', 'cpus = 0.0'));
  const priced = readPlatformSettings(GOOD + '[[params.objectives]]\nkind = "price"\nmost = 2.0\n');
  const counts = (p: typeof unguaranteed, money: 'objectives' | 'counts' | 'free'): boolean =>
    shouldMinimizeCost(p, { ...defaultOperatorSettings(), money });
  assert.deepEqual(
    [guaranteed, unguaranteed, priced].map((p) => counts(p, 'objectives')),
    [false, true, true],
  );
  assert.deepEqual([counts(guaranteed, 'counts'), counts(unguaranteed, 'free')], [true, false]);
});
