/** Messages between the controllers: each keeps one connection to every other, to send its own. */
import { type Server, type Socket, createServer } from 'node:net';
import { type Observable, Subject } from 'rxjs';
import type { Runtime } from '../runtime.js';
import type { Peer } from '../settings/platform.js';
import { FrameDecoder, encodeFrame } from './framing.js';
import { PeerConnection } from './peer-connection.js';
import type { PeerMessage } from './peer-messages.js';

const INCOMING_IDLE_TIMEOUT_MS = 30_000;

/** Sends messages to the other controllers. Messages may be lost, and may arrive late. */
export interface PeerSender {
  /** Sends a message to all other controllers. */
  broadcast(message: PeerMessage): void;
  /**
   * Returns the time, by this process's clock, since which all messages to the other controller were sent to its present
   * process; null if it can't be reached.
   */
  connectedSince(peer: string): number | null;
}

/** Sends messages to all other controllers and receives their messages. */
export class PeerNetwork implements PeerSender {
  private readonly incoming = new Subject<PeerMessage>();
  /** Messages received from the other controllers. */
  readonly messages: Observable<PeerMessage> = this.incoming.asObservable();
  /** The connection to each other controller, by its name. */
  private readonly connections: Map<string, PeerConnection>;
  private server: Server | null = null;

  /** `listenAddress` has the form `host:port`. */
  constructor(
    private readonly runtime: Runtime,
    private readonly listenAddress: string,
    peers: Pick<Peer, 'name' | 'address'>[],
  ) {
    this.connections = new Map(
      peers.map(({ name, address }) => [name, new PeerConnection(runtime.clock, address)]),
    );
  }

  run(): void {
    const [host, port] = this.listenAddress.split(':');
    this.server = createServer((socket) => {
      this.receive(socket);
    });
    this.server.on('error', (error) => {
      this.runtime.log.error({ err: error.message }, 'peer listener failed');
    });
    this.server.listen(Number(port), host);
    for (const connection of this.connections.values()) connection.run();
  }

  connectedSince(peer: string): number | null {
    return this.connections.get(peer)?.openSince() ?? null;
  }

  private receive(socket: Socket): void {
    const decoder = new FrameDecoder();
    socket.on('error', () => socket.destroy());
    socket.setTimeout(INCOMING_IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('data', (bytes) => {
      const messages = decoder.push(bytes);
      if (!messages) socket.destroy();
      else for (const message of messages) this.incoming.next(message);
    });
  }

  broadcast(message: PeerMessage): void {
    const bytes = encodeFrame(message);
    for (const connection of this.connections.values()) connection.send(bytes);
  }
}
