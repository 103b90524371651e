/** Tests which controller acquires or hands over which duty. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DUTIES, type Duty } from '../src/duty.js';
import { type MemberStatus, acquisitionDelayMs, dutyToHandOver } from '../src/duty-assignment.js';

const SETTLE_MS = 10_000;

function member(name: string, overrides: Partial<MemberStatus> = {}): MemberStatus {
  return { name, settled: true, isLeader: false, duties: DUTIES, heldCount: 0, ...overrides };
}

function ranking(duty: Duty, members: MemberStatus[]): string[] {
  const delays = members.map(({ name }) => ({
    name,
    ms: acquisitionDelayMs(duty, name, members, SETTLE_MS),
  }));
  return delays.sort((a, b) => a.ms - b.ms).map(({ name }) => name);
}

test('candidates acquire a duty at different times, and not all duties go to the same controller', () => {
  const members = [member('n0'), member('n1'), member('n2')];
  for (const duty of DUTIES) {
    const delays = members.map(({ name }) => acquisitionDelayMs(duty, name, members, SETTLE_MS));
    assert.equal(new Set(delays).size, members.length);
  }
  assert.ok(new Set(DUTIES.map((duty) => ranking(duty, members)[0])).size > 1);
});

test('the least loaded member goes first, the leader counts as loaded, and an unsettled member goes last', () => {
  const members = [
    member('leader', { isLeader: true }),
    member('new', { settled: false }),
    member('busy', { heldCount: 3 }),
    member('idle'),
  ];
  assert.deepEqual(ranking('return', members), ['idle', 'leader', 'busy', 'new']);
  assert.ok(acquisitionDelayMs('return', 'new', members, SETTLE_MS) > SETTLE_MS);
});

test('if no member is settled, none waits for the settle time', () => {
  const members = [member('n0', { settled: false }), member('n1', { settled: false })];
  assert.ok(
    members.every(({ name }) => acquisitionDelayMs('rent', name, members, SETTLE_MS) < SETTLE_MS),
  );
});

test('a member that may not hold a duty delays no other member, and no duty is handed over to it', () => {
  const members = [member('n0', { duties: [] }), member('n1', { heldCount: 4 })];
  assert.equal(acquisitionDelayMs('rent', 'n1', members, SETTLE_MS), 0);
  assert.equal(dutyToHandOver('n1', DUTIES, members), null);
});

test('a duty is handed over only if this improves the balance, so that the assignment becomes stable', () => {
  const holds = new Map([
    ['n0', [...DUTIES]],
    ['n1', []],
    ['n2', []],
  ] as [string, Duty[]][]);
  const views = (): MemberStatus[] =>
    [...holds].map(([name, duties]) =>
      member(name, { heldCount: duties.length, isLeader: name === 'n2' }),
    );
  let moves = 0;
  for (let round = 0; round < 20; round++)
    for (const [name, held] of holds) {
      const duty = dutyToHandOver(name, held, views());
      if (duty === null) continue;
      moves++;
      held.splice(held.indexOf(duty), 1);
      const others = views().filter((view) => view.name !== name);
      holds.get(ranking(duty, others)[0])?.push(duty);
    }
  assert.deepEqual(
    [...holds.values()].map(({ length }) => length),
    [2, 2, 0],
  );
  assert.equal(moves, 2);
});
