/** A TCP relay between two controllers that can hold or reset their connections while both processes continue. */
import { type Server, type Socket, connect, createServer } from 'node:net';
import type { LinkMode } from './fault-schedule.js';

const HOST = '127.0.0.1';

/** Forwards connections to its target while the link is not interrupted. */
export class PeerRelay {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private interruptedUntil = 0;
  private mode: LinkMode = 'reset';

  private constructor(private readonly target: string) {
    this.server = createServer((incoming) => {
      this.relay(incoming);
    });
  }

  static async listen(target: string, port: number): Promise<PeerRelay> {
    const relay = new PeerRelay(target);
    await new Promise<void>((done, failed) => {
      relay.server.once('error', failed);
      relay.server.listen(port, HOST, done);
    });
    return relay;
  }

  /**
   * Interrupts the link for `forMs`: `hold` delivers the bytes afterwards; `reset` closes the connections and refuses
   * new ones.
   */
  interrupt(mode: LinkMode, forMs: number): void {
    this.mode = mode;
    this.interruptedUntil = performance.now() + forMs;
    for (const socket of this.sockets)
      if (mode === 'reset') socket.destroy();
      else socket.pause();
    setTimeout(() => {
      if (!this.isInterrupted()) for (const socket of this.sockets) socket.resume();
    }, forMs + 1);
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private isInterrupted(): boolean {
    return performance.now() < this.interruptedUntil;
  }

  private relay(incoming: Socket): void {
    if (this.isInterrupted() && this.mode === 'reset') {
      incoming.destroy();
      return;
    }
    const outgoing = connect(Number(this.target.slice(this.target.lastIndexOf(':') + 1)), HOST);
    this.forward(incoming, outgoing);
    this.forward(outgoing, incoming);
    if (!this.isInterrupted()) return;
    incoming.pause();
    outgoing.pause();
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (data) => to.write(data));
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
