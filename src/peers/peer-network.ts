/** Connections between the controllers: each keeps one connection to every other, to send its messages. */
import { type Server, type Socket, connect, createServer } from 'node:net';
import { type Observable, Subject } from 'rxjs';
import type { Runtime } from '../runtime.js';
import { FrameDecoder, encodeFrame } from './framing.js';
import type { PeerMessage } from './peer-messages.js';

const RECONNECT_DELAY_MS = 1000;
const INCOMING_IDLE_TIMEOUT_MS = 30_000;
const OUTGOING_IDLE_TIMEOUT_MS = 5000;
/** While a connection has at least this much unsent data, further messages to that peer are dropped. */
const MAX_QUEUED_BYTES = 1024 * 1024;

/** Sends messages to all other controllers and receives their messages. Messages may be lost. */
export class PeerNetwork {
  private readonly incoming = new Subject<PeerMessage>();
  /** Messages received from the other controllers. */
  readonly messages: Observable<PeerMessage> = this.incoming.asObservable();
  private readonly connections = new Map<string, Socket>();
  private server: Server | null = null;

  /** `listenAddress` and `peerAddresses` have the form `host:port`. */
  constructor(
    private readonly runtime: Runtime,
    private readonly listenAddress: string,
    private readonly peerAddresses: string[],
  ) {}

  run(): void {
    const [host, port] = this.listenAddress.split(':');
    this.server = createServer((socket) => {
      this.receive(socket);
    });
    this.server.on('error', (error) => {
      this.runtime.log.error({ err: error.message }, 'peer listener failed');
    });
    this.server.listen(Number(port), host);
    for (const address of this.peerAddresses) this.dial(address);
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

  private dial(address: string): void {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    socket.setNoDelay(true);
    socket.on('connect', () => this.connections.set(address, socket));
    socket.on('error', () => socket.destroy());
    socket.setTimeout(OUTGOING_IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('close', () => {
      this.connections.delete(address);
      this.runtime.clock.after(RECONNECT_DELAY_MS, () => {
        this.dial(address);
      });
    });
  }

  broadcast(message: PeerMessage): void {
    const bytes = encodeFrame(message);
    for (const socket of this.connections.values())
      if (socket.writableLength < MAX_QUEUED_BYTES) socket.write(bytes);
  }
}
