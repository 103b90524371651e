/** What controllers vouch for to each other, looked at message by message. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Attestations } from '../src/peers/attestations.js';
import type { AttestationMessage } from '../src/peers/peer-messages.js';

interface Nodes {
  /** What the clocks of the three processes read. */
  clocks: { a: number; b: number; c: number };
  a: Attestations;
  b: Attestations;
  c: Attestations;
  advance(ms: number): void;
  /** b and c receive an attestation of a, and a one of each of them. */
  exchange(byB?: { highestSeenEpoch?: number; isCandidate?: boolean }): void;
}

/** Three nodes, whose clocks have nothing in common. */
function threeNodes(): Nodes {
  const clocks = { a: 100_000, b: 5000, c: 900_000 };
  const create = (self: 'a' | 'b' | 'c'): Attestations =>
    new Attestations(
      self,
      `${self}-1`,
      ['a', 'b', 'c'].filter((name) => name !== self),
      () => clocks[self],
    );
  const nodes: Nodes = {
    clocks,
    a: create('a'),
    b: create('b'),
    c: create('c'),
    advance: (ms) => {
      clocks.a += ms;
      clocks.b += ms;
      clocks.c += ms;
    },
    exchange: ({ highestSeenEpoch = 7, isCandidate = false } = {}) => {
      const asked = nodes.a.attest(7, false);
      nodes.b.recordAttestation(asked);
      nodes.c.recordAttestation(asked);
      nodes.advance(10);
      nodes.a.recordAttestation(nodes.b.attest(highestSeenEpoch, isCandidate));
      nodes.a.recordAttestation(nodes.c.attest(7, false));
    },
  };
  return nodes;
}

test('statements of all nodes prove everything up to the earliest echo, and not a moment more', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const known = nodes.clocks.a;
  nodes.advance(1000);
  const asked = nodes.clocks.a;
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(known), asked);
  // One of the two is not heard any more.
  nodes.advance(1000);
  nodes.c.recordAttestation(nodes.a.attest(7, false));
  nodes.a.recordAttestation(nodes.c.attest(7, false));
  assert.equal(nodes.a.completeUntil(known), asked);
});

test('a statement without an echo, or with one meant for an earlier process, proves nothing', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const known = nodes.clocks.a - 100;
  nodes.a.recordAttestation(nodes.b.attest(7, false));
  nodes.a.recordAttestation(nodes.c.attest(7, false));
  assert.equal(nodes.a.completeUntil(known), known);
  nodes.exchange();
  const before = nodes.b.attest(7, false);
  // a starts again, and its clock happens to read the same.
  const again = new Attestations('a', 'a-2', ['b', 'c'], () => nodes.clocks.a);
  nodes.advance(500);
  again.recordAttestation(before);
  again.recordAttestation(nodes.c.attest(7, false));
  assert.equal(again.completeUntil(known), known);
});

test('a node that started again proves nothing of the time before, however it goes on', () => {
  const nodes = threeNodes();
  nodes.advance(5000);
  nodes.exchange();
  const known = nodes.clocks.a - 10;
  nodes.advance(300);
  nodes.b.recordConfirmation('run-1');
  const [second, startedAt] = [
    new Attestations('b', 'b-2', ['a', 'c'], () => nodes.clocks.b),
    nodes.clocks.a,
  ];
  nodes.advance(200);
  nodes.b = second;
  nodes.exchange();
  nodes.advance(400);
  nodes.exchange();
  assert.equal(
    nodes.a.completeUntil(known),
    known,
    'its former life may have confirmed what nobody knows',
  );
  // Once something else has told of the time before its start, it counts again.
  const read = startedAt + 150;
  const asked = nodes.clocks.a;
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(read), asked);
});

test('what was confirmed is told for as long as statements cover it', () => {
  const nodes = threeNodes();
  nodes.b.recordConfirmation('run-1');
  nodes.advance(59_000);
  assert.deepEqual(nodes.b.attest(7, false).cancelled, ['run-1']);
  nodes.advance(2000);
  assert.deepEqual(nodes.b.attest(7, false).cancelled, []);
  const from = nodes.clocks.a - 61_000;
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(from), from, 'older than that it vouches for nothing');
});

test('a newer claim, or one on its way, ends the proof that nobody else leads', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const valid = nodes.clocks.a;
  nodes.advance(500);
  const asked = nodes.clocks.a;
  nodes.exchange();
  assert.equal(nodes.a.uncontestedUntil(7, valid), asked);
  nodes.advance(500);
  nodes.exchange({ isCandidate: true });
  assert.equal(nodes.a.uncontestedUntil(7, valid), asked, 'its claim may have been made');
  nodes.advance(500);
  nodes.exchange({ highestSeenEpoch: 9 });
  assert.equal(nodes.a.uncontestedUntil(7, valid), valid);
});

test('a late statement proves only what it says', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const known = nodes.clocks.a - 50;
  nodes.exchange();
  const first = nodes.a.completeUntil(known);
  const late: AttestationMessage = nodes.b.attest(7, false);
  nodes.advance(500);
  nodes.exchange();
  const second = nodes.a.completeUntil(known);
  assert.ok(second > first);
  nodes.advance(4000);
  nodes.c.recordAttestation(nodes.a.attest(7, false));
  nodes.a.recordAttestation(nodes.c.attest(7, false));
  nodes.a.recordAttestation(late);
  assert.equal(nodes.a.completeUntil(known), second);
});

test('a late statement of a former life closes no gap', () => {
  const nodes = threeNodes();
  nodes.advance(20_000);
  nodes.exchange();
  const known = nodes.clocks.a - 10;
  const late = nodes.b.attest(7, false);
  nodes.advance(300);
  nodes.b.recordConfirmation('run-1');
  nodes.b = new Attestations('b', 'b-2', ['a', 'c'], () => nodes.clocks.b);
  nodes.advance(200);
  nodes.exchange();
  nodes.a.recordAttestation(late);
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(known), known);
});
