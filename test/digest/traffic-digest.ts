/** A hash of all messages that the controllers of a simulated cluster send. */
import { type Hash, createHash } from 'node:crypto';
import { Packr } from 'msgpackr';
import type { Cluster } from '../sim/cluster.js';

const HEX_DIGITS = 16;

/**
 * Hashes all that controllers send, each message with its virtual time: requests to workers, the state service and the
 * cloud, responses to users and workers, and messages to other controllers. It reads only what is sent over the
 * network, so that renaming anything else does not change the hash.
 */
export class TrafficDigest {
  private readonly hash: Hash = createHash('sha256');
  /** The encoding that controllers use among themselves. */
  private readonly packr = new Packr({ useRecords: false });
  /** Number of messages hashed so far. */
  messages = 0;

  /** Messages that the cluster's constructor sent are not included. */
  constructor(private readonly cluster: Cluster) {
    cluster.network.observer = {
      requested: ({ from, to, method, path, body }) => {
        if (cluster.isNode(from)) this.add(['request', from, to, method, path], body);
      },
      responded: ({ from, to, path, status, body }) => {
        if (cluster.isNode(from)) this.add(['reply', from, to, path, status], body);
      },
    };
    cluster.peerLinks.onMessage((message) => {
      this.add(['peers', message.from], this.packr.pack(message));
    });
  }

  private add(header: (string | number)[], body: Uint8Array): void {
    this.messages++;
    this.hash.update(JSON.stringify([this.cluster.clock.time, ...header, body.length]));
    this.hash.update(body);
  }

  /** Returns the digest and stops observing the cluster: nothing can be added afterwards. */
  finish(): string {
    this.cluster.network.observer = null;
    this.cluster.peerLinks.onMessage(() => undefined);
    return this.hash.digest('hex').slice(0, HEX_DIGITS);
  }
}
