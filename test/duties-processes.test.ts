/** A duty holder as a real process on loopback that is suspended until its lease has expired, and then continued. */
import assert from 'node:assert/strict';
import { type TestContext, test } from 'node:test';
import type { Duty } from '@millring/duties';
import { ControllerProcesses } from './sim/controller-processes.js';
import { DUTY, DutyProcesses } from './sim/duty-processes.js';

const NAMES = ['n0', 'n1', 'n2'];
/** Longer than a busy machine may stall processes, so that no holder loses a duty because of a stall. */
const LEASE_S = 5;
/** Longer than a busy machine may take to suspend a process that has just passed the check. */
const BEFORE_SENDING_MS = 4000;

/** Starts controller processes and waits until one holds the duty. The processes are stopped when the test ends. */
async function startProcesses(
  context: TestContext,
  beforeSendingMs: number,
): Promise<{ processes: DutyProcesses; old: string; token: number }> {
  const processes = new DutyProcesses();
  context.after(() => processes.stop());
  await processes.start(beforeSendingMs, LEASE_S);
  const { controller, token } = processes.storedHolder()!;
  return { processes, old: controller, token };
}

/** Waits until the old holder notices the loss of the duty. Asserts that all its actions under `token` were refused. */
async function expectFenced(processes: DutyProcesses, old: string, token: number): Promise<void> {
  await processes.until('the old holder notices the loss of the duty', () => {
    const states = processes.states(old);
    return states.indexOf('vacant', states.indexOf('lost')) > 0;
  });
  const stale = processes.provider.calls.filter(
    (call) => call.duty === DUTY && call.token === token,
  );
  assert.ok(stale.every((call) => !call.executed));
}

test('a holder process suspended before the check starts no action after its successor has acted', async (context) => {
  const { processes, old, token } = await startProcesses(context, 0);
  processes.signal(old, 'SIGSTOP');
  processes.storeDeletionIntent('i-1', 'm-1');
  await processes.untilReplaced(old, token);
  await processes.until('the intent is done', () => processes.isResolved('i-1'));
  processes.signal(old, 'SIGCONT');
  processes.storeDeletionIntent('i-2', 'm-2');
  await processes.until('the next intent is done', () => processes.isResolved('i-2'));
  await expectFenced(processes, old, token);
  assert.equal(processes.checkCount(old), 0);
});

test('a holder process suspended between check and send has its request refused once it continues', async (context) => {
  const { processes, old, token } = await startProcesses(context, BEFORE_SENDING_MS);
  processes.storeDeletionIntent('i-1', 'm-1');
  await processes.until('the check is passed', () => processes.checkCount(old) > 0);
  processes.signal(old, 'SIGSTOP');
  assert.equal(processes.provider.calls.length, 0);
  await processes.untilReplaced(old, token);
  await processes.until('the intent is done', () => processes.isResolved('i-1'));
  assert.ok((processes.intent('i-1')?.token ?? 0) > token);
  processes.signal(old, 'SIGCONT');
  await processes.until(
    'a request of the old holder is refused',
    () => processes.provider.rejectedCalls().length > 0,
  );
  await expectFenced(processes, old, token);
});

test('a request in flight of a suspended holder process is refused after the takeover, and its result is not stored', async (context) => {
  const { processes, old, token } = await startProcesses(context, 0);
  let release: () => void = () => undefined;
  const held = new Promise<void>((done) => (release = done));
  let arrived = 0;
  processes.provider.delay = () => (arrived++ === 0 ? held : Promise.resolve());
  processes.storeDeletionIntent('i-1', 'm-1');
  await processes.until('the request has arrived', () => arrived > 0);
  processes.signal(old, 'SIGSTOP');
  await processes.untilReplaced(old, token);
  await processes.until('the intent is done', () => processes.isResolved('i-1'));
  release();
  await processes.until(
    'the late request is refused',
    () => processes.provider.rejectedCalls().length > 0,
  );
  processes.signal(old, 'SIGCONT');
  await expectFenced(processes, old, token);
  assert.ok((processes.intent('i-1')?.token ?? 0) > token);
});

/** Timeouts long enough that no change of level is aborted on a fully loaded machine. */
const ROLLOUT = {
  mode: 'automatic',
  soak_s: 0.5,
  stall_s: 600,
  announcement_lease_s: 60,
  ungated_builds_retired: true,
} as const;
const ON = { mode: 'on', lease_s: LEASE_S, settle_s: 2, retention_s: 10 } as const;
const LEVEL = 3;

interface StatusOutput {
  duties: { duty: Duty; holder: { controller: string } | null; token: number }[];
}

async function statusOf(
  deployment: ControllerProcesses,
  from: string,
): Promise<StatusOutput['duties']> {
  const output = await deployment.runDutiesCommand(from, 'status', '--json');
  assert.equal(output.code, 0, output.stderr);
  return (JSON.parse(output.stdout) as StatusOutput).duties;
}

test('under continuous submissions a suspended holder is replaced, and operators can hold and release duties', async (context) => {
  const deployment = new ControllerProcesses();
  context.after(() => deployment.stop());
  await deployment.start('latest', ROLLOUT, ON);
  void deployment.users.submitRegularly(300);
  await deployment.until('the level is raised', () => deployment.level.active === LEVEL);
  const find = async (from: string): Promise<StatusOutput['duties'][number]> =>
    (await statusOf(deployment, from)).find(({ duty }) => duty === 'rent') ?? assert.fail();
  await deployment.until('the duty is held', async () => (await find('n0')).holder !== null);
  const before = await find('n0');
  const old = before.holder?.controller ?? assert.fail();
  deployment.signal(old, 'SIGSTOP');
  const from = NAMES.find((name) => name !== old) ?? assert.fail();
  await deployment.until('a successor holds the duty', async () => {
    const now = await find(from);
    return now.token > before.token && now.holder !== null && now.holder.controller !== old;
  });
  deployment.signal(old, 'SIGCONT');
  await deployment.untilHealthy(old);

  const hold = await deployment.runDutiesCommand(from, 'hold', 'return');
  assert.deepEqual([hold.code, hold.stdout], [0, 'return is on hold\n']);
  const again = await deployment.runDutiesCommand(from, 'hold', 'return');
  assert.deepEqual([again.code, again.stderr], [3, 'refused: return is on hold already\n']);
  assert.match(
    (await deployment.runDutiesCommand(from, 'status')).stdout,
    /^return: on hold by operator-\S+, token \d+/m,
  );
  const release = await deployment.runDutiesCommand(from, 'release', 'return');
  assert.deepEqual([release.code, release.stdout], [0, 'return may be held again\n']);
  for (const args of [[], ['dance'], ['hold'], ['hold', 'dance'], ['status', '--loud']]) {
    const bad = await deployment.runDutiesCommand(from, ...args);
    assert.deepEqual(
      [bad.code, bad.stdout, bad.stderr.split('\n').length],
      [2, '', 2],
      args.join(' '),
    );
  }
  await deployment.users.stopSubmitting();
  deployment.users.checkHistory();
});
