/** What controllers vouch for to each other, looked at message by message. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Attestations } from '../src/peers/attestations.js';
import type { AttestationMessage } from '../src/peers/peer-messages.js';

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
  const setup: Bed = {
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
      const ask = setup.a.attest(7, false);
      setup.b.recordAttestation(ask);
      setup.c.recordAttestation(ask);
      setup.pass(10);
      setup.a.recordAttestation(setup.b.attest(claim, claiming));
      setup.a.recordAttestation(setup.c.attest(7, false));
    },
  };
  return setup;
}

test('statements of all nodes prove everything up to the earliest echo, and not a moment more', () => {
  const setup = bed();
  setup.pass(2000);
  const known = setup.at.a;
  setup.pass(1000);
  const asked = setup.at.a;
  setup.round();
  assert.equal(setup.a.completeUntil(known), asked);
  // One of the two is not heard any more.
  setup.pass(1000);
  setup.c.recordAttestation(setup.a.attest(7, false));
  setup.a.recordAttestation(setup.c.attest(7, false));
  assert.equal(setup.a.completeUntil(known), asked);
});

test('a statement without an echo, or with one meant for an earlier process, proves nothing', () => {
  const setup = bed();
  setup.pass(2000);
  const known = setup.at.a - 100;
  setup.a.recordAttestation(setup.b.attest(7, false));
  setup.a.recordAttestation(setup.c.attest(7, false));
  assert.equal(setup.a.completeUntil(known), known);
  setup.round();
  const before = setup.b.attest(7, false);
  // a starts again, and its clock happens to read the same.
  const again = new Attestations('a', 'a-2', ['b', 'c'], () => setup.at.a);
  setup.pass(500);
  again.recordAttestation(before);
  again.recordAttestation(setup.c.attest(7, false));
  assert.equal(again.completeUntil(known), known);
});

test('a node that started again proves nothing of the time before, however it goes on', () => {
  const setup = bed();
  setup.pass(5000);
  setup.round();
  const known = setup.at.a - 10;
  setup.pass(300);
  setup.b.recordConfirmation('run-1');
  const [second, startedAt] = [
    new Attestations('b', 'b-2', ['a', 'c'], () => setup.at.b),
    setup.at.a,
  ];
  setup.pass(200);
  setup.b = second;
  setup.round();
  setup.pass(400);
  setup.round();
  assert.equal(
    setup.a.completeUntil(known),
    known,
    'its former life may have confirmed what nobody knows',
  );
  // Once something else has told of the time before its start, it counts again.
  const read = startedAt + 150;
  const asked = setup.at.a;
  setup.round();
  assert.equal(setup.a.completeUntil(read), asked);
});

test('what was confirmed is told for as long as statements cover it', () => {
  const setup = bed();
  setup.b.recordConfirmation('run-1');
  setup.pass(59_000);
  assert.deepEqual(setup.b.attest(7, false).cancelled, ['run-1']);
  setup.pass(2000);
  assert.deepEqual(setup.b.attest(7, false).cancelled, []);
  const from = setup.at.a - 61_000;
  setup.round();
  assert.equal(setup.a.completeUntil(from), from, 'older than that it vouches for nothing');
});

test('a newer claim, or one on its way, ends the proof that nobody else leads', () => {
  const setup = bed();
  setup.pass(2000);
  const valid = setup.at.a;
  setup.pass(500);
  const asked = setup.at.a;
  setup.round();
  assert.equal(setup.a.uncontestedUntil(7, valid), asked);
  setup.pass(500);
  setup.round({ claiming: true });
  assert.equal(setup.a.uncontestedUntil(7, valid), asked, 'its claim may have been made');
  setup.pass(500);
  setup.round({ claim: 9 });
  assert.equal(setup.a.uncontestedUntil(7, valid), valid);
});

test('a late statement proves only what it says', () => {
  const setup = bed();
  setup.pass(2000);
  const known = setup.at.a - 50;
  setup.round();
  const first = setup.a.completeUntil(known);
  const late: AttestationMessage = setup.b.attest(7, false);
  setup.pass(500);
  setup.round();
  const second = setup.a.completeUntil(known);
  assert.ok(second > first);
  setup.pass(4000);
  setup.c.recordAttestation(setup.a.attest(7, false));
  setup.a.recordAttestation(setup.c.attest(7, false));
  setup.a.recordAttestation(late);
  assert.equal(setup.a.completeUntil(known), second);
});

test('a late statement of a former life closes no gap', () => {
  const setup = bed();
  setup.pass(20_000);
  setup.round();
  const known = setup.at.a - 10;
  const late = setup.b.attest(7, false);
  setup.pass(300);
  setup.b.recordConfirmation('run-1');
  setup.b = new Attestations('b', 'b-2', ['a', 'c'], () => setup.at.b);
  setup.pass(200);
  setup.round();
  setup.a.recordAttestation(late);
  setup.round();
  assert.equal(setup.a.completeUntil(known), known);
});
