/** The connections between simulated controllers, which carry their messages to each other. */
import type { ControllerNode } from '../../src/node.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import type { PeerSender } from '../../src/peers/peer-network.js';
import type { Clock } from '../../src/runtime.js';
import type { VirtualClock } from './clock.js';
import type { Invariants } from './invariants.js';
import type { Network } from './network.js';
import type { SimulatedProcess } from './simulated-runtime.js';

/** A process of a controller. */
export interface PeerProcess extends SimulatedProcess {
  name: string;
  node: ControllerNode;
  processClock: Clock;
}

/** What the connections need of the simulated cluster. */
export interface PeerLinksDependencies {
  clock: VirtualClock;
  network: Network;
  invariants: Invariants;
  /** The present process of each controller. */
  processes: ReadonlyMap<string, PeerProcess>;
}

type RequestMessage = Extract<PeerMessage, { t: 'ask' }>;

/**
 * Carries each message to the processes that run when it is sent, as a connection does: a message that is held up never
 * reaches a later process of its receiver, but may well arrive when its sender has been replaced.
 */
export class PeerLinks {
  /** By sender and receiver, the time of the sender's clock since which both processes run. */
  private readonly connectedSinceByLink = new Map<string, number>();
  /** Nodes that answer requests for lease extension as `b746609` does: with the time in the request, whoever sent it. */
  readonly repeatingRequestTimes = new Set<string>();
  private handledRequest: RequestMessage | null = null;
  private listener: (message: PeerMessage) => void = () => undefined;

  constructor(private readonly deps: PeerLinksDependencies) {}

  /** Sets the listener that receives each message that a controller broadcasts to its peers. */
  onMessage(listener: (message: PeerMessage) => void): void {
    this.listener = listener;
  }

  /** Connects a process that has started to all others. */
  connect(process: PeerProcess): void {
    for (const other of this.deps.processes.values()) {
      if (other === process) continue;
      this.connectedSinceByLink.set(linkKey(process.name, other.name), process.processClock.now());
      this.connectedSinceByLink.set(linkKey(other.name, process.name), other.processClock.now());
    }
  }

  /** Returns what the node's process sends its messages with. */
  sender(name: string): PeerSender {
    return {
      broadcast: (message) => {
        this.broadcast(name, message);
      },
      connectedSince: (peer) => this.connectedSince(name, peer),
    };
  }

  private connectedSince(from: string, to: string): number | null {
    if (!this.deps.processes.get(to)?.alive) return null;
    return this.connectedSinceByLink.get(linkKey(from, to)) ?? null;
  }

  private broadcast(from: string, message: PeerMessage): void {
    const sent = this.repeatingRequestTimes.has(from) ? this.asOlderBuild(message) : message;
    this.listener(sent);
    if (sent === message) this.checkGrant(message);
    for (const [to, target] of this.deps.processes)
      if (to !== from)
        this.deps.network.sendOneWay(`${from}:80`, `${to}:80`, () => {
          if (target.alive && target.frozenUntil <= this.deps.clock.time)
            this.deliver(target, sent);
        });
  }

  private deliver(target: PeerProcess, message: PeerMessage): void {
    this.handledRequest = message.t === 'ask' ? message : null;
    target.node.handlePeerMessage(message);
    this.handledRequest = null;
  }

  private asOlderBuild(message: PeerMessage): PeerMessage {
    if (message.t !== 'grant' || !this.handledRequest) return message;
    return { ...message, at: this.handledRequest.at };
  }

  /**
   * A build that doesn't know which requests it has sent takes the time in a grant for one of its own clock: a time in
   * the future would let it extend leases for longer than the leader counts on.
   */
  private checkGrant(message: PeerMessage): void {
    if (message.t !== 'grant' || !message.keep) return;
    const receiver = this.deps.processes.get(message.to);
    if (receiver?.alive && message.at > receiver.processClock.now())
      this.deps.invariants.recordViolation('grant_from_future', message.to);
  }
}

function linkKey(from: string, to: string): string {
  return `${from}>${to}`;
}
