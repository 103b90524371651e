/** Handling of the messages that a controller receives from the other controllers. */
import type { HealthCheck } from '../health.js';
import type { Cancellations } from '../jobs/cancellations.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { LeaseExtender } from '../leadership/lease-extension.js';
import type { JobProgress } from '../progress/job-progress.js';
import type { ControllerRollout } from '../rollout/controller-rollout.js';
import type { Clock } from '../runtime.js';
import type { Attestations } from './attestations.js';
import type {
  AttestationMessage,
  LeaseExtensionGrantMessage,
  LeaseExtensionRequestMessage,
  PeerMessage,
  ProgressMessage,
} from './peer-messages.js';
import type { PeerSender } from './peer-network.js';

/** The components of the controller that handle the contents of the messages. */
export interface PeerMessageHandlerDependencies {
  clock: Clock;
  /** Name of this controller. */
  self: string;
  health: HealthCheck;
  cancellations: Cancellations;
  attestations: Attestations;
  leaseExtender: LeaseExtender;
  rollout: Pick<ControllerRollout, 'recordBuild' | 'recordProcess'>;
  peers: PeerSender;
  /** The term in which this controller leads, also while its leadership is suspended; null if it does not lead. */
  term(): LeaderTerm | null;
  progress: Pick<JobProgress, 'recordReport'>;
}

/** Handles messages, which may be late and may arrive in any order. */
export class PeerMessageHandler {
  constructor(private readonly deps: PeerMessageHandlerDependencies) {}

  handle(message: PeerMessage): void {
    const { health, cancellations, rollout } = this.deps;
    switch (message.t) {
      case 'progress':
        this.handleProgress(message);
        return;
      case 'ask':
        this.handleLeaseExtensionRequest(message);
        return;
      case 'served':
        health.recordPeerStatus(message.from, message.served);
        return;
      case 'grant':
        this.handleLeaseExtensionGrant(message);
        return;
      case 'cancelled':
        cancellations.record(message.id);
        return;
      case 'build':
        rollout.recordBuild(message);
        return;
      case 'attest':
        this.handleAttestation(message);
    }
  }

  private handleProgress({ jobs, epoch, heard, uncertain }: ProgressMessage): void {
    const { attestations, clock, progress } = this.deps;
    // A build that does not tell what it heard can only be believed to be prompt; it is replaced in the upgrade.
    const composedAfter = heard ? attestations.echoedTime(heard) : clock.now();
    if (composedAfter === null) return;
    const report = {
      epoch: epoch ?? null,
      jobs: new Map(jobs),
      uncertain: new Map(uncertain),
    };
    progress.recordReport(report, composedAfter);
  }

  private handleLeaseExtensionRequest({ from, at }: LeaseExtensionRequestMessage): void {
    const { self } = this.deps;
    const term = this.deps.term();
    if (!term) return;
    const sentAt = this.sendTimeOfPresentProcess(from);
    const grant = term.handleLeaseExtensionRequest(from, sentAt !== null);
    if (!grant) return;
    const { epoch: revision, mayExtend: keep } = grant;
    this.deps.peers.broadcast({
      t: 'grant',
      from: self,
      to: from,
      at: sentAt ?? at,
      revision,
      keep,
    });
  }

  /**
   * Returns the time, by its own clock, at which the peer's present process sent its latest attestation; null if none is
   * known. A grant counts from this time and not from that in the request, which a former process may have sent.
   */
  private sendTimeOfPresentProcess(peer: string): number | null {
    const { attestations, peers } = this.deps;
    const connectedSince = peers.connectedSince(peer);
    return connectedSince === null ? null : attestations.sendTimeSince(peer, connectedSince);
  }

  private handleLeaseExtensionGrant(message: LeaseExtensionGrantMessage): void {
    const { clock, self, leaseExtender } = this.deps;
    if (message.to !== self) return;
    const grant = { epoch: message.revision, mayExtend: message.keep };
    leaseExtender.recordResponse(grant, message.at, clock.now());
  }

  private handleAttestation(message: AttestationMessage): void {
    const { cancellations, attestations, rollout } = this.deps;
    for (const id of message.cancelled) cancellations.record(id);
    if (!attestations.recordAttestation(message)) return;
    rollout.recordProcess(message.from, message.life);
    cancellations.advanceWatermark(attestations.completeUntil(cancellations.watermark()));
  }
}
