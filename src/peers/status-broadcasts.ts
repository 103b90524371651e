/** The messages that a controller periodically sends to the other controllers. */
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Leadership } from '../leadership/leadership.js';
import { type LeaseExtender, REQUEST_INTERVAL_MS } from '../leadership/lease-extension.js';
import { MACHINE_TYPES_KEY } from '../machine-type-catalog.js';
import type { Clock } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import type { Attestations } from './attestations.js';
import type { PeerSender } from './peer-network.js';

/** The sources of the contents of the messages. */
export interface StatusBroadcastsDependencies {
  clock: Clock;
  /** Name of this controller. */
  self: string;
  store: Pick<StateStore, 'get' | 'unavailableForMs'>;
  leadership: Leadership;
  attestations: Attestations;
  leaseExtender: Pick<LeaseExtender, 'recordRequest'>;
  /** The term in which this controller leads, also while its leadership is suspended; null if it does not lead. */
  term(): LeaderTerm | null;
  peers: Pick<PeerSender, 'broadcast'>;
}

/** Sends the messages periodically until the process ends. */
export class StatusBroadcasts {
  private isProbing = false;

  constructor(private readonly deps: StatusBroadcastsDependencies) {}

  run(): void {
    this.broadcastStatus();
  }

  /** Broadcasts what this node knows of the live jobs, if it leads. */
  private broadcastProgress(): void {
    const { self, attestations } = this.deps;
    const report = this.deps.term()?.progressReport();
    if (!report || report.epoch === null) return;
    this.deps.peers.broadcast({
      t: 'progress',
      from: self,
      jobs: [...report.jobs],
      epoch: report.epoch,
      heard: attestations.heard(),
      uncertain: [...report.uncertain],
    });
  }

  /**
   * Broadcasts whether the state service is available, the attestation and, if this controller leads, the progress of
   * jobs, or else a request for lease extension. All are sent at the interval of such requests.
   */
  private broadcastStatus(): void {
    const { clock, self, store, leadership, attestations } = this.deps;
    const attestation = attestations.attest(
      leadership.highestSeenEpoch(),
      leadership.isCandidate(),
    );
    const served = store.unavailableForMs() === 0;
    if (!served) this.probeStateService();
    this.deps.peers.broadcast({ t: 'served', from: self, served });
    this.deps.peers.broadcast(attestation);
    if (this.deps.term()) this.broadcastProgress();
    else this.requestLeaseExtension(attestation.at);
    clock.after(REQUEST_INTERVAL_MS, () => {
      this.broadcastStatus();
    });
  }

  /** `attestedAt`: time of the attestation that was sent just before, which the leader refers to in a grant. */
  private requestLeaseExtension(attestedAt: number): void {
    this.deps.leaseExtender.recordRequest(attestedAt);
    this.deps.peers.broadcast({ t: 'ask', from: this.deps.self, at: attestedAt });
  }

  /**
   * Sends a read to the state service, to notice when it is available again. There may be no other request to it in the
   * meantime: users are sent to other controllers, and watch requests wait for their timeout.
   */
  private probeStateService(): void {
    if (this.isProbing) return;
    this.isProbing = true;
    void this.deps.store.get(MACHINE_TYPES_KEY).then(() => (this.isProbing = false));
  }
}
