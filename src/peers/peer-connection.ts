/** The connection over which a controller sends messages to one other controller. */
import { type Socket, connect } from 'node:net';
import type { Clock } from '../runtime.js';

const RECONNECT_DELAY_MS = 1000;
const IDLE_TIMEOUT_MS = 5000;
/** While the connection has at least this much unsent data, further messages are dropped. */
const MAX_QUEUED_BYTES = 1024 * 1024;

/** A connection that is open; `since` is the time since which it is, by this process's clock. */
interface OpenSocket {
  socket: Socket;
  since: number;
}

/** Keeps a connection to the other controller, and opens a new one whenever it has closed. */
export class PeerConnection {
  private open: OpenSocket | null = null;

  /** `address` has the form `host:port`. */
  constructor(
    private readonly clock: Clock,
    private readonly address: string,
  ) {}

  /** Opens the connection, and then again until this process ends. */
  run(): void {
    const [host, port] = this.address.split(':');
    const socket = connect({ host, port: Number(port) });
    socket.setNoDelay(true);
    socket.on('connect', () => (this.open = { socket, since: this.clock.now() }));
    socket.on('error', () => socket.destroy());
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('close', () => {
      this.open = null;
      this.clock.after(RECONNECT_DELAY_MS, () => {
        this.run();
      });
    });
  }

  /**
   * Returns the time, by this process's clock, since which the connection is open; null if it is not. All that is sent
   * over it reaches the same process: a new process of the other controller is reached over a new connection.
   */
  openSince(): number | null {
    return this.open?.since ?? null;
  }

  /** Sends the bytes, which may be lost. */
  send(bytes: Buffer): void {
    if (this.open && this.open.socket.writableLength < MAX_QUEUED_BYTES)
      this.open.socket.write(bytes);
  }
}
