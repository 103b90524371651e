/**
 * Sheds connections that waited for too long before they were accepted. After a restart hundreds of workers connect at
 * once, and each gives up after some seconds and connects anew. Once the queue is longer than that, every connection
 * that is taken from it has been given up already: all work goes into responses that nobody waits for, and the queue
 * stays as long. So peers that have gone are not answered, and when it is mostly these that come, the whole queue is
 * dropped unread. Whoever still waits in it sees that at once and comes again, to a short queue.
 */
import type { Server, Socket } from 'node:net';
import type { Log } from '../runtime.js';

/** So many more connections whose peer had gone than others: most of the queue has been given up. */
const MAX_EXCESS_DISCONNECTED = 12;
/** Dropping ends once nothing came for so long. */
const EMPTY_QUEUE_MS = 20;
const MAX_DROPPING_MS = 1000;
/** Node takes 0 for no limit; with 1, whatever comes beside the connections that are open is dropped unread. */
const MAX_CONNECTIONS_WHILE_DROPPING = 1;

type DroppingServer = Pick<Server, 'maxConnections' | 'on'>;

/** Watches over the connections that a server accepts. */
export class AcceptQueue {
  /** Peers that had gone, less those that were still there; never negative. */
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
   * To be asked when the first request of a connection was read. The end of the connection, if the peer has closed it
   * as well, is seen in one of the next turns of the event loop: calls back then, unless the peer has gone.
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
        'dropped connections that had waited for too long',
      );
    });
  }
}
