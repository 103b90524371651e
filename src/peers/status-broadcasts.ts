/** The messages that a controller periodically sends to the other controllers. */
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Leadership } from '../leadership/leadership.js';
import { type LeaseExtender, REQUEST_INTERVAL_MS } from '../leadership/lease-extension.js';
import { MACHINE_TYPES_KEY } from '../machine-type-catalog.js';
import type { Clock } from '../runtime.js';
import type { StateStore } from '../state-store/client.js';
import type { Attestations } from './attestations.js';
import type { PeerSender } from './peer-network.js';

const PROGRESS_INTERVAL_MS = 700;

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
    this.broadcastProgress();
    this.broadcastStatus();
  }

  private broadcastProgress(): void {
    const { clock, self, leadership } = this.deps;
    const term = this.deps.term();
    if (term && leadership.isLeader())
      this.deps.peers.broadcast({ t: 'progress', from: self, jobs: term.progress() });
    clock.after(PROGRESS_INTERVAL_MS, () => {
      this.broadcastProgress();
    });
  }

  /**
   * Broadcasts whether the state service is available, the attestation and, unless this controller leads, a request for
   * lease extension. All three are sent at the interval of such requests.
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
    if (!this.deps.term()) this.requestLeaseExtension(attestation.at);
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
