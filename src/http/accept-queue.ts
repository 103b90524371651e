/**
 * Sheds connections that waited too long in the accept queue. After a restart hundreds of workers connect at once, and
 * each gives up after some seconds and connects again. Once the wait in the queue exceeds that time, the client of
 * every accepted connection has already given up: all work goes into responses that no client waits for, and the queue
 * does not get shorter. So requests on connections that the client has closed get no response, and when most accepted
 * connections are of this kind, the whole queue is dropped unread. Clients that still wait in it notice the drop at
 * once and connect again, to a short queue.
 */
import type { Server, Socket } from 'node:net';
import type { Log } from '../runtime.js';

/** With this excess of disconnected over connected clients, most clients in the queue are assumed to have given up. */
const MAX_EXCESS_DISCONNECTED = 12;
/** Dropping ends once no connection was dropped for this time: the queue is then empty. */
const EMPTY_QUEUE_MS = 20;
const MAX_DROPPING_MS = 1000;
/**
 * Not 0, which Node.js up to version 20 takes as no limit (from 21 on, it drops all connections). With 1, each new
 * connection is dropped unread while another is open.
 */
const MAX_CONNECTIONS_WHILE_DROPPING = 1;

type DroppingServer = Pick<Server, 'maxConnections' | 'on'>;

/** Detects clients that gave up while their connections waited to be accepted by a server, and sheds the queue. */
export class AcceptQueue {
  /** Number of clients found disconnected minus those found connected, never below 0. */
  private excessDisconnected = 0;
  private droppedCount = 0;
  private isDropping = false;

  constructor(
    private readonly server: DroppingServer,
    private readonly maxConnections: number,
    private readonly log: Log,
    private readonly after: (ms: number, callback: () => void) => void,
  ) {
    server.maxConnections = maxConnections;
    server.on('drop', () => {
      this.droppedCount++;
    });
  }

  /**
   * Calls `callback` unless the client has closed the connection. Must be called when the first request of a connection
   * has been read. If the client has also closed the connection, this is seen only in one of the next turns of the
   * event loop, so the callback is delayed until then.
   */
  ifStillConnected(socket: Socket, callback: () => void): void {
    setImmediate(() => {
      setImmediate(() => {
        if (socket.destroyed || socket.readableEnded) {
          socket.destroy();
          this.recordDisconnected();
          return;
        }
        this.excessDisconnected = Math.max(0, this.excessDisconnected - 1);
        callback();
      });
    });
  }

  private recordDisconnected(): void {
    this.excessDisconnected++;
    if (this.excessDisconnected < MAX_EXCESS_DISCONNECTED || this.isDropping) return;
    this.excessDisconnected = 0;
    this.isDropping = true;
    this.server.maxConnections = MAX_CONNECTIONS_WHILE_DROPPING;
    this.dropUntilEmpty(0, this.droppedCount);
  }

  private dropUntilEmpty(droppingForMs: number, droppedAtStart: number): void {
    const droppedBefore = this.droppedCount;
    this.after(EMPTY_QUEUE_MS, () => {
      if (this.droppedCount > droppedBefore && droppingForMs < MAX_DROPPING_MS) {
        this.dropUntilEmpty(droppingForMs + EMPTY_QUEUE_MS, droppedAtStart);
        return;
      }
      this.isDropping = false;
      this.server.maxConnections = this.maxConnections;
      this.log.info(
        { dropped: this.droppedCount - droppedAtStart },
        'dropped connections that had waited too long to be accepted',
      );
    });
  }
}
