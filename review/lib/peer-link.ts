/** A one-way TCP link between two controllers that can be cut, or hold back what the old connections carry. */
import { type Server, type Socket, connect, createServer } from 'node:net';

const HOST = '127.0.0.1';

interface Connection {
  incoming: Socket;
  outgoing: Socket;
  /** Bytes that are held back; null while bytes are forwarded at once. */
  held: Buffer[] | null;
}

/** Forwards the connections of one controller to another one. */
export class PeerLink {
  private readonly connections = new Set<Connection>();
  private isCut = false;

  private constructor(
    private readonly server: Server,
    private readonly targetPort: number,
  ) {
    server.on('connection', (socket) => {
      this.forward(socket);
    });
  }

  static async listen(port: number, target: string): Promise<PeerLink> {
    const server = createServer();
    const link = new PeerLink(server, Number(target.slice(target.lastIndexOf(':') + 1)));
    await new Promise<void>((done, failed) => {
      server.once('error', failed);
      server.listen(port, HOST, done);
    });
    return link;
  }

  private forward(incoming: Socket): void {
    if (this.isCut) {
      incoming.destroy();
      return;
    }
    const outgoing = connect(this.targetPort, HOST);
    const connection: Connection = { incoming, outgoing, held: null };
    this.connections.add(connection);
    incoming.on('data', (bytes) => {
      if (connection.held) connection.held.push(bytes);
      else outgoing.write(bytes);
    });
    incoming.on('error', () => incoming.destroy());
    outgoing.on('error', () => outgoing.destroy());
    incoming.on('close', () => {
      if (!connection.held) this.end(connection);
    });
    outgoing.on('close', () => {
      this.end(connection);
    });
  }

  private end(connection: Connection): void {
    connection.incoming.destroy();
    connection.outgoing.destroy();
    this.connections.delete(connection);
  }

  /** Holds back what the present connections carry from now on, also once the sender has ended. */
  holdPresent(): void {
    for (const connection of this.connections) connection.held ??= [];
  }

  /** Delivers in order what was held back. Returns the number of bytes. */
  release(): number {
    let count = 0;
    for (const connection of this.connections) {
      const { held, incoming, outgoing } = connection;
      if (!held) continue;
      connection.held = null;
      for (const bytes of held) {
        count += bytes.length;
        outgoing.write(bytes);
      }
      if (incoming.destroyed) outgoing.end();
    }
    return count;
  }

  /** Resets the connections, and all new ones until `isCut` is false again. */
  setCut(isCut: boolean): void {
    this.isCut = isCut;
    if (isCut) for (const connection of [...this.connections]) this.end(connection);
  }

  close(): void {
    this.server.close();
    for (const connection of [...this.connections]) this.end(connection);
  }
}
