/** A duty holder as a real process on loopback that is frozen until its lease has expired, and then continued. */
import assert from 'node:assert/strict';
import { type TestContext, test } from 'node:test';
import type { Duty } from '@millring/duties';
import { ControllerProcesses } from './sim/controller-processes.js';
import { DUTY, DutyProcesses } from './sim/duty-processes.js';

const NAMES = ['n0', 'n1', 'n2'];
/** Longer than a busy machine may stall processes, so that no holder loses a duty because of a stall. */
const LEASE_S = 5;
/** Longer than a busy machine may take to freeze a process that has just checked its lease. */
const SEND_DELAY_MS = 4000;

/** Starts controller processes and waits until one holds the duty. The processes are stopped when the test ends. */
async function startProcesses(
  context: TestContext,
  sendDelayMs: number,
): Promise<{ processes: DutyProcesses; initialHolder: string; token: number }> {
  const processes = new DutyProcesses();
  context.after(() => processes.stop());
  await processes.start(sendDelayMs, LEASE_S);
  const { controller, token } = processes.storedHolder()!;
  return { processes, initialHolder: controller, token };
}

/**
 * Waits until the former holder notices the loss of the duty. Asserts that none of its actions under `token` was
 * executed.
 */
async function expectFenced(
  processes: DutyProcesses,
  initialHolder: string,
  token: number,
): Promise<void> {
  await processes.until('the former holder notices the loss of the duty', () => {
    const states = processes.states(initialHolder);
    return states.indexOf('vacant', states.indexOf('lost')) > 0;
  });
  const stale = processes.provider.calls.filter(
    (call) => call.duty === DUTY && call.token === token,
  );
  assert.ok(stale.every((call) => !call.executed));
}

test('a holder process frozen before it checks its lease starts no action after its successor has acted', async (context) => {
  const { processes, initialHolder, token } = await startProcesses(context, 0);
  processes.signal(initialHolder, 'SIGSTOP');
  processes.storeDeletionIntent('i-1', 'm-1');
  await processes.untilReplaced(initialHolder, token);
  await processes.until('the intent is done', () => processes.isDone('i-1'));
  processes.signal(initialHolder, 'SIGCONT');
  processes.storeDeletionIntent('i-2', 'm-2');
  await processes.until('the next intent is done', () => processes.isDone('i-2'));
  await expectFenced(processes, initialHolder, token);
  assert.equal(processes.checkCount(initialHolder), 0);
});

test('a request of a holder process frozen between the lease check and the request is rejected as stale once it continues', async (context) => {
  const { processes, initialHolder, token } = await startProcesses(context, SEND_DELAY_MS);
  processes.storeDeletionIntent('i-1', 'm-1');
  await processes.until('the lease check is passed', () => processes.checkCount(initialHolder) > 0);
  processes.signal(initialHolder, 'SIGSTOP');
  assert.equal(processes.provider.calls.length, 0);
  await processes.untilReplaced(initialHolder, token);
  await processes.until('the intent is done', () => processes.isDone('i-1'));
  assert.ok((processes.intent('i-1')?.token ?? 0) > token);
  processes.signal(initialHolder, 'SIGCONT');
  await processes.until(
    'a request of the former holder is rejected as stale',
    () => processes.provider.refused().length > 0,
  );
  await expectFenced(processes, initialHolder, token);
});

test('a request in flight of a frozen holder process is rejected as stale after the takeover, and its result is not stored', async (context) => {
  const { processes, initialHolder, token } = await startProcesses(context, 0);
  let release: () => void = () => undefined;
  const untilReleased = new Promise<void>((done) => (release = done));
  let arrived = 0;
  processes.provider.delay = () => (arrived++ === 0 ? untilReleased : Promise.resolve());
  processes.storeDeletionIntent('i-1', 'm-1');
  await processes.until('the request has arrived', () => arrived > 0);
  processes.signal(initialHolder, 'SIGSTOP');
  await processes.untilReplaced(initialHolder, token);
  await processes.until('the intent is done', () => processes.isDone('i-1'));
  release();
  await processes.until(
    'the late request is rejected as stale',
    () => processes.provider.refused().length > 0,
  );
  processes.signal(initialHolder, 'SIGCONT');
  await expectFenced(processes, initialHolder, token);
  assert.ok((processes.intent('i-1')?.token ?? 0) > token);
});

/** Timeouts long enough that no change of the feature level is aborted on a fully loaded machine. */
const ROLLOUT = {
  mode: 'automatic',
  soak_s: 0.5,
  stall_s: 600,
  announcement_lease_s: 60,
  ungated_builds_retired: true,
} as const;
const DUTY_SETTINGS = { mode: 'on', lease_s: LEASE_S, settle_s: 2, retention_s: 10 } as const;
const DUTIES_LEVEL = 3;

interface StatusOutput {
  duties: { duty: Duty; holder: { controller: string } | null; token: number }[];
}

async function statusOf(
  deployment: ControllerProcesses,
  from: string,
): Promise<StatusOutput['duties']> {
  const output = await deployment.duties(from, 'status', '--json');
  assert.equal(output.code, 0, output.stderr);
  return (JSON.parse(output.stdout) as StatusOutput).duties;
}

test('under continuous submissions a frozen holder is replaced, and operators can block a duty and unblock it', async (context) => {
  const deployment = new ControllerProcesses();
  context.after(() => deployment.stop());
  await deployment.start('latest', ROLLOUT, DUTY_SETTINGS);
  void deployment.users.stream(300);
  await deployment.until('the level is raised', () => deployment.level.active === DUTIES_LEVEL);
  const rentDutyStatus = async (from: string): Promise<StatusOutput['duties'][number]> =>
    (await statusOf(deployment, from)).find(({ duty }) => duty === 'rent') ?? assert.fail();
  await deployment.until(
    'the duty is held',
    async () => (await rentDutyStatus('n0')).holder !== null,
  );
  const initial = await rentDutyStatus('n0');
  const holder = initial.holder?.controller ?? assert.fail();
  deployment.signal(holder, 'SIGSTOP');
  const from = NAMES.find((name) => name !== holder) ?? assert.fail();
  await deployment.until('a successor holds the duty', async () => {
    const now = await rentDutyStatus(from);
    return now.token > initial.token && now.holder !== null && now.holder.controller !== holder;
  });
  deployment.signal(holder, 'SIGCONT');
  await deployment.untilHealthy(holder);

  const hold = await deployment.duties(from, 'hold', 'return');
  assert.deepEqual([hold.code, hold.stdout], [0, 'return is on hold\n']);
  const again = await deployment.duties(from, 'hold', 'return');
  assert.deepEqual([again.code, again.stderr], [3, 'refused: return is on hold already\n']);
  assert.match(
    (await deployment.duties(from, 'status')).stdout,
    /^return: on hold by operator-\S+, token \d+/m,
  );
  const release = await deployment.duties(from, 'release', 'return');
  assert.deepEqual([release.code, release.stdout], [0, 'return may be held again\n']);
  for (const args of [[], ['dance'], ['hold'], ['hold', 'dance'], ['status', '--loud']]) {
    const bad = await deployment.duties(from, ...args);
    assert.deepEqual(
      [bad.code, bad.stdout, bad.stderr.split('\n').length],
      [2, '', 2],
      args.join(' '),
    );
  }
  await deployment.users.endStream();
  deployment.users.checkHistory();
});
