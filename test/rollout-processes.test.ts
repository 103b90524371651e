/** Three controller processes on loopback, replaced one at a time by another build while jobs are submitted. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { ControllerProcesses } from './sim/controller-processes.js';
import { segmentsIn } from './sim/rollout-invariants.js';

const NAMES = ['n0', 'n1', 'n2'];
// Timeouts long enough that no change of level is aborted on a fully loaded machine.
const AUTOMATIC = {
  mode: 'automatic',
  soak_s: 0.5,
  stall_s: 600,
  announcement_lease_s: 60,
} as const;
const SUBMISSION_INTERVAL_MS = 200;

let deployment: ControllerProcesses;

beforeEach(() => {
  deployment = new ControllerProcesses();
});

afterEach(() => deployment.stop());

/** Replaces a controller, and waits until it is healthy and some more jobs were accepted. */
async function replaceUnderLoad(name: string, build: 'old' | 'new'): Promise<void> {
  await deployment.replace(name, build);
  await deployment.untilHealthy(name);
  const accepted = deployment.users.latenciesMs.length;
  await deployment.until(
    'more jobs are accepted',
    () => deployment.users.latenciesMs.length >= accepted + 5,
  );
  deployment.users.checkHistory();
}

test('the level rises after the last upgrade, and a rolled-back controller is unhealthy until the level is lowered', async () => {
  await deployment.start('old', AUTOMATIC);
  void deployment.users.submitRegularly(SUBMISSION_INTERVAL_MS);
  for (const name of NAMES) {
    assert.equal(deployment.level.active, 1);
    await replaceUnderLoad(name, 'new');
  }
  await deployment.until('the level is raised', () => deployment.level.active === 2);
  const status = await deployment.runRolloutCommand('n0', 'status', '--json');
  assert.equal(status.code, 0);
  const { controllers } = JSON.parse(status.stdout) as {
    controllers: Record<string, { kind: string }>;
  };
  assert.deepEqual(
    Object.entries(controllers).map(([name, { kind }]) => [name, kind]),
    NAMES.map((name) => [name, 'announced']),
  );

  const large = deployment.users.run(
    deployment.users.newJob({ tasks: 2100, cpus: 0.25, memoryGb: 0.1, durationS: 8 }),
  );
  await deployment.until(
    'segments are stored',
    () => segmentsIn(deployment.services.state).length > 0,
  );
  await deployment.replace('n1', 'old');
  // A process that has not read the level yet is unhealthy for that reason first. It must not be healthy in between.
  await deployment.until('n1 is excluded by the level', async () => {
    const { status, text } = await deployment.health('n1');
    assert.ok(status === 0 || status === 503, `n1 responded with ${status}: ${text}`);
    return text.includes("the cluster's level is 2");
  });
  const text = await deployment.runRolloutCommand('n0', 'downgrade');
  assert.deepEqual(
    [text.code, text.stdout],
    [0, 'level 2, lowering -> 1: the leader goes on with it\n'],
  );
  await deployment.until('the level is lowered', () => deployment.level.active === 1);
  assert.deepEqual(segmentsIn(deployment.services.state), []);
  await deployment.untilHealthy('n1');
  await large;
  await deployment.users.stopSubmitting();
  deployment.users.checkHistory();
});

test('in an abandoned upgrade the level stays, commands are refused with a reason, and controllers can be rolled back', async () => {
  await deployment.start('old', { ...AUTOMATIC, mode: 'manual' });
  void deployment.users.submitRegularly(SUBMISSION_INTERVAL_MS);
  for (const name of ['n0', 'n1']) await replaceUnderLoad(name, 'new');
  const refused = await deployment.runRolloutCommand('n0', 'activate');
  assert.deepEqual([refused.code, refused.stdout], [3, '']);
  assert.match(refused.stderr, /^refused: n2 runs build 0\.0\.9, .*\n$/);
  const nothing = await deployment.runRolloutCommand('n2', 'abort', '--json');
  assert.deepEqual(
    [nothing.code, JSON.parse(nothing.stdout)],
    [3, { kind: 'refused', reason: 'nothing is being raised: the level is stable' }],
  );
  for (const args of [['dance'], [], ['status', '--loud']]) {
    const bad = await deployment.runRolloutCommand('n0', ...args);
    assert.deepEqual(
      [bad.code, bad.stdout, bad.stderr.split('\n').length],
      [2, '', 2],
      args.join(' '),
    );
  }
  for (const name of ['n0', 'n1']) await replaceUnderLoad(name, 'old');
  assert.deepEqual(deployment.level, { state: 'stable', active: 1 });
  await deployment.users.stopSubmitting();
  deployment.users.checkHistory();
});
