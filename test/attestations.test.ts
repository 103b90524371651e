/** What controllers vouch for to each other, looked at message by message. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Attestation, Attestations } from '../src/peers/attestations.js';

interface Bed {
  at: { a: number; b: number; c: number };
  a: Attestations;
  b: Attestations;
  c: Attestations;
  pass(ms: number): void;
  /** b and c hear a, and vouch; a hears them. */
  round(claims?: { claim?: number; claiming?: boolean }): void;
}

/** Three nodes, whose clocks have nothing in common. */
function bed(): Bed {
  const at = { a: 100_000, b: 5000, c: 900_000 };
  const of = (self: 'a' | 'b' | 'c'): Attestations =>
    new Attestations(
      self,
      `${self}-1`,
      ['a', 'b', 'c'].filter((n) => n !== self),
      () => at[self],
    );
  const t: Bed = {
    at,
    a: of('a'),
    b: of('b'),
    c: of('c'),
    pass: (ms) => {
      at.a += ms;
      at.b += ms;
      at.c += ms;
    },
    round: ({ claim = 7, claiming = false } = {}) => {
      const ask = t.a.statement(7, false);
      t.b.recordStatement(ask);
      t.c.recordStatement(ask);
      t.pass(10);
      t.a.recordStatement(t.b.statement(claim, claiming));
      t.a.recordStatement(t.c.statement(7, false));
    },
  };
  return t;
}

test('statements of all nodes prove everything up to the earliest echo, and not a moment more', () => {
  const t = bed();
  t.pass(2000);
  const known = t.at.a;
  t.pass(1000);
  const asked = t.at.a;
  t.round();
  assert.equal(t.a.completeFrom(known), asked);
  // One of the two is not heard any more.
  t.pass(1000);
  t.c.recordStatement(t.a.statement(7, false));
  t.a.recordStatement(t.c.statement(7, false));
  assert.equal(t.a.completeFrom(known), asked);
});

test('a statement without an echo, or with one meant for an earlier process, proves nothing', () => {
  const t = bed();
  t.pass(2000);
  const known = t.at.a - 100;
  t.a.recordStatement(t.b.statement(7, false));
  t.a.recordStatement(t.c.statement(7, false));
  assert.equal(t.a.completeFrom(known), known);
  t.round();
  const before = t.b.statement(7, false);
  // a starts again, and its clock happens to read the same.
  const again = new Attestations('a', 'a-2', ['b', 'c'], () => t.at.a);
  t.pass(500);
  again.recordStatement(before);
  again.recordStatement(t.c.statement(7, false));
  assert.equal(again.completeFrom(known), known);
});

test('a node that started again proves nothing of the time before, however it goes on', () => {
  const t = bed();
  t.pass(5000);
  t.round();
  const known = t.at.a - 10;
  t.pass(300);
  t.b.confirm('run-1');
  const [b, startedAt] = [new Attestations('b', 'b-2', ['a', 'c'], () => t.at.b), t.at.a];
  t.pass(200);
  t.b = b;
  t.round();
  t.pass(400);
  t.round();
  assert.equal(
    t.a.completeFrom(known),
    known,
    'its former life may have confirmed what nobody knows',
  );
  // Once something else has told of the time before its start, it counts again.
  const read = startedAt + 150;
  const asked = t.at.a;
  t.round();
  assert.equal(t.a.completeFrom(read), asked);
});

test('what was confirmed is told for as long as statements cover it', () => {
  const t = bed();
  t.b.confirm('run-1');
  t.pass(59_000);
  assert.deepEqual(t.b.statement(7, false).cancelled, ['run-1']);
  t.pass(2000);
  assert.deepEqual(t.b.statement(7, false).cancelled, []);
  const from = t.at.a - 61_000;
  t.round();
  assert.equal(t.a.completeFrom(from), from, 'older than that it vouches for nothing');
});

test('a newer claim, or one on its way, ends the proof that nobody else leads', () => {
  const t = bed();
  t.pass(2000);
  const valid = t.at.a;
  t.pass(500);
  const asked = t.at.a;
  t.round();
  assert.equal(t.a.unclaimedUntil(7, valid), asked);
  t.pass(500);
  t.round({ claiming: true });
  assert.equal(t.a.unclaimedUntil(7, valid), asked, 'its claim may have been made');
  t.pass(500);
  t.round({ claim: 9 });
  assert.equal(t.a.unclaimedUntil(7, valid), valid);
});

test('a late statement proves only what it says', () => {
  const t = bed();
  t.pass(2000);
  const known = t.at.a - 50;
  t.round();
  const first = t.a.completeFrom(known);
  const late: Attestation = t.b.statement(7, false);
  t.pass(500);
  t.round();
  const second = t.a.completeFrom(known);
  assert.ok(second > first);
  t.pass(4000);
  t.c.recordStatement(t.a.statement(7, false));
  t.a.recordStatement(t.c.statement(7, false));
  t.a.recordStatement(late);
  assert.equal(t.a.completeFrom(known), second);
});

test('a late statement of a former life closes no gap', () => {
  const t = bed();
  t.pass(20_000);
  t.round();
  const known = t.at.a - 10;
  const late = t.b.statement(7, false);
  t.pass(300);
  t.b.confirm('run-1');
  t.b = new Attestations('b', 'b-2', ['a', 'c'], () => t.at.b);
  t.pass(200);
  t.round();
  t.a.recordStatement(late);
  t.round();
  assert.equal(t.a.completeFrom(known), known);
});
