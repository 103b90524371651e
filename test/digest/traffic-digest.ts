/** A hash over everything that the controllers of a simulated cluster send. */
import { type Hash, createHash } from 'node:crypto';
import { Packr } from 'msgpackr';
import type { Cluster } from '../sim/cluster.js';

const HEX_DIGITS = 16;

/**
 * Hashes what controllers ask of workers, the state service and the cloud, what they reply, and what they tell each
 * other, with the virtual time of each message. It sees the wire only, so that renaming anything else changes nothing.
 */
export class TrafficDigest {
  private readonly hash: Hash = createHash('sha256');
  /** The encoding that controllers use among themselves. */
  private readonly packr = new Packr({ useRecords: false });
  /** How many messages were hashed. */
  messages = 0;

  /** What was sent before, within the cluster's constructor, is not seen. */
  constructor(private readonly cluster: Cluster) {
    cluster.network.observer = {
      requested: ({ from, to, method, path, body }) => {
        if (cluster.isNode(from)) this.add(['request', from, to, method, path], body);
      },
      replied: ({ from, to, path, status, body }) => {
        if (cluster.isNode(from)) this.add(['reply', from, to, path, status], body);
      },
    };
    cluster.onPeerMessage((message) => {
      this.add(['peers', message.from], this.packr.pack(message));
    });
  }

  private add(header: (string | number)[], body: Uint8Array): void {
    this.messages++;
    this.hash.update(JSON.stringify([this.cluster.clock.time, ...header, body.length]));
    this.hash.update(body);
  }

  /** Ends the digest: nothing can be added afterwards. */
  finish(): string {
    this.cluster.network.observer = null;
    this.cluster.onPeerMessage(() => undefined);
    return this.hash.digest('hex').slice(0, HEX_DIGITS);
  }
}
