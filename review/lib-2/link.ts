/** A TCP proxy that passes on what it receives, holds it, or resets its connections. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';

const HOST = '127.0.0.1';

/** `hold`: bytes wait until the cut ends. `reset`: connections are reset, and new ones too. */
export type LinkMode = 'hold' | 'reset';

/** A link to one address. */
export class Link {
  private mode: LinkMode | null = null;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly target: string,
  ) {}

  static open(target: string): Promise<Link> {
    const server = createServer({ pauseOnConnect: true });
    const link = new Link(server, target);
    server.on('connection', (socket) => {
      link.accept(socket);
    });
    return new Promise((resolve) => {
      server.listen(0, HOST, () => {
        resolve(link);
      });
    });
  }

  get address(): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  setMode(mode: LinkMode | null): void {
    this.mode = mode;
    for (const socket of this.sockets) {
      if (mode === 'reset') socket.resetAndDestroy();
      else if (mode === 'hold') socket.pause();
      else socket.resume();
    }
  }

  private accept(incoming: Socket): void {
    if (this.mode === 'reset') {
      incoming.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const outgoing = connect({ host, port: Number(port) });
    this.forward(incoming, outgoing);
    this.forward(outgoing, incoming);
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (bytes: Buffer) => to.write(bytes));
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
    if (this.mode === 'hold') from.pause();
    else from.resume();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
