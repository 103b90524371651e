/**
 * Sheds connections that waited for too long before they were accepted. After a restart hundreds of workers connect at once,
 * and each gives up after some seconds and connects anew. Once the queue is longer than that, every connection that is taken
 * from it has been given up already: all work goes into answers that nobody waits for, and the queue stays as long. So
 * peers that have gone are not answered, and when it is mostly these that come, the whole queue is dropped unread. Whoever
 * still waits in it sees that at once and comes again, to a short queue.
 */
import type { Server, Socket } from 'node:net';
import type { Log } from './runtime.js';

/** So many more connections whose peer had gone than others: most of the queue has been given up. */
const GONE_TOO_MANY = 12;
/** Dropping ends once nothing came for so long, or after the longest time. */
const EMPTY_AFTER_MS = 20;
const LONGEST_DROP_MS = 1000;
/** Node takes 0 for no limit; with 1, whatever comes beside the connections that are open is dropped unread. */
const DROP_ALL = 1;

type DroppingServer = Pick<Server, 'maxConnections' | 'on'>;

export class AcceptQueue {
  /** Peers that had gone, less those that were still there. */
  private goneBalance = 0;
  private dropped = 0;
  private dropping = false;

  constructor(
    private readonly server: DroppingServer,
    private readonly mostConnections: number,
    private readonly log: Log,
    private readonly after: (ms: number, fn: () => void) => void,
  ) {
    server.maxConnections = mostConnections;
    server.on('drop', () => {
      this.dropped++;
    });
  }

  /**
   * The first request of a connection was read. Its peer's end of the connection, if that came as well, is seen in one of the
   * next turns of the event loop: then calls back only if the peer is still there.
   */
  whenStillThere(socket: Socket, fn: () => void): void {
    setImmediate(() => {
      setImmediate(() => {
        if (socket.destroyed || socket.readableEnded) {
          socket.destroy();
          this.peerHadGone();
          return;
        }
        this.goneBalance = Math.max(0, this.goneBalance - 1);
        fn();
      });
    });
  }

  private peerHadGone(): void {
    this.goneBalance++;
    if (this.goneBalance < GONE_TOO_MANY || this.dropping) return;
    this.goneBalance = 0;
    this.dropping = true;
    this.server.maxConnections = DROP_ALL;
    this.dropUntilEmpty(0, this.dropped);
  }

  private dropUntilEmpty(forMs: number, began: number): void {
    const before = this.dropped;
    this.after(EMPTY_AFTER_MS, () => {
      if (this.dropped > before && forMs < LONGEST_DROP_MS) {
        this.dropUntilEmpty(forMs + EMPTY_AFTER_MS, began);
        return;
      }
      this.dropping = false;
      this.server.maxConnections = this.mostConnections;
      this.log.info(
        { dropped: this.dropped - began },
        'dropped connections that had waited for too long',
      );
    });
  }
}
