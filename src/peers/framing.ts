/** Framing of the messages between controllers: the body length as four bytes, big-endian, then the body in msgpack. */
import { Packr } from 'msgpackr';
import { type PeerMessage, readPeerMessage } from './peer-messages.js';

const HEADER_BYTES = 4;
const MAX_BODY_BYTES = 4 * 1024 * 1024;

const packr = new Packr({ useRecords: false });

/** Encodes a message with its header. */
export function encodeFrame(message: PeerMessage): Buffer {
  const body = packr.pack(message);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

/** Splits the byte stream of one connection into messages. */
export class FrameDecoder {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Returns the messages completed by these bytes, without those that this build can't read. Returns null if a frame is
   * too long or is not msgpack: the rest of the stream can't be trusted then.
   */
  push(bytes: Buffer): PeerMessage[] | null {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const messages: PeerMessage[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_BODY_BYTES) return null;
      const end = HEADER_BYTES + length;
      if (this.pending.length < end) break;
      try {
        const message = readPeerMessage(packr.unpack(this.pending.subarray(HEADER_BYTES, end)));
        if (message) messages.push(message);
      } catch {
        return null;
      }
      this.pending = this.pending.subarray(end);
    }
    return messages;
  }
}
