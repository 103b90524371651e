/**
 * Attestations that controllers exchange, tested message by message. An attestation lists the cancellations that its
 * sender confirmed, and echoes the send time of the last attestation received from each peer. It covers the time up to
 * that echo.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Attestations } from '../src/peers/attestations.js';
import type { AttestationMessage } from '../src/peers/peer-messages.js';

interface Nodes {
  /** Current time of the clock of each of the three processes, in ms. */
  clocks: { a: number; b: number; c: number };
  a: Attestations;
  b: Attestations;
  c: Attestations;
  advance(ms: number): void;
  /** Delivers an attestation of a to b and c, then one of each of them to a. The argument sets fields of that of b. */
  exchange(attestationOfB?: { highestSeenEpoch?: number; isCandidate?: boolean }): void;
}

/** Three nodes whose clocks are unrelated. */
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
      const attestationOfA = nodes.a.attest(7, false);
      nodes.b.recordAttestation(attestationOfA);
      nodes.c.recordAttestation(attestationOfA);
      nodes.advance(10);
      nodes.a.recordAttestation(nodes.b.attest(highestSeenEpoch, isCandidate));
      nodes.a.recordAttestation(nodes.c.attest(7, false));
    },
  };
  return nodes;
}

test('confirmed cancellations are known up to the earliest time that all peers echo, and not beyond', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const knownUntil = nodes.clocks.a;
  nodes.advance(1000);
  const exchangedAt = nodes.clocks.a;
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(knownUntil), exchangedAt);
  // From here on, a receives no attestations of b.
  nodes.advance(1000);
  nodes.c.recordAttestation(nodes.a.attest(7, false));
  nodes.a.recordAttestation(nodes.c.attest(7, false));
  assert.equal(nodes.a.completeUntil(knownUntil), exchangedAt);
});

test('an attestation without an echo, or with the echo of an earlier process, does not extend the time in which cancellations are known', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const knownUntil = nodes.clocks.a - 100;
  nodes.a.recordAttestation(nodes.b.attest(7, false));
  nodes.a.recordAttestation(nodes.c.attest(7, false));
  assert.equal(nodes.a.completeUntil(knownUntil), knownUntil);
  nodes.exchange();
  const beforeRestart = nodes.b.attest(7, false);
  // a restarts, and the clock of the new process happens to show the same time.
  const restartedA = new Attestations('a', 'a-2', ['b', 'c'], () => nodes.clocks.a);
  nodes.advance(500);
  restartedA.recordAttestation(beforeRestart);
  restartedA.recordAttestation(nodes.c.attest(7, false));
  assert.equal(restartedA.completeUntil(knownUntil), knownUntil);
});

test('attestations of a restarted peer do not prove which cancellations it confirmed before its restart', () => {
  const nodes = threeNodes();
  nodes.advance(5000);
  nodes.exchange();
  const knownUntil = nodes.clocks.a - 10;
  nodes.advance(300);
  nodes.b.recordConfirmation('run-1');
  const [restartedB, startedAt] = [
    new Attestations('b', 'b-2', ['a', 'c'], () => nodes.clocks.b),
    nodes.clocks.a,
  ];
  nodes.advance(200);
  nodes.b = restartedB;
  nodes.exchange();
  nodes.advance(400);
  nodes.exchange();
  assert.equal(
    nodes.a.completeUntil(knownUntil),
    knownUntil,
    'its previous process may have confirmed a cancellation that no other node knows',
  );
  // Once the time before its start is known from another source, its attestations extend the covered time again.
  const laterKnownUntil = startedAt + 150;
  const exchangedAt = nodes.clocks.a;
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(laterKnownUntil), exchangedAt);
});

test('an attestation lists confirmed cancellations of the last 60 s, and older ones do not count as known', () => {
  const nodes = threeNodes();
  nodes.b.recordConfirmation('run-1');
  nodes.advance(59_000);
  assert.deepEqual(nodes.b.attest(7, false).cancelled, ['run-1']);
  nodes.advance(2000);
  assert.deepEqual(nodes.b.attest(7, false).cancelled, []);
  const from = nodes.clocks.a - 61_000;
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(from), from, 'attestations do not cover older confirmations');
});

test('an attestation of a candidate does not extend the time in which no other leader can exist, and a newer epoch resets it', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const leaseValidUntil = nodes.clocks.a;
  nodes.advance(500);
  const exchangedAt = nodes.clocks.a;
  nodes.exchange();
  assert.equal(nodes.a.uncontestedUntil(7, leaseValidUntil), exchangedAt);
  nodes.advance(500);
  nodes.exchange({ isCandidate: true });
  assert.equal(
    nodes.a.uncontestedUntil(7, leaseValidUntil),
    exchangedAt,
    'the candidate may have been elected',
  );
  nodes.advance(500);
  nodes.exchange({ highestSeenEpoch: 9 });
  assert.equal(nodes.a.uncontestedUntil(7, leaseValidUntil), leaseValidUntil);
});

test('an attestation that arrives late proves nothing about the time after its own echo', () => {
  const nodes = threeNodes();
  nodes.advance(2000);
  const knownUntil = nodes.clocks.a - 50;
  nodes.exchange();
  const first = nodes.a.completeUntil(knownUntil);
  const late: AttestationMessage = nodes.b.attest(7, false);
  nodes.advance(500);
  nodes.exchange();
  const second = nodes.a.completeUntil(knownUntil);
  assert.ok(second > first);
  nodes.advance(4000);
  nodes.c.recordAttestation(nodes.a.attest(7, false));
  nodes.a.recordAttestation(nodes.c.attest(7, false));
  nodes.a.recordAttestation(late);
  assert.equal(nodes.a.completeUntil(knownUntil), second);
});

test('a late attestation of an earlier process does not prove which cancellations the peer confirmed until its restart', () => {
  const nodes = threeNodes();
  nodes.advance(20_000);
  nodes.exchange();
  const knownUntil = nodes.clocks.a - 10;
  const late = nodes.b.attest(7, false);
  nodes.advance(300);
  nodes.b.recordConfirmation('run-1');
  nodes.b = new Attestations('b', 'b-2', ['a', 'c'], () => nodes.clocks.b);
  nodes.advance(200);
  nodes.exchange();
  nodes.a.recordAttestation(late);
  nodes.exchange();
  assert.equal(nodes.a.completeUntil(knownUntil), knownUntil);
});

// Guards against leases that are no longer renewed in an outage because a message of a former process arrives late.
test('a late attestation of an earlier process does not replace those of the present one', () => {
  const nodes = threeNodes();
  nodes.advance(5000);
  nodes.exchange();
  const late = nodes.b.attest(7, false);
  nodes.b = new Attestations('b', 'b-2', ['a', 'c'], () => nodes.clocks.b);
  nodes.advance(300);
  const knownUntil = nodes.clocks.a;
  for (let i = 0; i < 10; i++) {
    nodes.advance(9000);
    nodes.exchange();
  }
  assert.equal(nodes.a.recordAttestation(late), false);
  assert.equal(nodes.a.attest(7, false).heard.b.life, 'b-2');
  assert.ok(nodes.a.completeUntil(knownUntil) > nodes.clocks.a - 100);
});
