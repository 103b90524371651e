/** Handling of messages between controllers, tested message by message. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cancellations } from '../src/jobs/cancellations.js';
import { Attestations } from '../src/peers/attestations.js';
import {
  PeerMessageHandler,
  type PeerMessageHandlerDependencies,
} from '../src/peers/peer-message-handler.js';

/** Handler of controller `a`, which records the process ids that its peer `b` reports. */
function handlerOf(attestations: Attestations, processes: string[]): PeerMessageHandler {
  return new PeerMessageHandler({
    attestations,
    cancellations: new Cancellations(42, 20, () => 0),
    rollout: {
      recordBuild: () => undefined,
      recordProcess: (_controller, process) => processes.push(process),
    },
  } satisfies Partial<PeerMessageHandlerDependencies> as unknown as PeerMessageHandlerDependencies);
}

// Guards against a raise of the feature level that counts on a process which a build from before levels has replaced.
test('a late attestation of an earlier process does not report it as the present one', () => {
  let now = 1000;
  const attestationsOf = (self: string, peer: string, process: string): Attestations =>
    new Attestations(self, process, [peer], () => now);
  const ownAttestations = attestationsOf('a', 'b', 'a-1');
  const processes: string[] = [];
  const handler = handlerOf(ownAttestations, processes);
  const earlier = attestationsOf('b', 'a', 'b-1');
  earlier.recordAttestation(ownAttestations.attest(7, false));
  const late = earlier.attest(7, false);
  now += 5000;
  const present = attestationsOf('b', 'a', 'b-2');
  present.recordAttestation(ownAttestations.attest(7, false));
  handler.handle(present.attest(7, false));
  handler.handle(late);
  assert.deepEqual(processes, ['b-2']);
});
